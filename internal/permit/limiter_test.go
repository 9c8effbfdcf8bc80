package permit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/permit"
)

// owner is a limiter with a settled view. It owns a group whose limit is 2 requests while cold and 12 while warm.
type owner struct {
	sequence uint64
	t        *testing.T
	lim      *permit.Limiter
	now      time.Time
	rep      permit.GroupReport
}

func newOwner(t *testing.T, cold bool) *owner {
	t.Helper()
	own := &owner{
		t:   t,
		lim: permit.New("entry-1", limits),
		now: start,
		rep: permit.GroupReport{
			Group:       testGroup,
			Fencing:     1,
			Incarnation: 7,
			Cold:        true,
			ColdLimit:   2,
			WarmLimit:   12,
			Loading:     true,
		},
	}
	own.advance(10 * time.Second)
	own.rep.Loading = false
	own.rep.Cold = cold
	own.advance(2 * time.Second)
	return own
}

// advance moves the time forward, with regular updates of the view and regular reports.
func (own *owner) advance(dur time.Duration) {
	for end := own.now.Add(dur); own.now.Before(end); {
		own.now = own.now.Add(step)
		own.rep.AsOf = own.now
		own.lim.UpdateView([]string{"entry-1", "entry-2"}, []string{"entry-1", "entry-2"}, 2, own.now)
		own.lim.RecordReport(own.rep, own.now)
	}
}

func (own *owner) request(holder string, instance uint64, req permit.SlotRequest) permit.Grant {
	own.t.Helper()
	req.Group = testGroup
	req.Fencing = 1
	if req.Incarnation == 0 {
		req.Incarnation = own.rep.Incarnation
	}
	own.sequence++
	req.Sequence = own.sequence
	grt, ok := own.lim.Grant(holder, instance, req, own.now)
	qt.Assert(own.t, ok, qt.IsTrue)
	return grt
}

// TestLateAsk guards against a slot request that arrives after a later one of the same holder, for example when a
// partition ends, and thereby releases slots that are in use.
func TestLateAsk(t *testing.T) {
	own := newOwner(t, true)
	late := permit.SlotRequest{
		Group:       testGroup,
		Fencing:     1,
		Incarnation: own.rep.Incarnation,
		Sequence:    1,
	}
	own.sequence = 1
	qt.Assert(t, own.request("entry-1", 1, permit.SlotRequest{Demand: demandOf("a", 1, 0, 2)}).Slots, qt.Equals, 2)
	own.request("entry-1", 1, permit.SlotRequest{Running: 2, HeldSlots: 2})
	_, ok := own.lim.Grant("entry-1", 1, late, own.now)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, own.request("entry-2", 2, permit.SlotRequest{Demand: demandOf("a", 1, 0, 2)}).Slots, qt.Equals, 0)
}

func demandOf(workspace string, share, priority, count int) []permit.Demand {
	return []permit.Demand{{Workspace: workspace, Share: share, Priority: priority, Count: count, MaxWait: time.Second}}
}

// TestPausedOwner guards against an owner that continues with its state from before a pause, during which another
// daemon may have granted the same slots.
func TestPausedOwner(t *testing.T) {
	own := newOwner(t, true)
	qt.Assert(t, own.request("entry-1", 1, permit.SlotRequest{Demand: demandOf("a", 1, 0, 1)}).Slots, qt.Equals, 1)
	own.now = own.now.Add(3 * time.Second)
	own.advance(step)
	qt.Assert(t, own.request("entry-2", 2, permit.SlotRequest{Demand: demandOf("a", 1, 0, 5)}).Slots, qt.Equals, 0)
	own.advance(10 * time.Second)
	qt.Assert(t, own.request("entry-2", 2, permit.SlotRequest{Demand: demandOf("a", 1, 0, 5)}).Slots, qt.Equals, 2)
}

// TestTakeoverKeepsSlots guards against a change of owner that resets the limit of a warm group to ColdLimit.
func TestTakeoverKeepsSlots(t *testing.T) {
	own := newOwner(t, false)
	own.now = own.now.Add(3 * time.Second)
	own.advance(step)
	for range 4 {
		own.advance(2 * time.Second)
		qt.Assert(t, own.request("entry-1", 1, permit.SlotRequest{Running: 4, HeldSlots: 5, Demand: demandOf("a", 1, 0, 1)}).Slots >= 5, qt.IsTrue)
		qt.Assert(t, own.request("entry-2", 2, permit.SlotRequest{Running: 5, HeldSlots: 5, Demand: demandOf("a", 1, 0, 1)}).Slots >= 5, qt.IsTrue)
	}
}

// TestRestartedHolder guards against an owner that no longer counts the requests of a daemon that crashed and
// restarted, although they still run at the engine.
func TestRestartedHolder(t *testing.T) {
	own := newOwner(t, true)
	qt.Assert(t, own.request("entry-2", 1, permit.SlotRequest{Demand: demandOf("a", 1, 0, 2)}).Slots, qt.Equals, 2)
	own.rep.Running = 2
	own.advance(500 * time.Millisecond)
	qt.Assert(t, own.request("entry-2", 2, permit.SlotRequest{Demand: demandOf("a", 1, 0, 2)}).Slots, qt.Equals, 0)
	own.advance(8 * time.Second)
	qt.Assert(t, own.request("entry-2", 2, permit.SlotRequest{Demand: demandOf("a", 1, 0, 2)}).Slots, qt.Equals, 0)
	own.rep.Running = 0
	own.advance(time.Second)
	qt.Assert(t, own.request("entry-2", 2, permit.SlotRequest{Demand: demandOf("a", 1, 0, 2)}).Slots, qt.Equals, 2)
}

// TestLimitDropsAtOnce guards against slots beyond ColdLimit after a holder has received a cold report, and
// against a delayed report of the warm engine that raises the limit again.
func TestLimitDropsAtOnce(t *testing.T) {
	own := newOwner(t, false)
	for range 40 {
		own.advance(500 * time.Millisecond)
		own.request("entry-1", 1, permit.SlotRequest{Running: 8, HeldSlots: 8, FirstTokens: 9, Demand: demandOf("a", 1, 0, 9)})
	}
	grt := own.request("entry-1", 1, permit.SlotRequest{Running: 8, HeldSlots: 8, Demand: demandOf("a", 1, 0, 9)})
	qt.Assert(t, grt.Limit, qt.Equals, 12)
	own.now = own.now.Add(step)
	grt = own.request("entry-2", 2, permit.SlotRequest{Incarnation: 8, Cold: true, Demand: demandOf("a", 1, 0, 9)})
	qt.Assert(t, grt.Slots, qt.Equals, 0, qt.Commentf("slots of the old incarnation may be in use until they expire"))
	qt.Assert(t, grt.Limit, qt.Equals, 2)
	grt = own.request("entry-1", 1, permit.SlotRequest{Incarnation: 7, Running: 8, HeldSlots: 8, Demand: demandOf("a", 1, 0, 9)})
	qt.Assert(t, grt.Incarnation, qt.Equals, uint64(8))
	qt.Assert(t, grt.Slots <= 2, qt.IsTrue, qt.Commentf("%d", grt.Slots))
}

// TestGrowthFollowsLatency guards against a limit that increases while first tokens are late.
func TestGrowthFollowsLatency(t *testing.T) {
	own := newOwner(t, false)
	busy := permit.SlotRequest{Running: 2, HeldSlots: 2, FirstTokens: 20, Demand: demandOf("a", 1, 0, 9)}
	var most int
	for range 3 {
		own.advance(500 * time.Millisecond)
		most = own.request("entry-1", 1, busy).Limit
	}
	qt.Assert(t, most, qt.Equals, 8)
	busy.LateFirstTokens = 2
	own.advance(500 * time.Millisecond)
	qt.Assert(t, own.request("entry-1", 1, busy).Limit, qt.Equals, 5)
	for range 9 {
		own.advance(500 * time.Millisecond)
		most = own.request("entry-1", 1, busy).Limit
	}
	qt.Assert(t, most, qt.Equals, 2)
}

// TestShares guards against a daemon whose queue gets slots although the queue of another daemon comes first by
// priority or fair share.
func TestShares(t *testing.T) {
	for name, tst := range map[string]struct {
		first  []permit.Demand
		second []permit.Demand
		slots  int
	}{
		"priority":   {demandOf("a", 1, 5, 9), demandOf("b", 1, 1, 9), 0},
		"even":       {demandOf("a", 1, 1, 9), demandOf("b", 1, 1, 9), 1},
		"enough":     {demandOf("a", 1, 5, 1), demandOf("b", 1, 1, 9), 1},
		"no others":  {nil, demandOf("b", 1, 1, 9), 2},
		"same class": {demandOf("a", 1, 1, 1), demandOf("a", 1, 1, 1), 1},
	} {
		t.Run(name, func(t *testing.T) {
			own := newOwner(t, true)
			// The first daemon queues while the group is full, so that afterwards only its demand counts.
			own.request("entry-3", 3, permit.SlotRequest{Running: 2, HeldSlots: 2})
			own.request("entry-1", 1, permit.SlotRequest{Demand: tst.first})
			own.request("entry-3", 3, permit.SlotRequest{})
			qt.Assert(t, own.request("entry-2", 2, permit.SlotRequest{Demand: tst.second}).Slots, qt.Equals, tst.slots)
		})
	}
}

// TestSpareSlotsAreReclaimed guards against slots that stay unused at one daemon while requests wait at another.
func TestSpareSlotsAreReclaimed(t *testing.T) {
	own := newOwner(t, false)
	qt.Assert(t, own.request("entry-1", 1, permit.SlotRequest{HeldSlots: 2}).Slots, qt.Equals, 2)
	qt.Assert(t, own.request("entry-2", 2, permit.SlotRequest{Demand: demandOf("a", 1, 0, 2)}).Slots, qt.Equals, 0)
	qt.Assert(t, own.request("entry-1", 1, permit.SlotRequest{HeldSlots: 2}).Slots, qt.Equals, 0)
	qt.Assert(t, own.request("entry-1", 1, permit.SlotRequest{}).Slots, qt.Equals, 0)
	qt.Assert(t, own.request("entry-2", 2, permit.SlotRequest{Demand: demandOf("a", 1, 0, 2)}).Slots, qt.Equals, 2)
}

// TestOrphansEnd guards against slots of a cold server that stay counted for a holder that is gone. This happens
// if slot requests that repeat what the owner knows prevail over the reports that show the slots free.
func TestOrphansEnd(t *testing.T) {
	own := newOwner(t, true)
	qt.Assert(t, own.request("entry-2", 2, permit.SlotRequest{Cold: true, Demand: demandOf("a", 1, 0, 2)}).Slots, qt.Equals, 2)
	own.now = own.now.Add(step)
	for range 60 {
		own.rep.AsOf = own.now.Add(-2 * step)
		own.lim.UpdateView([]string{"entry-1", "entry-2"}, []string{"entry-1", "entry-2"}, 2, own.now)
		own.lim.RecordReport(own.rep, own.now)
		own.request("entry-1", 1, permit.SlotRequest{Cold: true, Demand: demandOf("a", 1, 0, 2)})
		own.now = own.now.Add(step)
	}
	qt.Assert(t, own.request("entry-1", 1, permit.SlotRequest{Cold: true, Demand: demandOf("a", 1, 0, 2)}).Slots, qt.Equals, 2)
}

// TestIdleHolder guards against spare slots for a daemon that does not use the group.
func TestIdleHolder(t *testing.T) {
	own := newOwner(t, false)
	qt.Assert(t, own.request("entry-1", 1, permit.SlotRequest{}).Slots, qt.Equals, 0)
}
