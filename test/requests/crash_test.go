package requests_test

import (
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/engine"
	"github.com/cumintally/cumintally/internal/standin/fleet"
)

// crashed returns the number of engines that a request has crashed; each is in another group, because
// only the first member of a group takes requests.
func (wld *world) crashed() int {
	num := 0
	for _, eng := range wld.Engines {
		if eng.Wait(exitWait) {
			num++
		}
	}
	return num
}

// Guards against a third group lost to one request that is sent again through every entry VM, and
// against other requests rejected for it.
func TestCrashingRequestCostsTwoGroups(tst *testing.T) {
	wld := start(tst, fleet.Config{EntryVMs: 6, VMsPerDomain: 10}, 5, "one")
	var wgr sync.WaitGroup
	for _, prompt := range []string{"innocent a", "innocent b", "innocent c", "innocent d"} {
		wgr.Go(func() {
			ans := &answer{}
			wld.whole(prompt, 400, wld.Entries[:1], ans)
			check(tst, ans, prompt, 400)
		})
	}
	wld.eventually("innocent streams", func() bool { return wld.running() == 4 })
	crash := engine.CrashMarker + " now"
	for range 3 {
		for _, ent := range wld.Entries {
			ans := &answer{}
			_ = ans.post(wld.ctx, ent, body(crash, 10, true), nil)
			qt.Assert(tst, ans.problem, qt.IsNotNil)
			qt.Check(tst, ans.problem.Status == http.StatusUnprocessableEntity || ans.problem.Outcome == "Unknown", qt.IsTrue,
				qt.Commentf("%+v", *ans.problem))
		}
	}
	qt.Assert(tst, wld.crashed(), qt.Equals, 2)
	for idx, ent := range wld.Entries {
		ans := &answer{}
		qt.Assert(tst, ans.post(wld.ctx, ent, body(crash, 10, true), nil), qt.IsNil)
		if ent.Zone == "one" {
			qt.Check(tst, *ans.problem, qt.Equals, problem{
				Title:   "Request quarantined",
				Status:  http.StatusUnprocessableEntity,
				Detail:  "requests with this model and prompt were in progress at the crashes of two groups",
				Outcome: "NotRun",
			}, qt.Commentf("entry %d", idx))
			qt.Check(tst, ans.retryAfter, qt.Not(qt.Equals), "")
		}
	}
	wgr.Wait()
	qt.Assert(tst, wld.crashed(), qt.Equals, 2)
}

// Guards against the same bound broken by a caller that sends copies through all entry VMs at once.
func TestCrashingRequestsAtOnce(tst *testing.T) {
	wld := start(tst, fleet.Config{EntryVMs: 8, VMsPerDomain: 12}, 6, "one")
	var wgr sync.WaitGroup
	for range 4 {
		for _, ent := range wld.Entries {
			wgr.Go(func() {
				ans := &answer{}
				_ = ans.post(wld.ctx, ent, body(engine.CrashMarker+" at once", 10, true), nil)
				qt.Check(tst, ans.problem, qt.IsNotNil)
			})
		}
	}
	wgr.Wait()
	qt.Assert(tst, wld.crashed() <= 2, qt.IsTrue, qt.Commentf("%d groups were lost", wld.crashed()))
}
