package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

const (
	// Period is the time for which a crash counts against a fingerprint. A quarantine lasts while at least
	// crashesToQuarantine crashes count.
	Period = 10 * time.Minute
	// SlotTime is the time after which a slot expires unless its holder renews it.
	SlotTime = 3 * time.Second
	// crashesToQuarantine is the number of distinct crashes at which a fingerprint is quarantined.
	crashesToQuarantine = 2
	// maxFingerprints bounds the memory. When it is reached, the fingerprint with the oldest crash is dropped.
	maxFingerprints = 10000
)

// Fingerprint identifies requests with the same model and prompt.
type Fingerprint string

// FingerprintOf returns the fingerprint of a model and a prompt.
func FingerprintOf(model, prompt string) Fingerprint {
	return FingerprintOfSegments(model, prompt, nil)
}

// FingerprintOfSegments returns the fingerprint of a model and a prompt that consists of begin and segments, without copying these.
func FingerprintOfSegments(model, begin string, segments [][]byte) Fingerprint {
	hsh := sha256.New()
	hsh.Write([]byte(model + "\x00" + begin))
	for _, seg := range segments {
		hsh.Write(seg)
	}
	return Fingerprint(hex.EncodeToString(hsh.Sum(nil)[:16]))
}

// Crash is the loss of a group while a request with the fingerprint was in flight at it.
type Crash struct {
	Fingerprint Fingerprint
	// Event identifies the crash, so that a crash that several daemons observed counts once.
	Event string
	// Age is the time since the crash; daemons exchange ages because their clocks differ.
	Age time.Duration
}

// Decision states how a request may run.
type Decision int

// Decisions on a fingerprint.
const (
	Clear Decision = iota
	Suspect
	Quarantined
)

// Quarantine holds the crashes that one daemon knows of, and the slots and placements that it grants.
type Quarantine struct {
	mu      sync.Mutex
	crashes map[Fingerprint]map[string]time.Time
	slots   map[string]slot
	// placements holds only fingerprints that this daemon owns.
	placements map[Fingerprint]*placement
}

type slot struct {
	holder    string
	expiresAt time.Time
}

// New returns an empty quarantine.
func New() *Quarantine {
	return &Quarantine{
		crashes:    map[Fingerprint]map[string]time.Time{},
		slots:      map[string]slot{},
		placements: map[Fingerprint]*placement{},
	}
}

// RecordCrash stores a crash. It reports whether the crash is recent and was not known before.
func (qua *Quarantine) RecordCrash(crash Crash, now time.Time) bool {
	if crash.Age >= Period {
		return false
	}
	qua.mu.Lock()
	defer qua.mu.Unlock()
	known := qua.crashes[crash.Fingerprint]
	if _, ok := known[crash.Event]; ok {
		return false
	}
	if known == nil {
		qua.evictOldestFingerprint(now)
		known = map[string]time.Time{}
		qua.crashes[crash.Fingerprint] = known
	}
	known[crash.Event] = now.Add(-crash.Age)
	return true
}

// Decide returns how a request with the fingerprint may run, and the time until its latest crash expires, after which
// the fingerprint is clear again unless it crashes another group; 0 if it is clear now.
func (qua *Quarantine) Decide(fingerprint Fingerprint, now time.Time) (Decision, time.Duration) {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	count := 0
	var last time.Time
	for _, when := range qua.crashes[fingerprint] {
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

// CrashCount returns the number of distinct crashes that count against a fingerprint.
func (qua *Quarantine) CrashCount(fingerprint Fingerprint, now time.Time) int {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	num := 0
	for _, when := range qua.crashes[fingerprint] {
		if now.Sub(when) < Period {
			num++
		}
	}
	return num
}

// Crashes returns all crashes that have not expired.
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

// AcquireSlot acquires or renews the slot with a key for a holder. It reports whether the holder now has the slot.
func (qua *Quarantine) AcquireSlot(key, holder string, now time.Time) bool {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	if slt, ok := qua.slots[key]; ok && slt.holder != holder && now.Before(slt.expiresAt) {
		return false
	}
	qua.slots[key] = slot{
		holder:    holder,
		expiresAt: now.Add(SlotTime),
	}
	return true
}

// ReleaseSlot releases the slot with a key if the holder has it.
func (qua *Quarantine) ReleaseSlot(key, holder string) {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	if qua.slots[key].holder == holder {
		delete(qua.slots, key)
	}
}

// expire removes expired crashes and slots. The caller holds the lock.
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
		if !now.Before(slt.expiresAt) {
			delete(qua.slots, key)
		}
	}
}

// evictOldestFingerprint makes space for one more fingerprint: if maxFingerprints is reached, it removes what has
// expired and, if that is not enough, the fingerprint with the oldest crash. The caller holds the lock.
func (qua *Quarantine) evictOldestFingerprint(now time.Time) {
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
