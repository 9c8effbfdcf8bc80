package permit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/permit"
)

// owner is a limiter whose view has settled and that owns a group which bears 2 requests cold, 12 warm.
type owner struct {
	asks uint64
	t    *testing.T
	lim  *permit.Limiter
	now  time.Time
	obs  permit.Observation
}

func newOwner(t *testing.T, cold bool) *owner {
	t.Helper()
	own := &owner{
		t:   t,
		lim: permit.New("entry-1", limits),
		now: start,
		obs: permit.Observation{
			Group:       theGroup,
			Fencing:     1,
			Incarnation: 7,
			Cold:        true,
			ColdLimit:   2,
			WarmLimit:   12,
			Loading:     true,
		},
	}
	own.pass(10 * time.Second)
	own.obs.Loading = false
	own.obs.Cold = cold
	own.pass(2 * time.Second)
	return own
}

// pass lets time go by with views and reports as usual.
func (own *owner) pass(dur time.Duration) {
	for end := own.now.Add(dur); own.now.Before(end); {
		own.now = own.now.Add(step)
		own.obs.AsOf = own.now
		own.lim.See([]string{"entry-1", "entry-2"}, []string{"entry-1", "entry-2"}, 2, own.now)
		own.lim.Observe(own.obs, own.now)
	}
}

func (own *owner) ask(holder string, instance uint64, ask permit.Ask) permit.Grant {
	own.t.Helper()
	ask.Group = theGroup
	ask.Fencing = 1
	if ask.Incarnation == 0 {
		ask.Incarnation = own.obs.Incarnation
	}
	own.asks++
	ask.Sequence = own.asks
	grt, ok := own.lim.Grant(holder, instance, ask, own.now)
	qt.Assert(own.t, ok, qt.IsTrue)
	return grt
}

// TestLateAsk guards against an ask that arrives after a later one of the same holder, as when a cut ends,
// and by that gives back slots that are in use.
func TestLateAsk(t *testing.T) {
	own := newOwner(t, true)
	late := permit.Ask{
		Group:       theGroup,
		Fencing:     1,
		Incarnation: own.obs.Incarnation,
		Sequence:    1,
	}
	own.asks = 1
	qt.Assert(t, own.ask("entry-1", 1, permit.Ask{Demand: wants("a", 1, 0, 2)}).Slots, qt.Equals, 2)
	own.ask("entry-1", 1, permit.Ask{Running: 2, Hold: 2})
	_, ok := own.lim.Grant("entry-1", 1, late, own.now)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, own.ask("entry-2", 2, permit.Ask{Demand: wants("a", 1, 0, 2)}).Slots, qt.Equals, 0)
}

func wants(workspace string, share, priority, count int) []permit.Demand {
	return []permit.Demand{{Workspace: workspace, Share: share, Priority: priority, Count: count, Within: time.Second}}
}

// TestPausedOwner guards against an owner that goes on where it stood before a pause, in which another
// daemon may have granted the same slots.
func TestPausedOwner(t *testing.T) {
	own := newOwner(t, true)
	qt.Assert(t, own.ask("entry-1", 1, permit.Ask{Demand: wants("a", 1, 0, 1)}).Slots, qt.Equals, 1)
	own.now = own.now.Add(3 * time.Second)
	own.pass(step)
	qt.Assert(t, own.ask("entry-2", 2, permit.Ask{Demand: wants("a", 1, 0, 5)}).Slots, qt.Equals, 0)
	own.pass(10 * time.Second)
	qt.Assert(t, own.ask("entry-2", 2, permit.Ask{Demand: wants("a", 1, 0, 5)}).Slots, qt.Equals, 2)
}

// TestTakeoverKeepsSlots guards against a warm group that falls back to ColdLimit when its owner changes.
func TestTakeoverKeepsSlots(t *testing.T) {
	own := newOwner(t, false)
	own.now = own.now.Add(3 * time.Second)
	own.pass(step)
	for range 4 {
		own.pass(2 * time.Second)
		qt.Assert(t, own.ask("entry-1", 1, permit.Ask{Running: 4, Hold: 5, Demand: wants("a", 1, 0, 1)}).Slots >= 5, qt.IsTrue)
		qt.Assert(t, own.ask("entry-2", 2, permit.Ask{Running: 5, Hold: 5, Demand: wants("a", 1, 0, 1)}).Slots >= 5, qt.IsTrue)
	}
}

// TestRestartedHolder guards against forgetting the requests of a daemon that crashed and came back, which
// still run at the engine.
func TestRestartedHolder(t *testing.T) {
	own := newOwner(t, true)
	qt.Assert(t, own.ask("entry-2", 1, permit.Ask{Demand: wants("a", 1, 0, 2)}).Slots, qt.Equals, 2)
	own.obs.Running = 2
	own.pass(500 * time.Millisecond)
	qt.Assert(t, own.ask("entry-2", 2, permit.Ask{Demand: wants("a", 1, 0, 2)}).Slots, qt.Equals, 0)
	own.pass(8 * time.Second)
	qt.Assert(t, own.ask("entry-2", 2, permit.Ask{Demand: wants("a", 1, 0, 2)}).Slots, qt.Equals, 0)
	own.obs.Running = 0
	own.pass(time.Second)
	qt.Assert(t, own.ask("entry-2", 2, permit.Ask{Demand: wants("a", 1, 0, 2)}).Slots, qt.Equals, 2)
}

// TestLimitDropsAtOnce guards against slots beyond ColdLimit after a holder has seen a cold report, and
// against a late report of the warm engine that raises the limit again.
func TestLimitDropsAtOnce(t *testing.T) {
	own := newOwner(t, false)
	for range 40 {
		own.pass(500 * time.Millisecond)
		own.ask("entry-1", 1, permit.Ask{Running: 8, Hold: 8, FirstTokens: 9, Demand: wants("a", 1, 0, 9)})
	}
	grt := own.ask("entry-1", 1, permit.Ask{Running: 8, Hold: 8, Demand: wants("a", 1, 0, 9)})
	qt.Assert(t, grt.Limit, qt.Equals, 12)
	own.now = own.now.Add(step)
	grt = own.ask("entry-2", 2, permit.Ask{Incarnation: 8, Cold: true, Demand: wants("a", 1, 0, 9)})
	qt.Assert(t, grt.Slots, qt.Equals, 0, qt.Commentf("slots of the old incarnation may be in use until they expire"))
	qt.Assert(t, grt.Limit, qt.Equals, 2)
	grt = own.ask("entry-1", 1, permit.Ask{Incarnation: 7, Running: 8, Hold: 8, Demand: wants("a", 1, 0, 9)})
	qt.Assert(t, grt.Incarnation, qt.Equals, uint64(8))
	qt.Assert(t, grt.Slots <= 2, qt.IsTrue, qt.Commentf("%d", grt.Slots))
}

// TestGrowthFollowsLatency guards against a limit that grows while first tokens are late.
func TestGrowthFollowsLatency(t *testing.T) {
	own := newOwner(t, false)
	busy := permit.Ask{Running: 2, Hold: 2, FirstTokens: 20, Demand: wants("a", 1, 0, 9)}
	var most int
	for range 3 {
		own.pass(500 * time.Millisecond)
		most = own.ask("entry-1", 1, busy).Limit
	}
	qt.Assert(t, most, qt.Equals, 8)
	busy.Late = 2
	own.pass(500 * time.Millisecond)
	qt.Assert(t, own.ask("entry-1", 1, busy).Limit, qt.Equals, 5)
	for range 9 {
		own.pass(500 * time.Millisecond)
		most = own.ask("entry-1", 1, busy).Limit
	}
	qt.Assert(t, most, qt.Equals, 2)
}

// TestShares guards against a daemon whose queue gets slots that a queue elsewhere has the better claim to.
func TestShares(t *testing.T) {
	for name, tst := range map[string]struct {
		first  []permit.Demand
		second []permit.Demand
		slots  int
	}{
		"priority":   {wants("a", 1, 5, 9), wants("b", 1, 1, 9), 0},
		"even":       {wants("a", 1, 1, 9), wants("b", 1, 1, 9), 1},
		"enough":     {wants("a", 1, 5, 1), wants("b", 1, 1, 9), 1},
		"no others":  {nil, wants("b", 1, 1, 9), 2},
		"same class": {wants("a", 1, 1, 1), wants("a", 1, 1, 1), 1},
	} {
		t.Run(name, func(t *testing.T) {
			own := newOwner(t, true)
			// The first daemon queues while the group is full, so that only its demand counts afterwards.
			own.ask("entry-3", 3, permit.Ask{Running: 2, Hold: 2})
			own.ask("entry-1", 1, permit.Ask{Demand: tst.first})
			own.ask("entry-3", 3, permit.Ask{})
			qt.Assert(t, own.ask("entry-2", 2, permit.Ask{Demand: tst.second}).Slots, qt.Equals, tst.slots)
		})
	}
}

// TestSpareGoesBack guards against slots that stay unused at one daemon while requests wait at another.
func TestSpareGoesBack(t *testing.T) {
	own := newOwner(t, false)
	qt.Assert(t, own.ask("entry-1", 1, permit.Ask{Hold: 2}).Slots, qt.Equals, 2)
	qt.Assert(t, own.ask("entry-2", 2, permit.Ask{Demand: wants("a", 1, 0, 2)}).Slots, qt.Equals, 0)
	qt.Assert(t, own.ask("entry-1", 1, permit.Ask{Hold: 2}).Slots, qt.Equals, 0)
	qt.Assert(t, own.ask("entry-1", 1, permit.Ask{}).Slots, qt.Equals, 0)
	qt.Assert(t, own.ask("entry-2", 2, permit.Ask{Demand: wants("a", 1, 0, 2)}).Slots, qt.Equals, 2)
}

// TestOrphansEnd guards against a cold server whose free slots stay counted for a holder that is gone, since
// asks that repeat what the owner knows hide the reports that show the slots free.
func TestOrphansEnd(t *testing.T) {
	own := newOwner(t, true)
	qt.Assert(t, own.ask("entry-2", 2, permit.Ask{Cold: true, Demand: wants("a", 1, 0, 2)}).Slots, qt.Equals, 2)
	own.now = own.now.Add(step)
	for range 60 {
		own.obs.AsOf = own.now.Add(-2 * step)
		own.lim.See([]string{"entry-1", "entry-2"}, []string{"entry-1", "entry-2"}, 2, own.now)
		own.lim.Observe(own.obs, own.now)
		own.ask("entry-1", 1, permit.Ask{Cold: true, Demand: wants("a", 1, 0, 2)})
		own.now = own.now.Add(step)
	}
	qt.Assert(t, own.ask("entry-1", 1, permit.Ask{Cold: true, Demand: wants("a", 1, 0, 2)}).Slots, qt.Equals, 2)
}

// TestIdleHolder guards against a daemon that gets spare slots at a group that it does not use.
func TestIdleHolder(t *testing.T) {
	own := newOwner(t, false)
	qt.Assert(t, own.ask("entry-1", 1, permit.Ask{}).Slots, qt.Equals, 0)
}
