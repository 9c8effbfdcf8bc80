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

// cutOffResponseLimit is the time within which a request gets a response while its entry VM cannot reach an
// engine: 5 s of waiting for a slot, 2 s within which the engine must begin to respond, and the response of
// another zone.
const cutOffResponseLimit = 8 * time.Second

// testCutOffEngines guards against an entry VM that responds wrongly or late when only this VM cannot reach its
// engines, and against dispatch to a group with a member that no daemon can reach.
func testCutOffEngines(t *testing.T, sed uint64) {
	c := qt.New(t)
	ctx, env := startShared(t, sed)
	cutOff := invariant{text: "an entry VM cut off from its engines responds correctly or with NotRun, within 8 s"}
	notRunIsTrue := invariant{text: "an entry VM cut off from its engines: requests that it rejected as NotRun did not run"}
	noDispatch := invariant{text: "a member cut off from all daemons: no dispatch to its group after 2 s"}
	servedElsewhere := invariant{text: "a member cut off from all daemons: callers are served by other zones"}
	servesAgain := invariant{text: "a member that is reachable again: its group serves again, within 5 s"}

	for _, kind := range []link.Kind{link.Drop, link.Refuse} {
		cutOffEntry := env.Entries[env.rnd.IntN(len(env.Entries))]
		for _, cal := range env.requestsDuringCut(ctx, t, cutOffEntry, kind, fmt.Sprintf("seed %d alone %s", sed, kind)) {
			cutOff.check((cal.result == correct || cal.result == notRun) && cal.took < cutOffResponseLimit, "%v", cal)
			cutOff.recordDuration(cal.took)
			notRunIsTrue.check(cal.result != notRun || !env.hasRun(ctx, t, cal.id), "%v", cal)
		}
	}

	env.waitServing(ctx, t)
	zon := env.randomZone()
	engs := env.engines(zon)
	lost := engs[env.rnd.IntN(len(engs))]
	kind := env.randomCutKind()
	t.Logf("%s is cut off from all daemons, kind %s", lost.Name, kind)
	var cuts []link.Cut
	for _, ent := range env.Entries {
		cuts = append(cuts, link.Cut{
			From: hostPrefix(ent.Peers),
			To:   hostPrefix(lost.Advertised),
			Kind: kind,
		})
	}
	cls := startCallers(ctx, env.Entries, 2, 50*time.Millisecond)
	began := time.Now()
	c.Assert(env.SetCuts(ctx, cuts...), qt.IsNil)
	time.Sleep(maxReportAge)
	before := env.receivedRequests(ctx, t, zon)
	// The callers above may all wait for the lost engine until the cut ends. The calls below begin during the cut in any
	// case.
	during := make([]call, len(env.Entries))
	var wgr sync.WaitGroup
	for idx, ent := range env.Entries {
		wgr.Go(func() {
			during[idx] = requestCompletion(ctx, ent, fmt.Sprintf("seed %d during the cut %d", sed, idx), 10)
		})
	}
	time.Sleep(2 * time.Second)
	late := env.receivedRequests(ctx, t, zon) - before
	noDispatch.check(late == 0, "%d requests arrived too late", late)
	noDispatch.recordDuration(time.Since(began))
	c.Assert(env.SetCuts(ctx), qt.IsNil)
	ended := time.Now()
	got, took := waitFor(ended, 5*time.Second, func() (int, bool) {
		num := env.receivedRequests(ctx, t, zon) - before - late
		return num, num > 0
	})
	servesAgain.check(got > 0, "the group of %s receives no requests", zon)
	servesAgain.recordDuration(took)
	wgr.Wait()
	calls := append(cls.stop(), during...)
	servedElsewhere.checkCalls(callsBetween(calls, zon, began.Add(maxReportAge), ended), false)
	for _, inv := range []*invariant{&cutOff, &notRunIsTrue, &noDispatch, &servedElsewhere, &servesAgain} {
		inv.report(t, sed)
	}
}

// requestsDuringCut sends requests to an entry VM that is cut off from the engines of its zone, and from nothing else.
func (env *environment) requestsDuringCut(ctx context.Context, t *testing.T, ent *fleet.Entry, kind link.Kind, prompt string) []call {
	t.Helper()
	var cuts []link.Cut
	for _, eng := range env.engines(ent.Zone) {
		cuts = append(cuts, link.Cut{
			From: hostPrefix(ent.Peers),
			To:   hostPrefix(eng.Advertised),
			Kind: kind,
		})
	}
	qt.Assert(t, env.SetCuts(ctx, cuts...), qt.IsNil)
	time.Sleep(200 * time.Millisecond)
	var wgr sync.WaitGroup
	calls := make([]call, 6)
	for idx := range calls {
		wgr.Go(func() { calls[idx] = requestCompletion(ctx, ent, fmt.Sprintf("%s %d", prompt, idx), 10) })
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("%s is cut off from its engines, kind %s: /readyz responds with status %d", ent.Name, kind, readiness(ctx, t, ent.Address))
	wgr.Wait()
	qt.Assert(t, env.SetCuts(ctx), qt.IsNil)
	// Bytes that the cut delayed arrive in this time.
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

// hasRun reports whether any engine has a stream of the request with the given ID.
func (env *environment) hasRun(ctx context.Context, t *testing.T, id string) bool {
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

// TestCutIsNoCrash guards against the quarantine of a request that was in progress at groups whose engines its
// entry VMs could not reach. No engine crashes in this test.
func TestCutIsNoCrash(t *testing.T) {
	forSeeds(t, func(t *testing.T, sed uint64) {
		ctx, env := startShared(t, sed)
		correctOrNotRun := invariant{text: "a request that meets cuts but no crash gets a correct response or NotRun"}
		for _, zon := range zones {
			cutOffEntry := env.entries(zon)[0]
			correctOrNotRun.checkCalls(env.requestsDuringCut(ctx, t, cutOffEntry, link.Drop, fmt.Sprintf("seed %d repeated", sed)), true)
		}
		correctOrNotRun.report(t, sed)
	})
}
