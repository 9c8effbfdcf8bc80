package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

const (
	// Period is the time for which a crash counts against a fingerprint, and so the time of a quarantine.
	Period = 10 * time.Minute
	// SlotTime is the time after which a slot that its holder has not renewed is free again.
	SlotTime = 3 * time.Second
	// crashesToQuarantine is the number of distinct crashes that quarantine a fingerprint.
	crashesToQuarantine = 2
	// maxFingerprints bounds the memory; beyond it the fingerprint with the oldest crash is dropped.
	maxFingerprints = 10000
)

// Fingerprint identifies requests with the same model and prompt.
type Fingerprint string

// Of returns the fingerprint of a model and a prompt.
func Of(model, prompt string) Fingerprint {
	sum := sha256.Sum256([]byte(model + "\x00" + prompt))
	return Fingerprint(hex.EncodeToString(sum[:16]))
}

// Crash is the loss of a group while a request with the fingerprint was in progress on it.
type Crash struct {
	Fingerprint Fingerprint
	// Event names the crash, so that a crash that several daemons saw counts once.
	Event string
	// Age is the time since the crash; daemons exchange ages because their clocks differ.
	Age time.Duration
}

// Verdict says how a request may run.
type Verdict int

// Verdicts on a fingerprint.
const (
	Clear Verdict = iota
	Suspect
	Quarantined
)

// Quarantine is one daemon's knowledge of crashes, and of the slots and placements that it grants.
type Quarantine struct {
	mu      sync.Mutex
	crashes map[Fingerprint]map[string]time.Time
	slots   map[string]slot
	// placements are kept by the daemon that owns the fingerprint.
	placements map[Fingerprint]*placement
}

type slot struct {
	holder string
	until  time.Time
}

// New returns an empty quarantine.
func New() *Quarantine {
	return &Quarantine{
		crashes:    map[Fingerprint]map[string]time.Time{},
		slots:      map[string]slot{},
		placements: map[Fingerprint]*placement{},
	}
}

// Record keeps a crash; it reports whether the crash was not known before.
func (qua *Quarantine) Record(crs Crash, now time.Time) bool {
	if crs.Age >= Period {
		return false
	}
	qua.mu.Lock()
	defer qua.mu.Unlock()
	known := qua.crashes[crs.Fingerprint]
	if _, ok := known[crs.Event]; ok {
		return false
	}
	if known == nil {
		qua.makeRoom(now)
		known = map[string]time.Time{}
		qua.crashes[crs.Fingerprint] = known
	}
	known[crs.Event] = now.Add(-crs.Age)
	return true
}

// Verdict returns how a request with the fingerprint may run and how long that holds.
func (qua *Quarantine) Verdict(fpr Fingerprint, now time.Time) (Verdict, time.Duration) {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	count := 0
	var last time.Time
	for _, when := range qua.crashes[fpr] {
		if now.Sub(when) < Period {
			count++
			if when.After(last) {
				last = when
			}
		}
	}
	left := Period - now.Sub(last)
	switch {
	case count >= crashesToQuarantine:
		return Quarantined, left
	case count > 0:
		return Suspect, left
	default:
		return Clear, 0
	}
}

// Count returns the number of distinct crashes that count against a fingerprint.
func (qua *Quarantine) Count(fpr Fingerprint, now time.Time) int {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	num := 0
	for _, when := range qua.crashes[fpr] {
		if now.Sub(when) < Period {
			num++
		}
	}
	return num
}

// Crashes returns all crashes that still count.
func (qua *Quarantine) Crashes(now time.Time) []Crash {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	qua.expire(now)
	var all []Crash
	for fpr, known := range qua.crashes {
		for event, when := range known {
			all = append(all, Crash{
				Fingerprint: fpr,
				Event:       event,
				Age:         now.Sub(when),
			})
		}
	}
	return all
}

// Hold takes or renews the slot with a key for a holder; it reports whether the holder has it.
func (qua *Quarantine) Hold(key, holder string, now time.Time) bool {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	if slt, ok := qua.slots[key]; ok && slt.holder != holder && now.Before(slt.until) {
		return false
	}
	qua.slots[key] = slot{
		holder: holder,
		until:  now.Add(SlotTime),
	}
	return true
}

// Release frees the slot with a key if the holder has it.
func (qua *Quarantine) Release(key, holder string) {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	if qua.slots[key].holder == holder {
		delete(qua.slots, key)
	}
}

// expire drops crashes and slots that no longer count.
func (qua *Quarantine) expire(now time.Time) {
	for fpr, known := range qua.crashes {
		for event, when := range known {
			if now.Sub(when) >= Period {
				delete(known, event)
			}
		}
		if len(known) == 0 {
			delete(qua.crashes, fpr)
		}
	}
	for key, slt := range qua.slots {
		if !now.Before(slt.until) {
			delete(qua.slots, key)
		}
	}
}

func (qua *Quarantine) makeRoom(now time.Time) {
	if len(qua.crashes) < maxFingerprints {
		return
	}
	qua.expire(now)
	if len(qua.crashes) < maxFingerprints {
		return
	}
	var oldest Fingerprint
	var oldestTime time.Time
	for fpr, known := range qua.crashes {
		for _, when := range known {
			if oldest == "" || when.Before(oldestTime) {
				oldest = fpr
				oldestTime = when
			}
		}
	}
	delete(qua.crashes, oldest)
}
