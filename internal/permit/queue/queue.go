package queue

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/permit"
)

const (
	// ErrLate says that the request cannot start before its deadline.
	ErrLate = errors.ConstError("queue: cannot start before the deadline")
	// ErrFull says that the queue holds as many requests as it may.
	ErrFull = errors.ConstError("queue: full")
	// ErrExpired says that the slot was lost between the admission and the sending.
	ErrExpired = errors.ConstError("queue: permit expired")
)

// Config holds the named numbers of a queue.
type Config struct {
	// MaxWaiting bounds the number of waiting requests.
	MaxWaiting int
	// Spare is the number of unused slots that are kept for requests to come while the group is warm.
	Spare int
	// SpareFor is the time after the last request for which spare slots are kept.
	SpareFor time.Duration
	// Objective is the time to first token above which a request counts as late.
	Objective time.Duration
}

// Sight is the youngest report of the group's rank 0 that the daemon has.
type Sight struct {
	Fencing     uint64
	Incarnation uint64
	Cold        bool
	AsOf        time.Time
}

// Ticket is one request in the queue or in progress.
type Ticket struct {
	Workspace string
	Share     int
	Priority  int
	Deadline  time.Time
	// Ready is closed once the request has a slot.
	Ready chan struct{}

	state  state
	sentAt time.Time
}

type state int

const (
	waiting state = iota
	admitted
	sent
	ended
)

// Queue is a daemon's queue in front of one group.
type Queue struct {
	cfg Config

	mu      sync.Mutex
	sight   Sight
	lease   lease
	waiting []*Ticket
	// admitted counts requests with a slot, sent those of them whose sending began.
	admitted int
	sent     int
	turns    map[string]float64
	lastUsed time.Time
	pace     pace
	asks     uint64
	finished int
	tokens   int
	late     int
}

// lease is the last grant. While a call to the owner is under way only hold slots are used, since the
// owner may give away the rest.
type lease struct {
	grant   permit.Grant
	expires time.Time
	asking  bool
	// starved says that requests still waited after the last answer, so the owner had no slot for them.
	starved bool
	hold    int
	// own and waiting are the daemon's requests that the owner counted in the grant.
	own     int
	waiting int
}

// Load is what is known of a group's load.
type Load struct {
	// Grant has the owner's counts as of its last answer, in which the daemon's own share was OwnThen
	// requests with a slot and WaitingThen waiting ones.
	Grant       permit.Grant
	OwnThen     int
	WaitingThen int
	// Own and Waiting are the daemon's requests now.
	Own     int
	Waiting int
	// Fresh says that the answer is still valid.
	Fresh bool
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:   cfg,
		turns: map[string]float64{},
	}
}

// See takes a report of the group's rank 0; an older one than the last is ignored. It reports whether the
// engine started anew or turned cold, and so lost its cache.
func (que *Queue) See(sgt Sight) bool {
	que.mu.Lock()
	defer que.mu.Unlock()
	old := que.sight
	que.see(sgt)
	return que.sight.Incarnation != old.Incarnation || que.sight.Cold && !old.Cold
}

func (que *Queue) see(sgt Sight) {
	if sgt.Fencing < que.sight.Fencing || sgt.AsOf.Before(que.sight.AsOf) {
		return
	}
	que.sight = sgt
}

// Enter adds a request, which has a slot once Ready is closed. It fails at once, with the time to come
// back, if the request cannot start in time.
func (que *Queue) Enter(tkt *Ticket, now time.Time) (time.Duration, error) {
	que.mu.Lock()
	defer que.mu.Unlock()
	tkt.Ready = make(chan struct{})
	que.lastUsed = now
	if len(que.waiting) >= que.cfg.MaxWaiting {
		return que.pace.wait(len(que.waiting)), errors.Trace(ErrFull)
	}
	que.waiting = append(que.waiting, tkt)
	que.admit(now)
	if tkt.state == waiting {
		wait := que.pace.wait(que.ahead(tkt) + 1)
		if now.Add(wait).After(tkt.Deadline) {
			que.remove(tkt)
			tkt.state = ended
			return wait, errors.Trace(ErrLate)
		}
	}
	return 0, nil
}

// Send counts a request as sent; it is called at the moment of sending and fails if the slot is gone.
func (que *Queue) Send(tkt *Ticket, sgt Sight, now time.Time) error {
	que.mu.Lock()
	defer que.mu.Unlock()
	que.see(sgt)
	if tkt.state == sent {
		return nil
	}
	if tkt.state != admitted || que.sent >= que.usable(now) {
		return errors.Trace(ErrExpired)
	}
	tkt.state = sent
	tkt.sentAt = now
	que.sent++
	return nil
}

// FirstToken records the first token of a request.
func (que *Queue) FirstToken(tkt *Ticket, now time.Time) {
	que.mu.Lock()
	defer que.mu.Unlock()
	que.tokens++
	if now.Sub(tkt.sentAt) > que.cfg.Objective {
		que.late++
	}
}

// End gives a request's slot to the next one, or drops the request if it still waits.
func (que *Queue) End(tkt *Ticket, now time.Time) {
	que.mu.Lock()
	defer que.mu.Unlock()
	switch tkt.state {
	case ended:
		return
	case waiting:
		que.remove(tkt)
	case sent:
		que.sent--
		que.admitted--
		que.finished++
		que.pace.tick(now)
	case admitted:
		que.admitted--
	}
	tkt.state = ended
	que.lastUsed = now
	que.admit(now)
}

// Ask returns what to tell the owner, and whether a call is due: an idle queue without slots needs none.
func (que *Queue) Ask(group string, now time.Time) (permit.Ask, bool) {
	que.mu.Lock()
	defer que.mu.Unlock()
	que.expire(now)
	// A queue that has become empty is told as well, since the owner keeps slots for what it was told of and
	// takes slots that are not given back for requests whose holder is gone.
	idle := len(que.waiting) == 0 && que.admitted == 0 && que.lease.grant.Slots == 0 && que.lease.waiting == 0
	if idle || que.lease.asking {
		return permit.Ask{}, false
	}
	que.lease.hold = que.keep(now)
	que.lease.asking = true
	que.lease.own = que.sent
	que.lease.waiting = len(que.waiting)
	que.asks++
	ask := permit.Ask{
		Group:       group,
		Fencing:     que.sight.Fencing,
		Sequence:    que.asks,
		Incarnation: que.sight.Incarnation,
		Cold:        que.sight.Cold,
		Age:         now.Sub(que.sight.AsOf),
		Running:     que.sent,
		Hold:        que.lease.hold,
		Finished:    que.finished,
		FirstTokens: que.tokens,
		Late:        que.late,
		Demand:      que.demand(now),
	}
	que.finished, que.tokens, que.late = 0, 0, 0
	return ask, true
}

// keep returns the slots to hold while the owner is asked: those in use and, at a warm group in recent
// use, some spare ones, so that most requests start without a call.
func (que *Queue) keep(now time.Time) int {
	usable := que.usableOf(que.lease.grant.Slots, now)
	want := que.admitted
	if !que.sight.Cold && now.Sub(que.lastUsed) < que.cfg.SpareFor {
		want += que.cfg.Spare
	}
	return max(que.sent, min(usable, want))
}

// Take keeps the owner's answer to an ask that was sent at sentAt; a nil grant says that none came. It
// reports whether requests still wait at a cold group, where asking again soon is of use.
func (que *Queue) Take(grt *permit.Grant, sentAt, now time.Time) bool {
	que.mu.Lock()
	defer que.mu.Unlock()
	que.lease.asking = false
	if grt == nil {
		// The owner may have taken the ask, and with it the slots that were not held on to.
		que.lease.grant.Slots = min(que.lease.grant.Slots, que.lease.hold)
		return len(que.waiting) > 0
	}
	que.lease.grant = *grt
	que.lease.expires = sentAt.Add(grt.ValidFor)
	que.admit(now)
	que.lease.starved = len(que.waiting) > 0
	return que.lease.starved && que.sight.Cold
}

// Starved reports whether asking again before the next renewal is of no use: slots become free where
// requests end, and the owner divides them anew at each renewal.
func (que *Queue) Starved(now time.Time) bool {
	que.mu.Lock()
	defer que.mu.Unlock()
	return que.lease.starved && now.Before(que.lease.expires)
}

// Load returns what is known of the group's load.
func (que *Queue) Load(now time.Time) Load {
	que.mu.Lock()
	defer que.mu.Unlock()
	return Load{
		Grant:       que.lease.grant,
		OwnThen:     que.lease.own,
		WaitingThen: que.lease.waiting,
		Own:         que.admitted,
		Waiting:     len(que.waiting),
		Fresh:       now.Before(que.lease.expires),
	}
}

func (que *Queue) usable(now time.Time) int {
	if que.lease.asking {
		return que.usableOf(min(que.lease.hold, que.lease.grant.Slots), now)
	}
	return que.usableOf(que.lease.grant.Slots, now)
}

func (que *Queue) usableOf(slots int, now time.Time) int {
	grt := que.lease.grant
	if !now.Before(que.lease.expires) || grt.Incarnation != que.sight.Incarnation || que.sight.Cold && !grt.Cold {
		return 0
	}
	return slots
}
