package reservation

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// classLifetime is the time for which a class counts as seen after its latest request. One daemon of many receives a
	// kind of request every few seconds, so that capacity is still kept for it after ten times its usual pause.
	classLifetime = 45 * time.Second
	// shareWindow is the time constant with which counts of requests decay. It holds the requests of several tens of
	// seconds, as a daemon receives some kinds only every few seconds.
	shareWindow = time.Minute
	// minRequests is the number of requests from which on the share of a class that was sent tells something.
	minRequests = 6
	// starvedShare is the share of a class that was sent, in proportion to that of the more urgent ones, below which it is
	// exempt. No class may be served less than a quarter as often as all requests; twice that leaves room for requests
	// that are rejected for other reasons.
	starvedShare = 0.5
	// promptWeight is the number of latest requests that the moving average of prompt sizes covers.
	promptWeight = 16
)

// Verdict is the decision about a request.
type Verdict int

const (
	// Allowed means that no more urgent class needs the capacity.
	Allowed Verdict = iota
	// Reserved means that the capacity is kept for a more urgent class.
	Reserved
	// Exempt means that the capacity would be kept for a more urgent class, but the class of the request is starved and
	// therefore treated as equally urgent.
	Exempt
)

// Key identifies the groups that requests compete for.
type Key struct {
	Service string
	Model   string
}

// Class is what the urgency of a request follows from.
type Class struct {
	// Priority is 0 for the most urgent requests.
	Priority int
	// Objective is the time within which the response must begin.
	Objective time.Duration
}

// OnTime reports whether a request of a more urgent class with a prompt of promptTokens tokens would be on time; placed
// says whether after the request that is decided about, or in place of it.
type OnTime func(urgent Class, promptTokens int, placed bool) bool

// Ledger holds the classes that were seen lately and how many of their requests were sent.
type Ledger struct {
	mu      sync.Mutex
	classes map[Key]map[Class]*record
}

// record is what is known about a class. The counts decay; they are those at the time lastSeen.
type record struct {
	lastSeen     time.Time
	arrived      float64
	sent         float64
	promptTokens float64
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		classes: map[Key]map[Class]*record{},
	}
}

// Record adds a request that arrived for the first time; sent says whether it was sent to a backend server.
func (ldg *Ledger) Record(key Key, cls Class, promptTokens int, sent bool, now time.Time) {
	ldg.mu.Lock()
	defer ldg.mu.Unlock()
	rec, ok := ldg.classes[key][cls]
	if !ok {
		rec = &record{
			lastSeen:     now,
			promptTokens: float64(promptTokens),
		}
		ldg.add(key, cls, rec)
	}
	rec.arrived, rec.sent = rec.counts(now)
	rec.lastSeen = now
	rec.arrived++
	if sent {
		rec.sent++
	}
	rec.promptTokens += (float64(promptTokens) - rec.promptTokens) / promptWeight
}

// add adds a class and forgets those that have long not been seen, as after a change of the configuration. The caller
// holds the lock.
func (ldg *Ledger) add(key Key, cls Class, rec *record) {
	for old, recs := range ldg.classes {
		maps.DeleteFunc(recs, func(_ Class, other *record) bool { return rec.lastSeen.Sub(other.lastSeen) > 2*shareWindow })
		if len(recs) == 0 {
			delete(ldg.classes, old)
		}
	}
	if ldg.classes[key] == nil {
		ldg.classes[key] = map[Class]*record{}
	}
	ldg.classes[key][cls] = rec
}

// Decide returns whether a request of a class may be sent. A starved class competes with the more urgent ones on equal
// terms: its requests are sent where theirs are. They are never sent beyond, since a queue that is too long for the more
// urgent ones would reject all of those until it has shrunk.
func (ldg *Ledger) Decide(key Key, cls Class, onTime OnTime, now time.Time) Verdict {
	ldg.mu.Lock()
	defer ldg.mu.Unlock()
	vrd := Allowed
	for urgent, rec := range ldg.classes[key] {
		tokens := int(rec.promptTokens)
		if urgent.Priority >= cls.Priority || now.Sub(rec.lastSeen) > classLifetime || onTime(urgent, tokens, true) {
			continue
		}
		if !ldg.isStarved(key, cls, now) || !onTime(urgent, tokens, false) {
			return Reserved
		}
		vrd = Exempt
	}
	return vrd
}

// isStarved reports whether the share of a class that was sent is too far below that of the more urgent classes. The
// caller holds the lock.
func (ldg *Ledger) isStarved(key Key, cls Class, now time.Time) bool {
	own, ok := ldg.classes[key][cls]
	if !ok {
		return false
	}
	arrived, sent := own.counts(now)
	if arrived < minRequests {
		return false
	}
	urgentArrived, urgentSent := 0.0, 0.0
	for urgent, rec := range ldg.classes[key] {
		if urgent.Priority < cls.Priority {
			num, numSent := rec.counts(now)
			urgentArrived += num
			urgentSent += numSent
		}
	}
	// A few urgent requests must not starve a class, whether or not they were sent.
	urgentShare := 1.0
	if urgentArrived >= minRequests {
		urgentShare = urgentSent / urgentArrived
	}
	return sent/arrived < starvedShare*urgentShare
}

// counts returns the decayed numbers of requests that arrived and that were sent.
func (rec *record) counts(now time.Time) (arrived, sent float64) {
	factor := math.Exp(-now.Sub(rec.lastSeen).Seconds() / shareWindow.Seconds())
	return rec.arrived * factor, rec.sent * factor
}
