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

// reportTimeout is the time in which every member must answer for the loss of a stream not to count as a crash.
const reportTimeout = 300 * time.Millisecond

// heardTimeout is the time in which a report of another daemon must come: a substitute begins to probe when
// a report is 1 s old, and its probe and one pull take up to 0.8 s.
const heardTimeout = 2500 * time.Millisecond

// holdInterval is the time between two tries to take slots; each try is a call to another daemon.
const holdInterval = 100 * time.Millisecond

// placeWait is the time for which a copy waits for news of the group that other copies were placed on: the
// loss of a stream counts as a crash after heardTimeout at most, and an announcement takes 300 ms more.
const placeWait = 3 * time.Second

// errSuspect says that a request may run only under the slots of a suspect.
const errSuspect = errors.ConstError("dispatch: request is a suspect")

func (run *run) fingerprint() quarantine.Fingerprint {
	return quarantine.Of(run.req.Model, run.req.Prompt)
}

func (run *run) suspect() bool {
	ver, _ := run.dsp.qua.Verdict(run.fingerprint(), run.dsp.clk.Now())
	return ver != quarantine.Clear
}

// checkQuarantine rejects a request whose fingerprint has crashed two groups.
func (run *run) checkQuarantine() error {
	ver, left := run.dsp.qua.Verdict(run.fingerprint(), run.dsp.clk.Now())
	if ver != quarantine.Quarantined {
		return nil
	}
	run.dsp.cnt.quarantined.Inc(1)
	return refusal.New(run.outcome(), http.StatusUnprocessableEntity, "Request quarantined",
		"requests with this model and prompt were in progress at the crashes of two groups", left)
}

// place chooses a group for a request that is no suspect, together with the copies of it in the zone.
func (run *run) place(ctx context.Context) (Candidate, error) {
	from := ""
	for end := run.dsp.clk.Now().Add(placeWait); ; {
		if run.suspect() {
			return Candidate{}, errors.Trace(errSuspect)
		}
		cands := run.dsp.candidates(run.req, run.lost)
		if len(cands) == 0 {
			return Candidate{}, errors.Trace(errNoGroup)
		}
		cand := run.dsp.sea.Choose(run.req, cands)
		name := run.dsp.sea.Place(ctx, run.fingerprint(), cand.Group.Name, from, run.id)
		for _, cnd := range cands {
			// A crash of a copy may have been announced meanwhile.
			if cnd.Group.Name == name && !run.suspect() {
				return cnd, nil
			}
		}
		if run.dsp.clk.Now().After(end) {
			from = name
		}
		select {
		case <-run.dsp.clk.After(pollInterval):
		case <-ctx.Done():
			return Candidate{}, errors.Trace(ctx.Err())
		}
	}
}

// holdSlots takes the slot of the fingerprint and that of a group, so that a suspect runs once in the
// zone at a time and never alongside another suspect on the same group.
func (run *run) holdSlots(ctx context.Context) (Candidate, func(), error) {
	fpr := "request " + string(run.fingerprint())
	for {
		if err := run.checkQuarantine(); err != nil {
			return Candidate{}, nil, err
		}
		cands := run.dsp.candidates(run.req, run.lost)
		if len(cands) == 0 {
			return Candidate{}, nil, errors.Trace(errNoGroup)
		}
		if unhold, ok := run.dsp.sea.TryHold(ctx, fpr, run.id); ok {
			// A crash of the former holder is announced before its slot is free, so the verdict is read again.
			if err := run.checkQuarantine(); err != nil {
				unhold()
				return Candidate{}, nil, err
			}
			if cand, ungroup, ok := run.holdGroup(ctx, cands); ok {
				return cand, func() { ungroup(); unhold() }, nil
			}
			unhold()
		}
		select {
		case <-run.dsp.clk.After(holdInterval):
		case <-ctx.Done():
			return Candidate{}, nil, errors.Trace(ctx.Err())
		}
	}
}

func (run *run) holdGroup(ctx context.Context, cands []Candidate) (Candidate, func(), bool) {
	for len(cands) > 0 {
		cand := run.dsp.sea.Choose(run.req, cands)
		if unhold, ok := run.dsp.sea.TryHold(ctx, "group "+cand.Group.Name, run.id); ok {
			return cand, unhold, true
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

// incarnations returns the incarnation of each member's engine as last reported.
func (dsp *Dispatcher) incarnations(grp group.Group) map[string]uint64 {
	born := map[string]uint64{}
	for _, mem := range grp.Members {
		if ent, ok := dsp.tab.Lookup(mem.VM); ok {
			born[mem.VM] = ent.Report.Incarnation
		}
	}
	return born
}

// checkCrash records and announces a crash unless every member of the group still runs. A member that
// neither this daemon nor others can ask counts as crashed: a missed crash would cost a group.
func (run *run) checkCrash(ctx context.Context, grp group.Group, born map[string]uint64) {
	dsp := run.dsp
	if dsp.alive(ctx, grp, born) {
		return
	}
	crs := quarantine.Crash{
		Fingerprint: run.fingerprint(),
		Event:       fmt.Sprintf("%s %d %d", grp.Name, grp.Fencing, born[grp.Members[0].VM]),
	}
	run.crashes = append(run.crashes, crs)
	dsp.cnt.crashes.Inc(1)
	dsp.qua.Record(crs, dsp.clk.Now())
	dsp.log.Warn("a request was in progress at a crash",
		zap.String("request", run.id),
		zap.String("group", grp.Name),
		zap.String("fingerprint", string(crs.Fingerprint)),
	)
	dsp.sea.Announce(ctx, crs)
}

// alive reports whether each member still runs with the incarnation that it had.
func (dsp *Dispatcher) alive(ctx context.Context, grp group.Group, born map[string]uint64) bool {
	ctx = context.WithoutCancel(ctx)
	results := make(chan bool, len(grp.Members))
	for _, mem := range grp.Members {
		go func() { results <- dsp.memberAlive(ctx, mem, born[mem.VM]) }()
	}
	for range grp.Members {
		if !<-results {
			return false
		}
	}
	return true
}

// memberAlive asks a member whether it still runs. If this daemon cannot reach it, what others hear of it
// decides, since a daemon that alone is cut off must not have requests quarantined.
func (dsp *Dispatcher) memberAlive(ctx context.Context, mem group.Member, born uint64) bool {
	asked := dsp.clk.Now()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	rep, err := dsp.sea.Report(ctx, mem.Address)
	if err == nil {
		return rep.Incarnation == born
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	for dsp.clk.Since(asked) < heardTimeout {
		if ent, ok := dsp.tab.Lookup(mem.VM); ok && ent.AsOf.After(asked) {
			return ent.Report.Incarnation == born
		}
		<-dsp.clk.After(pollInterval)
	}
	return false
}
