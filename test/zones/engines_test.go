package zones_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/fleet"
	"github.com/cumintally/cumintally/internal/standin/link"
)

// aloneBound is the time in which a request is answered while its entry VM cannot reach an engine: 5 s of
// waiting for a slot, 2 s in which the engine must begin to answer, and the answer of another zone.
const aloneBound = 8 * time.Second

// testCutOffEngines guards against an entry VM that answers untruthfully or late when it alone cannot
// reach its engines, and against work for a group one of whose members no daemon can reach.
func testCutOffEngines(t *testing.T, sed uint64) {
	c := qt.New(t)
	ctx, env := reuse(t, sed)
	alone := invariant{text: "an entry VM cut off from its engines answers right or NotRun, within 8 s"}
	unrun := invariant{text: "an entry VM cut off from its engines: what it rejected as not run has not run"}
	stops := invariant{text: "a member cut off from all daemons: no dispatch to its group after 2 s"}
	served := invariant{text: "a member cut off from all daemons: callers are served by other zones"}
	again := invariant{text: "a member that is back: its group serves again, within 5 s"}

	for _, kind := range []link.Kind{link.Drop, link.Refuse} {
		one := env.Entries[env.rnd.IntN(len(env.Entries))]
		for _, cal := range env.askAlone(ctx, t, one, kind, fmt.Sprintf("seed %d alone %s", sed, kind)) {
			alone.check((cal.result == right || cal.result == notRun) && cal.took < aloneBound, "%v", cal)
			alone.took(cal.took)
			unrun.check(cal.result != notRun || !env.ran(ctx, t, cal.id), "%v", cal)
		}
	}

	env.waitServing(ctx, t)
	zon := env.zone()
	engs := env.engines(zon)
	lost := engs[env.rnd.IntN(len(engs))]
	kind := env.kind()
	t.Logf("%s is cut off from all daemons, kind %s", lost.Name, kind)
	var cuts []link.Cut
	for _, ent := range env.Entries {
		cuts = append(cuts, link.Cut{
			From: host(ent.Peers),
			To:   host(lost.Advertised),
			Kind: kind,
		})
	}
	cls := startCallers(ctx, env.Entries, 2, 50*time.Millisecond)
	began := time.Now()
	c.Assert(env.Cut(ctx, cuts...), qt.IsNil)
	time.Sleep(evidenceBound)
	before := env.received(ctx, t, zon)
	// The callers above may all wait for the lost engine until the cut ends, so that calls that surely begin during the
	// cut are made apart from them.
	during := make([]call, len(env.Entries))
	var wgr sync.WaitGroup
	for idx, ent := range env.Entries {
		wgr.Go(func() { during[idx] = ask(ctx, ent, fmt.Sprintf("seed %d during the cut %d", sed, idx), 10) })
	}
	time.Sleep(2 * time.Second)
	late := env.received(ctx, t, zon) - before
	stops.check(late == 0, "%d requests came late", late)
	stops.took(time.Since(began))
	c.Assert(env.Cut(ctx), qt.IsNil)
	ended := time.Now()
	got, took := waitFor(ended, 5*time.Second, func() (int, bool) {
		num := env.received(ctx, t, zon) - before - late
		return num, num > 0
	})
	again.check(got > 0, "the group of %s gets no work", zon)
	again.took(took)
	wgr.Wait()
	calls := append(cls.stop(), during...)
	served.checkCalls(between(calls, zon, began.Add(evidenceBound), ended), false)
	for _, inv := range []*invariant{&alone, &unrun, &stops, &served, &again} {
		inv.report(t, sed)
	}
}

// askAlone sends requests to an entry VM that is cut off from the engines of its zone and no one else.
func (env *environment) askAlone(ctx context.Context, t *testing.T, one *fleet.Entry, kind link.Kind, prompt string) []call {
	t.Helper()
	var cuts []link.Cut
	for _, eng := range env.engines(one.Zone) {
		cuts = append(cuts, link.Cut{
			From: host(one.Peers),
			To:   host(eng.Advertised),
			Kind: kind,
		})
	}
	qt.Assert(t, env.Cut(ctx, cuts...), qt.IsNil)
	time.Sleep(200 * time.Millisecond)
	var wgr sync.WaitGroup
	calls := make([]call, 6)
	for idx := range calls {
		wgr.Go(func() { calls[idx] = ask(ctx, one, fmt.Sprintf("%s %d", prompt, idx), 10) })
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("%s is cut off from its engines, kind %s: /readyz answers %d", one.Name, kind, readiness(ctx, t, one.Address))
	wgr.Wait()
	qt.Assert(t, env.Cut(ctx), qt.IsNil)
	// Bytes that the cut held back arrive now.
	time.Sleep(200 * time.Millisecond)
	return calls
}

func readiness(ctx context.Context, t *testing.T, adr string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adr+"/readyz", nil)
	qt.Assert(t, err, qt.IsNil)
	res, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	res.Body.Close()
	return res.StatusCode
}

// ran reports whether any engine holds a stream of a request.
func (env *environment) ran(ctx context.Context, t *testing.T, id string) bool {
	t.Helper()
	for _, eng := range env.Engines {
		for attempt := range 3 {
			ctx, cancel := context.WithCancel(ctx)
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/streams/%s.%d?from=0", eng.Address, id, attempt), nil)
			qt.Assert(t, err, qt.IsNil)
			res, err := http.DefaultClient.Do(req)
			cancel()
			qt.Assert(t, err, qt.IsNil)
			res.Body.Close()
			if res.StatusCode != http.StatusNotFound {
				return true
			}
		}
	}
	return false
}

// TestCutIsNoCrash guards against the quarantine of a request that was only in progress at groups whose
// engines its entry VMs could not reach; no engine crashes here.
func TestCutIsNoCrash(t *testing.T) {
	forSeeds(t, func(t *testing.T, sed uint64) {
		ctx, env := reuse(t, sed)
		truth := invariant{text: "a request that meets cuts and no crash is answered right or NotRun"}
		for _, zon := range zones {
			one := env.entries(zon)[0]
			truth.checkCalls(env.askAlone(ctx, t, one, link.Drop, fmt.Sprintf("seed %d repeated", sed)), true)
		}
		truth.report(t, sed)
	})
}
