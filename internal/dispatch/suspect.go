package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/refusal"
)

// memberReportTimeout is the time within which a member must report to this daemon that it still runs after a stream
// of its group was lost. If a member does not, the reports of other daemons decide whether the loss is a crash.
const memberReportTimeout = 300 * time.Millisecond

// peerReportTimeout is the time within which another daemon must report the member: a substitute starts probing when a
// report is 1 s old, and its probe and one pull take up to 0.8 s.
const peerReportTimeout = 2500 * time.Millisecond

// slotRetryInterval is the time between two attempts to acquire slots; each attempt is a call to another daemon.
const slotRetryInterval = 100 * time.Millisecond

// copyPlacementTimeout is how long a copy waits until the group on which other copies were placed is available again or
// its crash is announced: the loss of a stream counts as a crash after peerReportTimeout at most, and its announcement
// takes 300 ms more.
const copyPlacementTimeout = 3 * time.Second

// errSuspect means that a request may run only while it holds the slots of a suspect.
const errSuspect = errors.ConstError("dispatch: request is a suspect")

func (run *run) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(run.request.Model, run.request.Prompt)
}

func (run *run) isSuspect() bool {
	dec, _ := run.dispatcher.crashQuarantine.Decide(run.fingerprint(), run.dispatcher.clock.Now())
	return dec != quarantine.Clear
}

// checkQuarantine rejects a request whose fingerprint was in progress at the crashes of two groups.
func (run *run) checkQuarantine() error {
	dec, left := run.dispatcher.crashQuarantine.Decide(run.fingerprint(), run.dispatcher.clock.Now())
	if dec != quarantine.Quarantined {
		return nil
	}
	run.dispatcher.requestCounters.quarantined.Inc(1)
	return refusal.New(run.outcome(), http.StatusUnprocessableEntity, "Request quarantined",
		"requests with this model and prompt were in progress at the crashes of two groups", left)
}

// placeWithCopies chooses a group for a request that is not a suspect. Copies of one request in the zone share a group,
// so it takes the group on which earlier copies were placed.
func (run *run) placeWithCopies(ctx context.Context) (Candidate, error) {
	from := ""
	for end := run.dispatcher.clock.Now().Add(copyPlacementTimeout); ; {
		if run.isSuspect() {
			return Candidate{}, errors.Trace(errSuspect)
		}
		cands := run.dispatcher.candidates(run.request, run.failedGroups)
		if len(cands) == 0 {
			return Candidate{}, errors.Trace(errNoGroup)
		}
		cand := run.dispatcher.deps.Choose(run.request, cands)
		name := run.dispatcher.deps.PlaceCopy(ctx, run.fingerprint(), cand.Group.Name, from, run.requestID)
		for _, cnd := range cands {
			// The crash of a copy may have been announced in the meantime.
			if cnd.Group.Name == name && !run.isSuspect() {
				return cnd, nil
			}
		}
		if run.dispatcher.clock.Now().After(end) {
			from = name
		}
		select {
		case <-run.dispatcher.clock.After(pollInterval):
		case <-ctx.Done():
			return Candidate{}, errors.Trace(ctx.Err())
		}
	}
}

// acquireSuspectSlots acquires the slot of the fingerprint and the slot of a group, so that the zone runs one request
// with this fingerprint at a time and a group never runs two suspects at once.
func (run *run) acquireSuspectSlots(ctx context.Context) (Candidate, func(), error) {
	fpr := "request " + string(run.fingerprint())
	for {
		if err := run.checkQuarantine(); err != nil {
			return Candidate{}, nil, err
		}
		cands := run.dispatcher.candidates(run.request, run.failedGroups)
		if len(cands) == 0 {
			return Candidate{}, nil, errors.Trace(errNoGroup)
		}
		if releaseSlot, ok := run.dispatcher.deps.TryAcquireSlot(ctx, fpr, run.requestID); ok {
			// A crash of the previous holder is announced before its slot is released, so the decision is checked
			// again.
			if err := run.checkQuarantine(); err != nil {
				releaseSlot()
				return Candidate{}, nil, err
			}
			if cand, releaseGroup, ok := run.acquireGroupSlot(ctx, cands); ok {
				return cand, func() { releaseGroup(); releaseSlot() }, nil
			}
			releaseSlot()
		}
		select {
		case <-run.dispatcher.clock.After(slotRetryInterval):
		case <-ctx.Done():
			return Candidate{}, nil, errors.Trace(ctx.Err())
		}
	}
}

func (run *run) acquireGroupSlot(ctx context.Context, cands []Candidate) (Candidate, func(), bool) {
	for len(cands) > 0 {
		cand := run.dispatcher.deps.Choose(run.request, cands)
		if releaseSlot, ok := run.dispatcher.deps.TryAcquireSlot(ctx, "group "+cand.Group.Name, run.requestID); ok {
			return cand, releaseSlot, true
		}
		var rest []Candidate
		for _, cnd := range cands {
			if cnd.Group.Name != cand.Group.Name {
				rest = append(rest, cnd)
			}
		}
		cands = rest
	}
	return Candidate{}, nil, false
}

// incarnations returns the last reported incarnation of each member's engine, by VM.
func (dsp *Dispatcher) incarnations(grp group.Group) map[string]uint64 {
	incs := map[string]uint64{}
	for _, mem := range grp.Members {
		if ent, ok := dsp.reportTable.Lookup(mem.VM); ok {
			incs[mem.VM] = ent.Report.Incarnation
		}
	}
	return incs
}

// checkCrash records and announces a crash unless every member of the group still runs, which it reports. A member that neither
// this daemon nor others can reach counts as crashed: a missed crash would cost a group.
func (run *run) checkCrash(ctx context.Context, grp group.Group, incs map[string]uint64) (alive bool) {
	dsp := run.dispatcher
	if dsp.alive(ctx, grp, incs) {
		return true
	}
	crs := quarantine.Crash{
		Fingerprint: run.fingerprint(),
		Event:       fmt.Sprintf("%s %d %d", grp.Name, grp.Fencing, incs[grp.Members[0].VM]),
	}
	run.crashes = append(run.crashes, crs)
	dsp.requestCounters.crashes.Inc(1)
	dsp.crashQuarantine.RecordCrash(crs, dsp.clock.Now())
	dsp.logger.Warn("request was in progress when a replica crashed",
		zap.String("request", run.requestID),
		zap.String("group", grp.Name),
		zap.String("fingerprint", string(crs.Fingerprint)),
	)
	dsp.deps.Announce(ctx, crs)
	return false
}

// alive reports whether each member still runs with the given incarnation.
func (dsp *Dispatcher) alive(ctx context.Context, grp group.Group, incs map[string]uint64) bool {
	ctx = context.WithoutCancel(ctx)
	results := make(chan bool, len(grp.Members))
	for _, mem := range grp.Members {
		go func() { results <- dsp.memberAlive(ctx, mem, incs[mem.VM]) }()
	}
	for range grp.Members {
		if !<-results {
			return false
		}
	}
	return true
}

// memberAlive asks a member whether it still runs. A refused connection means that it does not. If this daemon cannot
// reach the member otherwise, the reports of other daemons decide, so that a daemon that alone is partitioned does not
// have requests quarantined.
func (dsp *Dispatcher) memberAlive(ctx context.Context, mem group.Member, incarnation uint64) bool {
	asked := dsp.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, memberReportTimeout)
	defer cancel()
	rep, err := dsp.deps.FetchReport(ctx, mem.Address)
	if err == nil {
		return rep.Incarnation == incarnation
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	for dsp.clock.Since(asked) < peerReportTimeout {
		if ent, ok := dsp.reportTable.Lookup(mem.VM); ok && ent.AsOf.After(asked) {
			return ent.Report.Incarnation == incarnation
		}
		<-dsp.clock.After(pollInterval)
	}
	return false
}
