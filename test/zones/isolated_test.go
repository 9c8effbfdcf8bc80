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

// isolationTime is the minimum time for which the zone is cut off before it is taken out of service, so that all
// reports and all slots in use then date from the time of the cut.
const isolationTime = 3 * time.Second

// testIsolatedZone guards against a zone that stops serving, that responds wrongly or that runs a keyed call
// while it is cut off from the platform and from the other zones. It also guards against zone orders and
// generations that do not reach all daemons after the cut.
func testIsolatedZone(t *testing.T, sed uint64) {
	c := qt.New(t)
	ctx, env := startShared(t, sed)
	serves := invariant{text: "a zone that is cut off serves completion requests from its own groups"}
	notWrong := invariant{text: "every request before, during and after a cut gets a response, and none is wrong"}
	keyedRejected := invariant{text: "keyed calls in a zone that is cut off are rejected as NotRun, within 1.5 s"}
	notRunIsTrue := invariant{text: "a keyed call that was rejected as NotRun did not run, nor does it run after the cut"}
	keyedServed := invariant{text: "keyed calls work after the cut, within 5 s"}
	noNewRequests := invariant{text: "zone out at an entry VM of a zone that is cut off: no new requests after 3 s"}
	finished := invariant{text: "zone out in a zone that is cut off: requests in progress finish"}
	newerOrderWins := invariant{text: "after a cut the zone order with the higher version is in effect at every daemon, within 5 s"}
	generationSpreads := invariant{text: "a generation accepted during a cut is in force after it, within 5 s"}
	noRevert := invariant{text: "no daemon reverts to a lower generation"}
	zon, kind := env.randomZone(), env.randomCutKind()
	inside := env.entries(zon)
	outside := env.entries(map[string]string{"zone-1": "zone-2", "zone-2": "zone-3", "zone-3": "zone-1"}[zon])
	t.Logf("%s is cut off, kind %s", zon, kind)
	stopWatching := watchGenerations(ctx, env, &noRevert)
	cls := startCallers(ctx, env.Entries, 1, 100*time.Millisecond)
	c.Assert(requestBooking(ctx, inside[0], fmt.Sprintf("seed %d before the cut", sed)).result, qt.Equals, correct)

	began := time.Now()
	c.Assert(env.SetCuts(ctx, env.IsolationCuts(zon, kind)...), qt.IsNil)
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
			wgr.Go(func() { cals[idx] = requestBooking(ctx, ent, refs[idx]) })
		}
		wgr.Wait()
		for idx, cal := range cals {
			keyedRejected.check(cal.result == notRun && cal.took < 1500*time.Millisecond, "%v", cal)
			keyedRejected.recordDuration(cal.took)
			if cal.result == notRun {
				rejected = append(rejected, refs[idx])
			}
		}
	}
	time.Sleep(time.Until(began.Add(isolationTime)))
	served := time.Now()
	long := startLongRequests(ctx, inside)
	time.Sleep(300 * time.Millisecond)
	ordered := time.Now()
	held := orderZone(ctx, t, inside[0], zon, true)
	noNewRequests.recordDuration(time.Since(ordered))
	// On the other side of the cut operators give two orders; the second one returns the zone to service.
	orderZone(ctx, t, outside[0], zon, true)
	newest := orderZone(ctx, t, outside[0], zon, false)
	if env.rnd.IntN(2) == 0 {
		orderZone(ctx, t, inside[1], zon, false)
		held = orderZone(ctx, t, inside[1], zon, true)
		ordered = time.Now()
	}
	if held.Newer(newest) {
		newest = held
	}
	time.Sleep(time.Until(ordered.Add(orderLimit)))
	before := env.receivedRequests(ctx, t, zon)
	finished.checkCalls(long(), false)
	time.Sleep(time.Second)
	noNewRequests.check(env.receivedRequests(ctx, t, zon) == before, "%d requests arrived too late", env.receivedRequests(ctx, t, zon)-before)

	c.Assert(env.SetCuts(ctx), qt.IsNil)
	ended := time.Now()
	for _, ent := range env.Entries {
		gen, took := waitFor(ended, generationLimit, func() (uint64, bool) {
			sta, err := fleet.Status(ctx, ent)
			return sta.Generation, err == nil && sta.Generation == hed.Generation
		})
		generationSpreads.check(took < generationLimit, "%s has generation %d", ent.Name, gen)
		generationSpreads.recordDuration(took)
		state, took := waitFor(ended, generationLimit, func() (inventory.Zone, bool) {
			var state inventory.Zone
			err := fleet.CallOperatorAPI(ctx, ent, http.MethodGet, "/zones/"+zon, nil, &state)
			return state, err == nil && state == newest
		})
		newerOrderWins.check(took < generationLimit, "%s has %v instead of %v", ent.Name, state, newest)
		newerOrderWins.recordDuration(took)
	}
	for _, ent := range inside {
		turn := 0
		last, took := waitFor(ended, generationLimit, func() (call, bool) {
			turn++
			cal := requestBooking(ctx, ent, fmt.Sprintf("seed %d %s after the cut, turn %d", sed, ent.Name, turn))
			return cal, cal.result == correct
		})
		keyedServed.check(took < generationLimit, "%v", last)
		keyedServed.recordDuration(took)
	}
	runs := env.runsByReference(ctx, t)
	for _, ref := range rejected {
		notRunIsTrue.check(runs[ref] == 0, "%s ran %d times", ref, runs[ref])
	}
	calls := cls.stop()
	stopWatching()
	// Requests that still wait when the zone is taken out of service are rejected. So only calls that began at least
	// 500 ms before served are checked.
	serves.checkCalls(callsBetween(calls, zon, began, served.Add(-500*time.Millisecond)), false)
	for _, cal := range calls {
		if cal.result != correct && cal.result != notRun {
			t.Logf("%s, %v after the start of the cut and %v after its end, took %v: %s %s", cal.entry, cal.began.Sub(began), cal.began.Sub(ended), cal.took, cal.result, cal.detail)
		}
		notWrong.check(cal.result != wrong && cal.result != noResponse, "%v", cal)
		notWrong.recordDuration(cal.took)
	}
	for _, inv := range []*invariant{&serves, &notWrong, &keyedRejected, &notRunIsTrue, &keyedServed, &noNewRequests, &finished, &newerOrderWins, &generationSpreads, &noRevert} {
		inv.report(t, sed)
	}
}

// waitFor polls until poll reports success or more than bound has passed since the given time. It returns the
// last value and the time taken.
func waitFor[T any](since time.Time, bound time.Duration, poll func() (T, bool)) (T, time.Duration) {
	for {
		val, done := poll()
		took := time.Since(since)
		if done || took > bound {
			return val, took
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// watchGenerations checks that the generation of no daemon decreases, until the returned function is called.
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
