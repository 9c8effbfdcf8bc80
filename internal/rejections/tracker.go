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
	// order holds the marks in the order in which they were added, oldest first; unsent holds those not yet sent to the
	// other daemons.
	order  []Mark
	unsent []Mark
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{
		arrivals: map[Mark]time.Time{},
	}
}

// RecordRejection records a request that arrived at arrivedAt and that this daemon rejects. A mark that is known keeps
// the time of its first arrival; a new one is queued for the other daemons unless the queue is full.
func (trk *Tracker) RecordRejection(mark Mark, arrivedAt, now time.Time) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	if trk.add(mark, arrivedAt, now) {
		trk.enqueue(mark)
	}
}

// Receive records marks received from another daemon. If forward is set, new ones are queued for the other daemons too.
func (trk *Tracker) Receive(marks []Mark, forward bool, now time.Time) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	for _, mark := range marks {
		if trk.add(mark, now, now) && forward {
			trk.enqueue(mark)
		}
	}
}

// SinceFirstArrival returns the time since a rejected request first arrived, 0 if it was not rejected recently. For a
// mark from another daemon, the time counts from the receipt of the mark.
func (trk *Tracker) SinceFirstArrival(mark Mark, now time.Time) time.Duration {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	arrivedAt, ok := trk.arrivals[mark]
	if !ok || now.Sub(arrivedAt) > markLifetime {
		return 0
	}
	return now.Sub(arrivedAt)
}

// TakeUnsent returns the marks that are queued for the other daemons and empties the queue.
func (trk *Tracker) TakeUnsent() []Mark {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	marks := trk.unsent
	trk.unsent = nil
	return marks
}

// add stores a mark and reports whether it is new. The caller holds the lock.
func (trk *Tracker) add(mark Mark, arrivedAt, now time.Time) bool {
	for len(trk.order) > 0 && (len(trk.order) >= maxMarks || now.Sub(trk.arrivals[trk.order[0]]) > markLifetime) {
		delete(trk.arrivals, trk.order[0])
		trk.order = trk.order[1:]
	}
	if _, ok := trk.arrivals[mark]; ok {
		return false
	}
	trk.arrivals[mark] = arrivedAt
	trk.order = append(trk.order, mark)
	return true
}

func (trk *Tracker) enqueue(mark Mark) {
	if len(trk.unsent) < maxMarksPerMessage {
		trk.unsent = append(trk.unsent, mark)
	}
}
