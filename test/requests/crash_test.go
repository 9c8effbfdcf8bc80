package requests_test

import (
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/engine"
	"github.com/cumintally/cumintally/internal/standin/fleet"
)

// crashedEngines returns the number of engines that requests have crashed. Each belongs to a different group,
// because only the first member of a group receives requests.
func (env *environment) crashedEngines() int {
	num := 0
	for _, eng := range env.Engines {
		if eng.ExitedWithin(exitWait) {
			num++
		}
	}
	return num
}

// TestCrashingRequestCostsTwoGroups guards against the loss of a third group to one request that is retried
// through every entry VM, and against the rejection of other requests because of it.
func TestCrashingRequestCostsTwoGroups(tst *testing.T) {
	env := start(tst, fleet.Config{EntryVMs: 6, VMsPerDomain: 10}, 5, "one")
	var wgr sync.WaitGroup
	for _, prompt := range []string{"innocent a", "innocent b", "innocent c", "innocent d"} {
		wgr.Go(func() {
			cpl := &completion{}
			env.streamToEnd(prompt, 400, env.Entries[:1], cpl)
			checkCompletion(tst, cpl, prompt, 400)
		})
	}
	env.eventually("the other streams are running", func() bool { return env.runningStreams() == 4 })
	crash := engine.CrashMarker + " now"
	for range 3 {
		for _, ent := range env.Entries {
			cpl := &completion{}
			_ = cpl.post(env.ctx, ent, body(crash, 10, true), nil)
			qt.Assert(tst, cpl.problem, qt.IsNotNil)
			qt.Check(tst, cpl.problem.Status == http.StatusUnprocessableEntity || cpl.problem.Outcome == "Unknown", qt.IsTrue,
				qt.Commentf("%+v", *cpl.problem))
		}
	}
	qt.Assert(tst, env.crashedEngines(), qt.Equals, 2)
	for idx, ent := range env.Entries {
		cpl := &completion{}
		qt.Assert(tst, cpl.post(env.ctx, ent, body(crash, 10, true), nil), qt.IsNil)
		if ent.Zone == "one" {
			qt.Check(tst, *cpl.problem, qt.Equals, problem{
				Title:   "Request quarantined",
				Status:  http.StatusUnprocessableEntity,
				Detail:  "requests with this model and prompt were in progress at the crashes of two groups",
				Outcome: "NotRun",
			}, qt.Commentf("entry %d", idx))
			qt.Check(tst, cpl.retryAfter, qt.Not(qt.Equals), "")
		}
	}
	wgr.Wait()
	qt.Assert(tst, env.crashedEngines(), qt.Equals, 2)
}

// TestCrashingRequestsAtOnce guards against the loss of more than two groups to one request when its caller sends
// copies through all entry VMs at once.
func TestCrashingRequestsAtOnce(tst *testing.T) {
	env := start(tst, fleet.Config{EntryVMs: 8, VMsPerDomain: 12}, 6, "one")
	var wgr sync.WaitGroup
	for range 4 {
		for _, ent := range env.Entries {
			wgr.Go(func() {
				cpl := &completion{}
				_ = cpl.post(env.ctx, ent, body(engine.CrashMarker+" at once", 10, true), nil)
				qt.Check(tst, cpl.problem, qt.IsNotNil)
			})
		}
	}
	wgr.Wait()
	qt.Assert(tst, env.crashedEngines() <= 2, qt.IsTrue, qt.Commentf("%d groups were lost", env.crashedEngines()))
}
