package zones_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/standin/fleet"
)

// servedAlone is the least time for which the zone is cut off before it is taken out: all reports and all
// slots then date from the cut.
const servedAlone = 3 * time.Second

// testIsolatedZone guards against a zone that stops serving, that answers wrongly or that runs a keyed
// call while it is cut off from the platform and from the other zones, and against orders and
// generations that do not spread when the cut ends.
func testIsolatedZone(t *testing.T, sed uint64) {
	c := qt.New(t)
	ctx, env := reuse(t, sed)
	serves := invariant{text: "a zone that is cut off answers model requests from its own groups"}
	truth := invariant{text: "no request is answered wrongly around a cut"}
	keyed := invariant{text: "keyed calls in a zone that is cut off are rejected as not run, within 1.5 s"}
	unrun := invariant{text: "a keyed call that was rejected as not run has not run, nor does it run after the cut"}
	healed := invariant{text: "keyed calls work after the cut, within 5 s"}
	quiet := invariant{text: "zone out at an entry VM of a zone that is cut off: no new work after 3 s"}
	finish := invariant{text: "zone out in a zone that is cut off: requests in progress finish"}
	wins := invariant{text: "when a cut ends the zone order with the higher version holds everywhere, within 5 s"}
	force := invariant{text: "a generation accepted during a cut is in force after it, within 5 s"}
	revert := invariant{text: "no daemon goes back to a lower generation"}
	zon, kind := env.zone(), env.kind()
	inside := env.entries(zon)
	outside := env.entries(map[string]string{"zone-1": "zone-2", "zone-2": "zone-3", "zone-3": "zone-1"}[zon])
	t.Logf("%s is cut off, kind %s", zon, kind)
	stopWatch := watchGenerations(ctx, env, &revert)
	cls := startCallers(ctx, env.Entries, 1, 100*time.Millisecond)
	c.Assert(book(ctx, inside[0], fmt.Sprintf("seed %d before the cut", sed)).result, qt.Equals, right)

	began := time.Now()
	c.Assert(env.Cut(ctx, env.Isolate(zon, kind)...), qt.IsNil)
	sta, err := fleet.Status(ctx, outside[0])
	c.Assert(err, qt.IsNil)
	hed, err := fleet.Promote(ctx, outside[0], newDocument(2+int(sta.Generation)), sta.Generation)
	c.Assert(err, qt.IsNil)
	var rejected []string
	for turn := range 3 {
		refs := make([]string, len(inside))
		cals := make([]call, len(inside))
		var wgr sync.WaitGroup
		for idx, ent := range inside {
			refs[idx] = fmt.Sprintf("seed %d %s turn %d", sed, ent.Name, turn)
			wgr.Go(func() { cals[idx] = book(ctx, ent, refs[idx]) })
		}
		wgr.Wait()
		for idx, cal := range cals {
			keyed.check(cal.result == notRun && cal.took < 1500*time.Millisecond, "%v", cal)
			keyed.took(cal.took)
			if cal.result == notRun {
				rejected = append(rejected, refs[idx])
			}
		}
	}
	time.Sleep(time.Until(began.Add(servedAlone)))
	served := time.Now()
	long := startLong(ctx, inside)
	time.Sleep(300 * time.Millisecond)
	ordered := time.Now()
	held := order(ctx, t, inside[0], zon, true)
	quiet.took(time.Since(ordered))
	// On the other side of the cut operators give two orders, of which the latter returns the zone.
	order(ctx, t, outside[0], zon, true)
	want := order(ctx, t, outside[0], zon, false)
	if env.rnd.IntN(2) == 0 {
		order(ctx, t, inside[1], zon, false)
		held = order(ctx, t, inside[1], zon, true)
		ordered = time.Now()
	}
	if held.Newer(want) {
		want = held
	}
	time.Sleep(time.Until(ordered.Add(orderBound)))
	before := env.received(ctx, t, zon)
	finish.checkCalls(long(), false)
	time.Sleep(time.Second)
	quiet.check(env.received(ctx, t, zon) == before, "%d requests came late", env.received(ctx, t, zon)-before)

	c.Assert(env.Cut(ctx), qt.IsNil)
	ended := time.Now()
	for _, ent := range env.Entries {
		gen, took := waitFor(ended, generationBound, func() (uint64, bool) {
			sta, err := fleet.Status(ctx, ent)
			return sta.Generation, err == nil && sta.Generation == hed.Generation
		})
		force.check(took < generationBound, "%s has generation %d", ent.Name, gen)
		force.took(took)
		state, took := waitFor(ended, generationBound, func() (inventory.Zone, bool) {
			var state inventory.Zone
			err := fleet.Operate(ctx, ent, http.MethodGet, "/zones/"+zon, nil, &state)
			return state, err == nil && state == want
		})
		wins.check(took < generationBound, "%s holds %v, not %v", ent.Name, state, want)
		wins.took(took)
	}
	for _, ent := range inside {
		turn := 0
		last, took := waitFor(ended, generationBound, func() (call, bool) {
			turn++
			cal := book(ctx, ent, fmt.Sprintf("seed %d %s after the cut, turn %d", sed, ent.Name, turn))
			return cal, cal.result == right
		})
		healed.check(took < generationBound, "%v", last)
		healed.took(took)
	}
	runs := env.runs(ctx, t)
	for _, ref := range rejected {
		unrun.check(runs[ref] == 0, "%s ran %d times", ref, runs[ref])
	}
	calls := cls.stop()
	stopWatch()
	// What is still waiting when the zone is taken out is rejected.
	serves.checkCalls(between(calls, zon, began, served.Add(-500*time.Millisecond)), false)
	for _, cal := range calls {
		if cal.result != right && cal.result != notRun {
			t.Logf("%s, %v after the start of the cut and %v after its end, took %v: %s %s", cal.entry, cal.began.Sub(began), cal.began.Sub(ended), cal.took, cal.result, cal.detail)
		}
		truth.check(cal.result != wrong && cal.result != broken, "%v", cal)
		truth.took(cal.took)
	}
	for _, inv := range []*invariant{&serves, &truth, &keyed, &unrun, &healed, &quiet, &finish, &wins, &force, &revert} {
		inv.report(t, sed)
	}
}

// waitFor asks until the answer is good or the bound has passed since a time; it returns the last answer
// and the time taken.
func waitFor[T any](since time.Time, bound time.Duration, question func() (T, bool)) (T, time.Duration) {
	for {
		val, good := question()
		took := time.Since(since)
		if good || took > bound {
			return val, took
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// watchGenerations checks at every daemon that its generation never falls, until the function that it
// returns is called.
func watchGenerations(ctx context.Context, env *environment, inv *invariant) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wgr sync.WaitGroup
	var mu sync.Mutex
	for _, ent := range env.Entries {
		wgr.Go(func() {
			var highest uint64
			for ctx.Err() == nil {
				if sta, err := fleet.Status(ctx, ent); err == nil {
					mu.Lock()
					inv.check(sta.Generation >= highest, "%s went from %d to %d", ent.Name, highest, sta.Generation)
					mu.Unlock()
					highest = max(highest, sta.Generation)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		wgr.Wait()
	}
}
