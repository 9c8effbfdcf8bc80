package rejections

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// markLifetime is the lifetime of a mark: longer than any retry delay that callers are given.
	markLifetime = 4 * time.Second
	// maxMarks bounds the number of marks: enough for a site that rejects a thousand requests per second.
	maxMarks = 4096
	// maxMarksPerMessage bounds the marks in one message to other daemons, a few hundred bytes.
	maxMarksPerMessage = 128
)

// Mark identifies a request by a hash of the part that a caller repeats in a retry.
type Mark uint32

// MarkOf returns the mark of a request with a fingerprint.
func MarkOf(fingerprint string) Mark {
	return Mark(xxhash.Sum64String(fingerprint))
}

// Tracker holds the marks of recently rejected requests and when each request first arrived.
type Tracker struct {
	mu       sync.Mutex
	arrivals map[Mark]time.Time
	// order holds the marks in order of arrival, oldest first; unsent holds those not yet sent to the other daemons.
	order  []Mark
	unsent []Mark
}

// New returns an empty set of marks.
func New() *Tracker {
	return &Tracker{
		arrivals: map[Mark]time.Time{},
	}
}

// RecordRejection records a request that arrived at the time came and that this daemon rejects, and queues its mark for the
// other daemons.
func (rts *Tracker) RecordRejection(mark Mark, came, now time.Time) {
	rts.mu.Lock()
	defer rts.mu.Unlock()
	if rts.add(mark, came, now) {
		rts.enqueue(mark)
	}
}

// Receive records marks received from another daemon. If forward is set, new ones are queued for the other daemons too.
func (rts *Tracker) Receive(marks []Mark, forward bool, now time.Time) {
	rts.mu.Lock()
	defer rts.mu.Unlock()
	for _, mark := range marks {
		if rts.add(mark, now, now) && forward {
			rts.enqueue(mark)
		}
	}
}

// SinceFirstArrival returns the time since a rejected request first arrived, 0 if it was not rejected recently. For a mark from
// another daemon, the time counts from the receipt of the mark.
func (rts *Tracker) SinceFirstArrival(mark Mark, now time.Time) time.Duration {
	rts.mu.Lock()
	defer rts.mu.Unlock()
	came, ok := rts.arrivals[mark]
	if !ok || now.Sub(came) > markLifetime {
		return 0
	}
	return now.Sub(came)
}

// TakeUnsent returns the marks that are queued for the other daemons and empties the queue.
func (rts *Tracker) TakeUnsent() []Mark {
	rts.mu.Lock()
	defer rts.mu.Unlock()
	marks := rts.unsent
	rts.unsent = nil
	return marks
}

// add stores a mark and reports whether it is new. The caller holds the lock.
func (rts *Tracker) add(mark Mark, came, now time.Time) bool {
	for len(rts.order) > 0 && (len(rts.order) >= maxMarks || now.Sub(rts.arrivals[rts.order[0]]) > markLifetime) {
		delete(rts.arrivals, rts.order[0])
		rts.order = rts.order[1:]
	}
	if _, ok := rts.arrivals[mark]; ok {
		return false
	}
	rts.arrivals[mark] = came
	rts.order = append(rts.order, mark)
	return true
}

func (rts *Tracker) enqueue(mark Mark) {
	if len(rts.unsent) < maxMarksPerMessage {
		rts.unsent = append(rts.unsent, mark)
	}
}
