package queue

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/permit"
)

const (
	// ErrDeadline reports that the request cannot start before its deadline.
	ErrDeadline = errors.ConstError("queue: cannot start before the deadline")
	// ErrFull reports that MaxWaiting requests are waiting.
	ErrFull = errors.ConstError("queue: full")
	// ErrSlotLost reports that the slot was lost between admission and sending: its grant expired, or the engine
	// restarted or turned cold.
	ErrSlotLost = errors.ConstError("queue: permit expired")
)

// Config holds the limits and durations of a Queue.
type Config struct {
	// MaxWaiting is the maximum number of waiting requests.
	MaxWaiting int
	// SpareSlots is the number of unused slots that are kept at a warm group for requests that arrive later.
	SpareSlots int
	// KeepSpareFor is the time for which spare slots are kept after the last request.
	KeepSpareFor time.Duration
	// FirstTokenObjective is the time to first token above which a request counts as late.
	FirstTokenObjective time.Duration
}

// Report is the latest report of the group's rank 0 that the daemon has.
type Report struct {
	Fencing     uint64
	Incarnation uint64
	Cold        bool
	AsOf        time.Time
}

// Ticket is one request that waits in the queue or is in flight.
type Ticket struct {
	Workspace string
	Share     int
	Priority  int
	Deadline  time.Time
	// Ready is closed once the request has a slot.
	Ready chan struct{}

	state  ticketState
	sentAt time.Time
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketAdmitted
	ticketSent
	ticketEnded
)

// Queue is a daemon's queue of requests for one group. It is safe for concurrent use.
type Queue struct {
	cfg Config

	mu      sync.Mutex
	report  Report
	lease   lease
	waiting []*Ticket
	// admitted is the number of requests with a slot, sent the number of those whose sending has begun.
	admitted        int
	sent            int
	virtualTimes    map[string]float64
	lastUsed        time.Time
	completions     completionRate
	sequence        uint64
	finished        int
	firstTokens     int
	lateFirstTokens int
}

// lease is the last grant and the state of the call that renews it. During a call to the owner only heldDuringCall
// slots are used, because the owner may grant the others to another daemon.
type lease struct {
	grant        permit.Grant
	expires      time.Time
	callInFlight bool
	// starved is set if requests still waited after the last response, so the owner had no slot for them.
	starved        bool
	heldDuringCall int
	// reportedRunning and reportedWaiting are the daemon's requests that the owner has counted in the grant.
	reportedRunning int
	reportedWaiting int
}

// Load is the load of a group as far as this daemon knows it.
type Load struct {
	// Grant has the owner's totals as of its last response.
	Grant permit.Grant
	// ReportedRunning is the number of this daemon's running requests that the totals include.
	ReportedRunning int
	// ReportedWaiting is the number of this daemon's waiting requests that the totals include.
	ReportedWaiting int
	// OwnAdmitted is the number of this daemon's requests that have a slot now.
	OwnAdmitted int
	// OwnWaiting is the number of this daemon's requests that wait now.
	OwnWaiting int
	// GrantValid is set while the grant is valid.
	GrantValid bool
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:          cfg,
		virtualTimes: map[string]float64{},
	}
}

// RecordReport records a report of the group's rank 0; a report older than the last one is ignored. It reports whether
// the engine restarted or turned cold, and so lost its cache.
func (que *Queue) RecordReport(rep Report) bool {
	que.mu.Lock()
	defer que.mu.Unlock()
	old := que.report
	que.updateReport(rep)
	return que.report.Incarnation != old.Incarnation || que.report.Cold && !old.Cold
}

func (que *Queue) updateReport(rep Report) {
	if rep.Fencing < que.report.Fencing || rep.AsOf.Before(que.report.AsOf) {
		return
	}
	que.report = rep
}

// Enqueue adds a request, which has a slot once its Ready channel is closed. It fails with ErrFull if the queue is
// full and with ErrDeadline if the request cannot start before its deadline. With either error it returns the
// expected wait, after which the request may be retried.
func (que *Queue) Enqueue(tkt *Ticket, now time.Time) (time.Duration, error) {
	que.mu.Lock()
	defer que.mu.Unlock()
	tkt.Ready = make(chan struct{})
	que.lastUsed = now
	if len(que.waiting) >= que.cfg.MaxWaiting {
		return que.completions.expectedWait(len(que.waiting)), errors.Trace(ErrFull)
	}
	que.waiting = append(que.waiting, tkt)
	que.admit(now)
	if tkt.state == ticketWaiting {
		wait := que.completions.expectedWait(que.countAhead(tkt) + 1)
		if now.Add(wait).After(tkt.Deadline) {
			que.remove(tkt)
			tkt.state = ticketEnded
			return wait, errors.Trace(ErrDeadline)
		}
	}
	return 0, nil
}

// MarkSent counts a request as sent. It is called immediately before the request is sent and fails if the slot was
// lost.
func (que *Queue) MarkSent(tkt *Ticket, rep Report, now time.Time) error {
	que.mu.Lock()
	defer que.mu.Unlock()
	que.updateReport(rep)
	if tkt.state == ticketSent {
		return nil
	}
	if tkt.state != ticketAdmitted || que.sent >= que.usableSlots(now) {
		return errors.Trace(ErrSlotLost)
	}
	tkt.state = ticketSent
	tkt.sentAt = now
	que.sent++
	return nil
}

// RecordFirstToken records the time of the first token of a request.
func (que *Queue) RecordFirstToken(tkt *Ticket, now time.Time) {
	que.mu.Lock()
	defer que.mu.Unlock()
	que.firstTokens++
	if now.Sub(tkt.sentAt) > que.cfg.FirstTokenObjective {
		que.lateFirstTokens++
	}
}

// Release releases a request's slot to the next waiting request, or removes the request if it still waits.
func (que *Queue) Release(tkt *Ticket, now time.Time) {
	que.mu.Lock()
	defer que.mu.Unlock()
	switch tkt.state {
	case ticketEnded:
		return
	case ticketWaiting:
		que.remove(tkt)
	case ticketSent:
		que.sent--
		que.admitted--
		que.finished++
		que.completions.recordCompletion(now)
	case ticketAdmitted:
		que.admitted--
	}
	tkt.state = ticketEnded
	que.lastUsed = now
	que.admit(now)
}

// NextSlotRequest returns the slot request for the owner and whether to send it: none is due while another call is in
// flight or if the queue is idle and has no slots.
func (que *Queue) NextSlotRequest(group string, now time.Time) (permit.SlotRequest, bool) {
	que.mu.Lock()
	defer que.mu.Unlock()
	que.expire(now)
	// A queue that has become empty is reported too: the owner keeps slots for reported requests, and counts
	// slots that are not released as requests whose holder is gone.
	idle := len(que.waiting) == 0 && que.admitted == 0 && que.lease.grant.Slots == 0 && que.lease.reportedWaiting == 0
	if idle || que.lease.callInFlight {
		return permit.SlotRequest{}, false
	}
	que.lease.heldDuringCall = que.slotsToHold(now)
	que.lease.callInFlight = true
	que.lease.reportedRunning = que.sent
	que.lease.reportedWaiting = len(que.waiting)
	que.sequence++
	req := permit.SlotRequest{
		Group:           group,
		Fencing:         que.report.Fencing,
		Sequence:        que.sequence,
		Incarnation:     que.report.Incarnation,
		Cold:            que.report.Cold,
		ReportAge:       now.Sub(que.report.AsOf),
		Running:         que.sent,
		HeldSlots:       que.lease.heldDuringCall,
		Finished:        que.finished,
		FirstTokens:     que.firstTokens,
		LateFirstTokens: que.lateFirstTokens,
		Demand:          que.demand(now),
	}
	que.finished, que.firstTokens, que.lateFirstTokens = 0, 0, 0
	return req, true
}

// slotsToHold returns the number of slots to hold during a call to the owner: those in use and, at a warm group
// that was used recently, some spare ones, so that most requests start without a call.
func (que *Queue) slotsToHold(now time.Time) int {
	usable := que.usableOf(que.lease.grant.Slots, now)
	target := que.admitted
	if !que.report.Cold && now.Sub(que.lastUsed) < que.cfg.KeepSpareFor {
		target += que.cfg.SpareSlots
	}
	return max(que.sent, min(usable, target))
}

// ApplyGrant applies the owner's response to a slot request that was sent at sentAt; a nil grant means that there was
// none. It reports whether to call again soon: after a missing response if requests wait, else if requests
// still wait at a cold group, whose few slots change holders often.
func (que *Queue) ApplyGrant(grt *permit.Grant, sentAt, now time.Time) bool {
	que.mu.Lock()
	defer que.mu.Unlock()
	que.lease.callInFlight = false
	if grt == nil {
		// The owner may have received the slot request, and may then have reclaimed the slots that were not held.
		que.lease.grant.Slots = min(que.lease.grant.Slots, que.lease.heldDuringCall)
		return len(que.waiting) > 0
	}
	que.lease.grant = *grt
	que.lease.expires = sentAt.Add(grt.ValidFor)
	que.admit(now)
	que.lease.starved = len(que.waiting) > 0
	return que.lease.starved && que.report.Cold
}

// Starved reports whether an additional call before the next renewal would be useless: the owner had no slot
// for waiting requests, slots become free where requests end, and the owner distributes them at each renewal.
func (que *Queue) Starved(now time.Time) bool {
	que.mu.Lock()
	defer que.mu.Unlock()
	return que.lease.starved && now.Before(que.lease.expires)
}

// Load returns the load of the group as far as this daemon knows it.
func (que *Queue) Load(now time.Time) Load {
	que.mu.Lock()
	defer que.mu.Unlock()
	return Load{
		Grant:           que.lease.grant,
		ReportedRunning: que.lease.reportedRunning,
		ReportedWaiting: que.lease.reportedWaiting,
		OwnAdmitted:     que.admitted,
		OwnWaiting:      len(que.waiting),
		GrantValid:      now.Before(que.lease.expires),
	}
}

// usableSlots returns the number of slots that may be in use now.
func (que *Queue) usableSlots(now time.Time) int {
	if que.lease.callInFlight {
		return que.usableOf(min(que.lease.heldDuringCall, que.lease.grant.Slots), now)
	}
	return que.usableOf(que.lease.grant.Slots, now)
}

// usableOf returns slots, or 0 if the grant has expired or was made for another state of the engine.
func (que *Queue) usableOf(slots int, now time.Time) int {
	grt := que.lease.grant
	if !now.Before(que.lease.expires) || grt.Incarnation != que.report.Incarnation || que.report.Cold && !grt.Cold {
		return 0
	}
	return slots
}
