package zones_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/engine"
)

// testZoneOutAndIn guards against new work in a zone that operators took out of service, against
// requests in progress that the order interrupts, against callers of its entry VMs who are not served,
// and against cold engines that fall over when the zone returns.
func testZoneOutAndIn(t *testing.T, sed uint64) {
	c := qt.New(t)
	ctx, env := reuse(t, sed)
	quiet := invariant{text: "zone out: no new work after 3 s"}
	finish := invariant{text: "zone out: requests in progress finish"}
	others := invariant{text: "zone out: callers of the zone's entry VMs are served by other zones"}
	cold := invariant{text: "zone in: no cold engine gets more than its ColdLimit"}
	returns := invariant{text: "zone in: the zone gets work again, within 5 s"}
	truth := invariant{text: "no request is answered wrongly around zone out and in"}
	zon := env.zone()
	at := env.Entries[env.rnd.IntN(len(env.Entries))]
	t.Logf("%s is taken out at %s", zon, at.Name)
	cls := startCallers(ctx, env.Entries, 2, 50*time.Millisecond)
	long := startLong(ctx, env.entries(zon))
	time.Sleep(300 * time.Millisecond)
	order(ctx, t, at, zon, true)
	ordered := time.Now()
	finish.checkCalls(long(), false)
	time.Sleep(time.Until(ordered.Add(orderBound)))
	before := env.received(ctx, t, zon)
	time.Sleep(1500 * time.Millisecond)
	late := env.received(ctx, t, zon) - before
	quiet.check(late == 0, "%d requests came late", late)
	quiet.took(time.Since(ordered))
	for _, eng := range env.engines(zon) {
		c.Assert(env.SetFaults(ctx, eng.Process, engine.Faults{TurnCold: true}), qt.IsNil)
	}
	// After the notice of the turn every request above the limit makes the engine fall over.
	time.Sleep(coldNotice)
	back := time.Now()
	order(ctx, t, at, zon, false)
	got, took := waitFor(back, 5*time.Second, func() (int, bool) {
		num := env.received(ctx, t, zon) - before - late
		return num, num > 0
	})
	returns.check(got > 0, "%s got no work", zon)
	returns.took(took)
	time.Sleep(1500 * time.Millisecond)
	for _, eng := range env.engines(zon) {
		if eng.Wait(0) {
			cold.check(false, "%s fell over", eng.Name)
			continue
		}
		var most int
		fetch(ctx, t, "http://"+eng.Address+"/most", &most)
		cold.check(most <= coldLimit, "%s had %d requests", eng.Name, most)
	}
	cold.took(time.Since(back))
	calls := cls.stop()
	// The daemons may learn of the order until its bound; from then on nobody waits for the zone.
	others.checkCalls(between(calls, zon, ordered.Add(orderBound), back), false)
	truth.checkCalls(calls, true)
	for _, inv := range []*invariant{&quiet, &finish, &others, &returns, &cold, &truth} {
		inv.report(t, sed)
	}
}
