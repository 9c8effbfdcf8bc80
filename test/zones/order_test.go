package zones_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/engine"
)

// testZoneOutAndIn guards against new requests at the engines of a zone that operators took out of service, against
// requests in progress that the order interrupts, against callers of its entry VMs that are not served, and
// against cold engines that crash when the zone returns to service.
func testZoneOutAndIn(t *testing.T, sed uint64) {
	c := qt.New(t)
	ctx, env := startShared(t, sed)
	noNewRequests := invariant{text: "zone out: no new requests after 3 s"}
	finished := invariant{text: "zone out: requests in progress finish"}
	servedElsewhere := invariant{text: "zone out: callers of the zone's entry VMs are served by other zones"}
	coldLimitKept := invariant{text: "zone in: no cold engine receives more than its ColdLimit"}
	servesAgain := invariant{text: "zone in: the zone receives requests again, within 5 s"}
	correctOrNotRun := invariant{text: "every request around zone out and in gets a correct response or NotRun"}
	zon := env.randomZone()
	at := env.Entries[env.rnd.IntN(len(env.Entries))]
	t.Logf("%s is taken out at %s", zon, at.Name)
	cls := startCallers(ctx, env.Entries, 2, 50*time.Millisecond)
	long := startLongRequests(ctx, env.entries(zon))
	time.Sleep(300 * time.Millisecond)
	orderZone(ctx, t, at, zon, true)
	ordered := time.Now()
	finished.checkCalls(long(), false)
	time.Sleep(time.Until(ordered.Add(orderLimit)))
	before := env.receivedRequests(ctx, t, zon)
	time.Sleep(1500 * time.Millisecond)
	late := env.receivedRequests(ctx, t, zon) - before
	noNewRequests.check(late == 0, "%d requests arrived too late", late)
	noNewRequests.recordDuration(time.Since(ordered))
	for _, eng := range env.engines(zon) {
		c.Assert(env.SetFaults(ctx, eng.Process, engine.Faults{TurnCold: true}), qt.IsNil)
	}
	// Once coldNotice has passed, every request above the limit crashes the engine.
	time.Sleep(coldNotice)
	back := time.Now()
	orderZone(ctx, t, at, zon, false)
	got, took := waitFor(back, 5*time.Second, func() (int, bool) {
		num := env.receivedRequests(ctx, t, zon) - before - late
		return num, num > 0
	})
	servesAgain.check(got > 0, "%s received no requests", zon)
	servesAgain.recordDuration(took)
	time.Sleep(1500 * time.Millisecond)
	for _, eng := range env.engines(zon) {
		if eng.ExitedWithin(0) {
			coldLimitKept.check(false, "%s crashed", eng.Name)
			continue
		}
		var most int
		getJSON(ctx, t, "http://"+eng.Address+"/most", &most)
		coldLimitKept.check(most <= coldLimit, "%s had %d requests", eng.Name, most)
	}
	coldLimitKept.recordDuration(time.Since(back))
	calls := cls.stop()
	// Daemons may receive the order as late as orderLimit after it was given. After that no request waits for the zone.
	servedElsewhere.checkCalls(callsBetween(calls, zon, ordered.Add(orderLimit), back), false)
	correctOrNotRun.checkCalls(calls, true)
	for _, inv := range []*invariant{&noNewRequests, &finished, &servedElsewhere, &servesAgain, &coldLimitKept, &correctOrNotRun} {
		inv.report(t, sed)
	}
}
