package storefeed

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/storesync"
)

const (
	// stateTimeout is the time after its last message for which a hub is assumed to feed its zone: several gossip
	// intervals.
	stateTimeout = 700 * time.Millisecond
	// resendInterval is the time after which changes that a daemon has not confirmed are sent again.
	resendInterval = 700 * time.Millisecond
)

// ProcessTime is a point in time on the clock of one daemon's process.
type ProcessTime struct {
	_ struct{} `cbor:",toarray"`

	Instance uint64
	// Elapsed is the time since the process created its Feeder.
	Elapsed time.Duration
}

// CopyState is what a daemon reports about its copies to the others.
type CopyState struct {
	_ struct{} `cbor:",toarray"`

	// Current says that the copy of the server registry is current, so that the daemon can feed others.
	Current bool
	// Revisions are the revisions of the copies, in the order of the kinds that daemons feed to each other.
	Revisions []uint64
	// SentAt is when the daemon reported this state.
	SentAt ProcessTime
}

// Update holds the changes that one daemon passes on to another.
type Update struct {
	_ struct{} `cbor:",toarray"`

	// Echo is the receiver's latest ProcessTime that the sender knows, and HeldFor the time since the sender received it.
	// Together they bound the age of the batches on the receiver's own clock, however long the frame was in flight.
	Echo    ProcessTime
	HeldFor time.Duration
	Batches []storesync.Batch
}

// Feeder tracks for one daemon which changes of the store the other daemons lack. Each daemon has one, also while it does
// not feed its zone (see FeedsZone). It is safe for concurrent use.
type Feeder struct {
	self     string
	instance uint64
	started  time.Time
	clk      clockwork.Clock

	mu sync.Mutex
	// states holds the latest state that each other daemon reported.
	states map[string]receivedState
	// sent holds the latest batch that was sent to each daemon, by kind.
	sent map[string]map[string]sentBatch
}

// receivedState is a reported state and when it arrived.
type receivedState struct {
	state CopyState
	at    time.Time
}

// sentBatch holds the revision up to which changes were sent, and when.
type sentBatch struct {
	revision uint64
	at       time.Time
}

// New returns the feeder of the daemon named self; instance identifies its process.
func New(self string, instance uint64, clk clockwork.Clock) *Feeder {
	return &Feeder{
		self:     self,
		instance: instance,
		started:  clk.Now(),
		clk:      clk,
		states:   map[string]receivedState{},
		sent:     map[string]map[string]sentBatch{},
	}
}

// State returns the state of the daemon's copies, which fols follow.
func (fdr *Feeder) State(current bool, fols []*storesync.Follower) CopyState {
	cps := CopyState{
		Current: current,
		SentAt: ProcessTime{
			Instance: fdr.instance,
			Elapsed:  fdr.clk.Since(fdr.started),
		},
	}
	for _, fol := range fols {
		cps.Revisions = append(cps.Revisions, fol.Revision())
	}
	return cps
}

// Receive stores the state that another daemon reported.
func (fdr *Feeder) Receive(daemon string, cps CopyState) {
	fdr.mu.Lock()
	defer fdr.mu.Unlock()
	if fdr.states[daemon].state.SentAt.Instance != cps.SentAt.Instance {
		delete(fdr.sent, daemon)
	}
	fdr.states[daemon] = receivedState{
		state: cps,
		at:    fdr.clk.Now(),
	}
}

// FeedsZone reports whether this daemon, whose own state is own, feeds the other daemons of its zone: it is the first of
// the zone's hubs whose copy is current.
func (fdr *Feeder) FeedsZone(own CopyState, hubs []string) bool {
	if !own.Current || !slices.Contains(hubs, fdr.self) {
		return false
	}
	fdr.mu.Lock()
	defer fdr.mu.Unlock()
	now := fdr.clk.Now()
	for _, name := range hubs {
		rcv, ok := fdr.states[name]
		if ok && name < fdr.self && rcv.state.Current && now.Sub(rcv.at) < stateTimeout {
			return false
		}
	}
	return true
}

// UpdateFor returns the changes that a daemon lacks of the kinds that fols follow. The update is empty for a daemon
// that has not reported its state.
func (fdr *Feeder) UpdateFor(daemon string, fols []*storesync.Follower) Update {
	fdr.mu.Lock()
	defer fdr.mu.Unlock()
	rcv, ok := fdr.states[daemon]
	if !ok {
		return Update{}
	}
	now := fdr.clk.Now()
	upd := Update{
		Echo:    rcv.state.SentAt,
		HeldFor: now.Sub(rcv.at),
	}
	for idx, fol := range fols {
		if idx >= len(rcv.state.Revisions) || rcv.state.Revisions[idx] == 0 {
			// The daemon has not listed the kind yet.
			continue
		}
		since := rcv.state.Revisions[idx]
		if snt := fdr.sent[daemon][fol.Kind()]; snt.revision > since && now.Sub(snt.at) < resendInterval {
			// These changes are in flight.
			since = snt.revision
		}
		if bat, ok := fol.ChangesSince(since); ok {
			upd.Batches = append(upd.Batches, bat)
		}
	}
	return upd
}

// RecordSent records that an update was sent to a daemon.
func (fdr *Feeder) RecordSent(daemon string, upd Update) {
	fdr.mu.Lock()
	defer fdr.mu.Unlock()
	if fdr.sent[daemon] == nil {
		fdr.sent[daemon] = map[string]sentBatch{}
	}
	for idx := range upd.Batches {
		bat := &upd.Batches[idx]
		if len(bat.Packed) > 0 || fdr.sent[daemon][bat.Kind].revision < bat.Revision {
			fdr.sent[daemon][bat.Kind] = sentBatch{
				revision: bat.Revision,
				at:       fdr.clk.Now(),
			}
		}
	}
}

// EarliestSent returns the earliest time at which an update can have been sent, or false if it was sent to another
// process than this one.
func (fdr *Feeder) EarliestSent(upd Update) (time.Time, bool) {
	if upd.Echo.Instance != fdr.instance {
		return time.Time{}, false
	}
	return fdr.started.Add(upd.Echo.Elapsed + upd.HeldFor), true
}

// Apply passes the batches of an update to the followers of their kinds.
func (fdr *Feeder) Apply(upd Update, fols []*storesync.Follower) {
	sent, ok := fdr.EarliestSent(upd)
	if !ok {
		return
	}
	for _, bat := range upd.Batches {
		for _, fol := range fols {
			if fol.Kind() == bat.Kind {
				fol.ApplyBatch(bat, sent)
			}
		}
	}
}
