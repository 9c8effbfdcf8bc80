package formation_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/formation"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/roster"
)

const (
	service = "engines"
	stall   = 4 * time.Second
)

var start = time.Unix(1000, 0)

// bench holds what engines report and the orders given for it.
type bench struct {
	rst *roster.Roster
	frm *formation.Formation
	now time.Time
	alc group.Allocation
}

func newBench() *bench {
	return &bench{
		rst: roster.New(),
		frm: formation.New(stall),
		now: start,
		alc: group.Allocation{
			FabricDomain: "fabric-a",
			Counter:      20,
		},
	}
}

func (bch *bench) report(id, grp string, epoch uint64, rank int, state roster.GroupState) {
	bch.rst.Apply([]roster.Change{
		{
			Server: roster.Server{
				ID:      id,
				Service: service,
				Address: id + ":1",
				Domain:  "fabric-a",
				Staged:  []string{"large"},
				Place: roster.Place{
					Group: grp,
					Epoch: epoch,
					Rank:  rank,
					State: state,
				},
			},
		},
	}, bch.now)
}

func (bch *bench) gone(id string) {
	bch.rst.Apply([]roster.Change{
		{
			Server: roster.Server{
				ID: id,
			},
			Gone: true,
		},
	}, bch.now)
}

func (bch *bench) allocate(name string, epoch uint64, ids ...string) {
	grp := group.Group{
		Name:    name,
		Model:   "large",
		Fencing: epoch,
	}
	for _, id := range ids {
		grp.Members = append(grp.Members, group.Member{
			VM:      id,
			Address: id + ":1",
		})
	}
	bch.alc.Groups = append(bch.alc.Groups, grp)
}

// orders returns the orders of the next step as "Verb vm group".
func (bch *bench) orders() []string {
	var lines []string
	for _, ord := range bch.frm.NextOrders(formation.View{
		Service:      service,
		Roster:       bch.rst.View(),
		Allocations:  []group.Allocation{bch.alc},
		PrefetchRate: 10,
		MaxLoads:     10,
	}, bch.now) {
		lines = append(lines, string(ord.Verb)+" "+ord.Server+" "+ord.Group)
	}
	bch.now = bch.now.Add(200 * time.Millisecond)
	return lines
}

func TestMembersJoinBeforeTheHeadOpens(tst *testing.T) {
	bch := newBench()
	bch.allocate("g", 5, "a", "b")
	bch.report("a", "", 0, 0, roster.Alone)
	bch.report("b", "", 0, 0, roster.Alone)
	qt.Assert(tst, bch.orders(), qt.DeepEquals, []string{"Join a g", "Join b g"})
	qt.Assert(tst, bch.orders(), qt.HasLen, 0, qt.Commentf("orders are not given again at once"))
	bch.report("a", "g", 5, 0, roster.Ready)
	bch.report("b", "g", 5, 1, roster.Joining)
	qt.Assert(tst, bch.orders(), qt.HasLen, 0, qt.Commentf("a member is still joining"))
	bch.report("b", "g", 4, 1, roster.Ready)
	bch.now = bch.now.Add(5 * time.Second)
	qt.Assert(tst, bch.orders(), qt.DeepEquals, []string{"Leave b g"}, qt.Commentf("a member is ready with an old epoch, whose head is not known"))
	bch.report("b", "g", 5, 1, roster.Ready)
	qt.Assert(tst, bch.orders(), qt.DeepEquals, []string{"Open a g"})
}

// Guards against a member that is unknown to the registry and yet counts as ready.
func TestHeadIsNotOpenedWithoutAMember(tst *testing.T) {
	bch := newBench()
	bch.allocate("g", 5, "a", "b")
	bch.report("a", "g", 5, 0, roster.Ready)
	qt.Assert(tst, bch.orders(), qt.HasLen, 0)
}

// Guards against an order that was lost and is never given again.
func TestLostOrderIsGivenAgain(tst *testing.T) {
	bch := newBench()
	bch.allocate("g", 5, "a")
	bch.report("a", "", 0, 0, roster.Alone)
	qt.Assert(tst, bch.orders(), qt.DeepEquals, []string{"Join a g"})
	bch.now = bch.now.Add(2 * time.Second)
	qt.Assert(tst, bch.orders(), qt.DeepEquals, []string{"Join a g"})
}

// Guards against a VM in two groups: the head of its former group is closed first.
func TestFormerHeadClosesFirst(tst *testing.T) {
	bch := newBench()
	bch.allocate("new", 9, "b")
	bch.allocate("old", 8, "a", "c")
	bch.report("a", "old", 5, 0, roster.Open)
	bch.report("b", "old", 5, 1, roster.Ready)
	bch.report("c", "", 0, 0, roster.Alone)
	orders := bch.orders()
	qt.Assert(tst, orders, qt.Contains, "Close a old")
	qt.Assert(tst, orders, qt.Not(qt.Contains), "Join b new")
	bch.report("a", "old", 5, 0, roster.Closing)
	qt.Assert(tst, bch.orders(), qt.Not(qt.Contains), "Join b new")
	bch.report("a", "old", 5, 0, roster.Broken)
	qt.Assert(tst, bch.orders(), qt.Contains, "Join b new")
}

// Guards against an order to open a head that arrives late: a head that is closed may be opened by it, so that it goes
// on to its next group, or out of this one, before its members join others.
func TestClosedHeadGoesOnBeforeItsMembers(tst *testing.T) {
	bch := newBench()
	bch.allocate("g", 6, "a", "b")
	bch.report("a", "g", 5, 0, roster.Ready)
	bch.report("b", "g", 5, 1, roster.Ready)
	qt.Assert(tst, bch.orders(), qt.DeepEquals, []string{"Join a g"})
	bch.report("a", "g", 6, 0, roster.Joining)
	qt.Assert(tst, bch.orders(), qt.DeepEquals, []string{"Join b g"})
	other := newBench()
	other.allocate("new", 9, "b")
	other.report("a", "old", 5, 0, roster.Ready)
	other.report("b", "old", 5, 1, roster.Ready)
	qt.Assert(tst, other.orders(), qt.DeepEquals, []string{"Leave a old"})
	other.report("a", "", 0, 0, roster.Alone)
	qt.Assert(tst, other.orders(), qt.DeepEquals, []string{"Join b new"})
}

// Guards against a VM in two groups while the head of its former one is out of sight: it may still serve, so the VM
// leaves and waits until a group without a member has stopped.
func TestMemberOfMissingHeadWaits(tst *testing.T) {
	bch := newBench()
	bch.allocate("new", 9, "b")
	bch.report("a", "old", 5, 0, roster.Open)
	bch.report("b", "old", 5, 1, roster.Ready)
	bch.gone("a")
	qt.Assert(tst, bch.orders(), qt.DeepEquals, []string{"Leave b old"})
	bch.report("b", "", 0, 0, roster.Alone)
	for bch.now.Before(start.Add(stall)) {
		qt.Assert(tst, bch.orders(), qt.HasLen, 0)
	}
	bch.now = bch.now.Add(time.Second)
	qt.Assert(tst, bch.orders(), qt.DeepEquals, []string{"Join b new"})
}

// Guards against a wait for a head that has already gone on to another group.
func TestMemberOfHeadThatMovedOnJoinsAtOnce(tst *testing.T) {
	bch := newBench()
	bch.allocate("g", 6, "a", "b")
	bch.report("a", "g", 5, 0, roster.Ready)
	bch.report("b", "g", 5, 1, roster.Ready)
	qt.Assert(tst, bch.orders(), qt.DeepEquals, []string{"Join a g"})
	bch.report("a", "g", 6, 0, roster.Ready)
	qt.Assert(tst, bch.orders(), qt.DeepEquals, []string{"Join b g"})
}

// Guards against a planned change that cuts work off: the head finishes what it has, but not for ever.
func TestDrainingGroupFinishesItsWork(tst *testing.T) {
	bch := newBench()
	bch.allocate("g", 5, "a", "b")
	bch.alc.Groups[0].Draining = true
	bch.report("a", "g", 5, 0, roster.Open)
	bch.report("b", "g", 5, 1, roster.Ready)
	view := formation.View{
		Service:     service,
		Roster:      bch.rst.View(),
		Allocations: []group.Allocation{bch.alc},
	}
	ords := bch.frm.NextOrders(view, bch.now)
	qt.Assert(tst, ords, qt.HasLen, 1)
	qt.Assert(tst, ords[0].Verb, qt.Equals, formation.Close)
	qt.Assert(tst, ords[0].Finish, qt.IsTrue)
	bch.report("a", "g", 5, 0, roster.Closing)
	view.Roster = bch.rst.View()
	qt.Assert(tst, bch.frm.NextOrders(view, bch.now.Add(time.Second)), qt.HasLen, 0)
	ords = bch.frm.NextOrders(view, bch.now.Add(8*time.Second))
	qt.Assert(tst, ords, qt.HasLen, 1)
	qt.Assert(tst, ords[0].Finish, qt.IsFalse)
}

// Guards against spares without weights: each holds some in memory, in a group of its own that is never opened.
func TestSparesHoldWeights(tst *testing.T) {
	bch := newBench()
	bch.report("s", "", 0, 0, roster.Alone)
	view := formation.View{
		Service:     service,
		Roster:      bch.rst.View(),
		Allocations: []group.Allocation{bch.alc},
		Spares: map[string]formation.Standby{
			"s": {
				Model: "large",
				Epoch: 20,
			},
		},
		PrefetchRate: 10,
		MaxLoads:     10,
	}
	ords := bch.frm.NextOrders(view, bch.now)
	qt.Assert(tst, ords, qt.HasLen, 1)
	qt.Assert(tst, ords[0].Members, qt.DeepEquals, []string{"s"})
	bch.report("s", ords[0].Group, 20, 0, roster.Ready)
	srv, _ := bch.rst.View().Server("s")
	qt.Assert(tst, formation.IsStandby(srv), qt.IsTrue)
	qt.Assert(tst, bch.orders(), qt.HasLen, 0)
	bch.allocate("g", 21, "s")
	qt.Assert(tst, bch.orders(), qt.DeepEquals, []string{"Join s g"})
}

// Replays many hosts without weights: no more loads run at once than the weight store takes without slowing down.
func TestLoadsAheadOfNeedAreFew(tst *testing.T) {
	bch := newBench()
	view := formation.View{
		Service:      service,
		HostModels:   map[string]string{},
		PrefetchRate: 10,
		MaxLoads:     3,
	}
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		bch.report(id, "group-"+id, 5, 0, roster.Open)
		bch.allocate("group-"+id, 5, id)
		view.HostModels[id] = "small"
	}
	view.Roster = bch.rst.View()
	view.Allocations = []group.Allocation{bch.alc}
	num := 0
	for range 50 {
		num += len(bch.frm.NextOrders(view, bch.now))
		bch.now = bch.now.Add(100 * time.Millisecond)
	}
	qt.Assert(tst, num, qt.Equals, 3)
}

// TestLoadsForGroupsKeepTheRate guards against a zone whose VMs all come back without weights: the loads for their
// groups, those ahead of need and repeated ones included, exceed the weight store's rate in no 5 s, with the tolerance
// of a tenth and three loads. VMs that are out of reach do not hold up the others.
func TestLoadsForGroupsKeepTheRate(tst *testing.T) {
	const (
		rate = 4
		vms  = 60
		dark = 8
	)
	bch := newBench()
	view := formation.View{
		Service:       service,
		HostModels:    map[string]string{},
		PrefetchRate:  rate * 0.4,
		MaxLoads:      3,
		TotalLoadRate: rate,
	}
	place := map[string]int{}
	for num := range vms {
		id := fmt.Sprintf("vm-%d", num)
		bch.report(id, "", 0, 0, roster.Alone)
		if num%4 == 0 {
			bch.alc.Groups = append(bch.alc.Groups, group.Group{
				Name:    "small-" + id,
				Fencing: 21,
				Model:   "small",
			})
		}
		grp := &bch.alc.Groups[len(bch.alc.Groups)-1]
		grp.Members = append(grp.Members, group.Member{
			VM: id,
		})
		place[id] = num
		view.HostModels[id] = "large"
	}
	view.Allocations = []group.Allocation{bch.alc}
	var starts []time.Time
	joined := 0
	for range 200 {
		view.Roster = bch.rst.View()
		for _, ord := range bch.frm.NextOrders(view, bch.now) {
			if ord.Verb == formation.Close || ord.Verb == formation.Leave {
				continue
			}
			starts = append(starts, bch.now)
			if ord.Verb == formation.Join && place[ord.Server] >= dark {
				joined++
				bch.report(ord.Server, ord.Group, ord.Epoch, place[ord.Server]%4, roster.Joining)
			}
		}
		bch.now = bch.now.Add(150 * time.Millisecond)
	}
	qt.Check(tst, joined, qt.Equals, vms-dark)
	for idx, first := range starts {
		num := 0
		for _, other := range starts[idx:] {
			if other.Sub(first) < 5*time.Second {
				num++
			}
		}
		qt.Assert(tst, num <= rate*5*11/10+3, qt.IsTrue, qt.Commentf("%d loads in 5 s", num))
	}
}

// TestLoadsWithoutALimitLeaveTheRate guards against a site whose loads before its first request, which have no limit,
// hold up the loads that it needs afterwards.
func TestLoadsWithoutALimitLeaveTheRate(tst *testing.T) {
	bch := newBench()
	view := formation.View{
		Service: service,
	}
	var members []group.Member
	for num := range 40 {
		id := fmt.Sprintf("vm-%d", num)
		bch.report(id, "", 0, 0, roster.Alone)
		members = append(members, group.Member{
			VM: id,
		})
	}
	bch.alc.Groups = []group.Group{
		{
			Name:    "small",
			Fencing: 21,
			Model:   "small",
			Members: members,
		},
	}
	view.Roster = bch.rst.View()
	view.Allocations = []group.Allocation{bch.alc}
	qt.Assert(tst, len(bch.frm.NextOrders(view, bch.now)), qt.Equals, 40)
	bch.report("vm-late", "", 0, 0, roster.Alone)
	bch.alc.Groups[0].Members = append(members, group.Member{
		VM: "vm-late",
	})
	view.TotalLoadRate = 4
	view.Roster = bch.rst.View()
	view.Allocations = []group.Allocation{bch.alc}
	bch.now = bch.now.Add(300 * time.Millisecond)
	qt.Assert(tst, len(bch.frm.NextOrders(view, bch.now)), qt.Equals, 1)
}

// Replays a VM that joins a group of the model that it has in memory: its host drops the weights of the other model, and
// is told to load them again without a wait for the load that was done before.
func TestDroppedWeightsAreLoadedAgain(tst *testing.T) {
	bch := newBench()
	bch.report("a", "g", 5, 0, roster.Open)
	bch.allocate("g", 5, "a")
	next := func(staged string) []formation.Order {
		srv, _ := bch.rst.View().Server("a")
		later := *srv
		later.Staged = []string{staged}
		bch.rst.Apply([]roster.Change{
			{
				Server: later,
			},
		}, bch.now)
		ords := bch.frm.NextOrders(formation.View{
			Service:     service,
			Roster:      bch.rst.View(),
			Allocations: []group.Allocation{bch.alc},
			HostModels: map[string]string{
				"a": "small",
			},
			PrefetchRate: 10,
			MaxLoads:     1,
		}, bch.now)
		bch.now = bch.now.Add(5 * time.Second)
		return ords
	}
	qt.Assert(tst, next("large"), qt.HasLen, 1)
	qt.Assert(tst, next("large"), qt.HasLen, 0, qt.Commentf("the load is under way"))
	qt.Assert(tst, next("small"), qt.HasLen, 0)
	again := next("large")
	qt.Assert(tst, again, qt.HasLen, 1)
	bch.frm.OrderFailed(again[0])
	qt.Assert(tst, next("large"), qt.HasLen, 1, qt.Commentf("an order that failed is no load under way"))
}
