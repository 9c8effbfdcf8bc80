package orderplan_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/orderplan"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

const (
	service = "engines"
	stall   = 4 * time.Second
)

var start = time.Unix(1000, 0)

// harness holds what the engines report, the allocation, and the planner under test.
type harness struct {
	reg *serverregistry.Registry
	pln *orderplan.Planner
	now time.Time
	alc group.Allocation
}

func newHarness() *harness {
	return &harness{
		reg: serverregistry.New(),
		pln: orderplan.New(stall),
		now: start,
		alc: group.Allocation{
			FabricDomain: "fabric-a",
			Counter:      20,
		},
	}
}

func (har *harness) report(id, grp string, epoch uint64, rank int, state serverregistry.MemberState) {
	har.reg.Apply([]serverregistry.Change{
		{
			Server: serverregistry.Server{
				ID:           id,
				Service:      service,
				Address:      id + ":1",
				FabricDomain: "fabric-a",
				StagedModels: []string{"large"},
				Membership: serverregistry.Membership{
					Group: grp,
					Epoch: epoch,
					Rank:  rank,
					State: state,
				},
			},
		},
	}, har.now)
}

func (har *harness) unregister(id string) {
	har.reg.Apply([]serverregistry.Change{
		{
			Server: serverregistry.Server{
				ID: id,
			},
			Removed: true,
		},
	}, har.now)
}

func (har *harness) allocate(name string, epoch uint64, ids ...string) {
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
	har.alc.Groups = append(har.alc.Groups, grp)
}

// orders returns the orders of the next call as "Verb vm group" and advances the time by 200 ms.
func (har *harness) orders() []string {
	var lines []string
	for _, ord := range har.pln.NextOrders(orderplan.View{
		Service:       service,
		Registrations: har.reg.View(),
		Allocations:   []group.Allocation{har.alc},
		PrefetchRate:  10,
		MaxLoads:      10,
	}, har.now) {
		lines = append(lines, string(ord.Verb)+" "+ord.Server+" "+ord.Group)
	}
	har.now = har.now.Add(200 * time.Millisecond)
	return lines
}

func TestMembersJoinBeforeTheHeadOpens(tst *testing.T) {
	har := newHarness()
	har.allocate("g", 5, "a", "b")
	har.report("a", "", 0, 0, serverregistry.NoGroup)
	har.report("b", "", 0, 0, serverregistry.NoGroup)
	qt.Assert(tst, har.orders(), qt.DeepEquals, []string{"Join a g", "Join b g"})
	qt.Assert(tst, har.orders(), qt.HasLen, 0, qt.Commentf("orders are not repeated at once"))
	har.report("a", "g", 5, 0, serverregistry.Ready)
	har.report("b", "g", 5, 1, serverregistry.Joining)
	qt.Assert(tst, har.orders(), qt.HasLen, 0, qt.Commentf("a member is still joining"))
	har.report("b", "g", 4, 1, serverregistry.Ready)
	har.now = har.now.Add(5 * time.Second)
	qt.Assert(tst, har.orders(), qt.DeepEquals, []string{"Leave b g"}, qt.Commentf("a member is ready in an old epoch whose head is unknown"))
	har.report("b", "g", 5, 1, serverregistry.Ready)
	qt.Assert(tst, har.orders(), qt.DeepEquals, []string{"Open a g"})
}

// Guards against a member that counts as ready although it is not registered.
func TestHeadIsNotOpenedWithoutAMember(tst *testing.T) {
	har := newHarness()
	har.allocate("g", 5, "a", "b")
	har.report("a", "g", 5, 0, serverregistry.Ready)
	qt.Assert(tst, har.orders(), qt.HasLen, 0)
}

// Guards against a lost order that is never repeated.
func TestLostOrderIsRepeated(tst *testing.T) {
	har := newHarness()
	har.allocate("g", 5, "a")
	har.report("a", "", 0, 0, serverregistry.NoGroup)
	qt.Assert(tst, har.orders(), qt.DeepEquals, []string{"Join a g"})
	har.now = har.now.Add(2 * time.Second)
	qt.Assert(tst, har.orders(), qt.DeepEquals, []string{"Join a g"})
}

// Guards against a VM in two groups: it joins a new group only after the head of its former group is broken.
func TestFormerHeadClosesFirst(tst *testing.T) {
	har := newHarness()
	har.allocate("new", 9, "b")
	har.allocate("old", 8, "a", "c")
	har.report("a", "old", 5, 0, serverregistry.Open)
	har.report("b", "old", 5, 1, serverregistry.Ready)
	har.report("c", "", 0, 0, serverregistry.NoGroup)
	orders := har.orders()
	qt.Assert(tst, orders, qt.Contains, "Close a old")
	qt.Assert(tst, orders, qt.Not(qt.Contains), "Join b new")
	har.report("a", "old", 5, 0, serverregistry.Closing)
	qt.Assert(tst, har.orders(), qt.Not(qt.Contains), "Join b new")
	har.report("a", "old", 5, 0, serverregistry.Broken)
	qt.Assert(tst, har.orders(), qt.Contains, "Join b new")
}

// Guards against a late Open order to a closed head: the head must move to its next group, or leave its group, before
// its members join other groups.
func TestClosedHeadMovesBeforeItsMembers(tst *testing.T) {
	har := newHarness()
	har.allocate("g", 6, "a", "b")
	har.report("a", "g", 5, 0, serverregistry.Ready)
	har.report("b", "g", 5, 1, serverregistry.Ready)
	qt.Assert(tst, har.orders(), qt.DeepEquals, []string{"Join a g"})
	har.report("a", "g", 6, 0, serverregistry.Joining)
	qt.Assert(tst, har.orders(), qt.DeepEquals, []string{"Join b g"})
	other := newHarness()
	other.allocate("new", 9, "b")
	other.report("a", "old", 5, 0, serverregistry.Ready)
	other.report("b", "old", 5, 1, serverregistry.Ready)
	qt.Assert(tst, other.orders(), qt.DeepEquals, []string{"Leave a old"})
	other.report("a", "", 0, 0, serverregistry.NoGroup)
	qt.Assert(tst, other.orders(), qt.DeepEquals, []string{"Join b new"})
}

// Guards against a VM in two groups while the head of its former group is not registered. The head may still serve, so
// the VM leaves the group and joins another one only after the time within which a group without a member stops.
func TestMemberOfUnregisteredHeadWaits(tst *testing.T) {
	har := newHarness()
	har.allocate("new", 9, "b")
	har.report("a", "old", 5, 0, serverregistry.Open)
	har.report("b", "old", 5, 1, serverregistry.Ready)
	har.unregister("a")
	qt.Assert(tst, har.orders(), qt.DeepEquals, []string{"Leave b old"})
	har.report("b", "", 0, 0, serverregistry.NoGroup)
	for har.now.Before(start.Add(stall)) {
		qt.Assert(tst, har.orders(), qt.HasLen, 0)
	}
	har.now = har.now.Add(time.Second)
	qt.Assert(tst, har.orders(), qt.DeepEquals, []string{"Join b new"})
}

// Guards against a member that waits for a head that has already moved to another group.
func TestMemberOfHeadThatMovedJoinsAtOnce(tst *testing.T) {
	har := newHarness()
	har.allocate("g", 6, "a", "b")
	har.report("a", "g", 5, 0, serverregistry.Ready)
	har.report("b", "g", 5, 1, serverregistry.Ready)
	qt.Assert(tst, har.orders(), qt.DeepEquals, []string{"Join a g"})
	har.report("a", "g", 6, 0, serverregistry.Ready)
	qt.Assert(tst, har.orders(), qt.DeepEquals, []string{"Join b g"})
}

// Guards against a planned change that aborts requests at once: the head may finish them, for a limited time.
func TestDrainingGroupFinishesItsRequests(tst *testing.T) {
	har := newHarness()
	har.allocate("g", 5, "a", "b")
	har.alc.Groups[0].Draining = true
	har.report("a", "g", 5, 0, serverregistry.Open)
	har.report("b", "g", 5, 1, serverregistry.Ready)
	view := orderplan.View{
		Service:       service,
		Registrations: har.reg.View(),
		Allocations:   []group.Allocation{har.alc},
	}
	ords := har.pln.NextOrders(view, har.now)
	qt.Assert(tst, ords, qt.HasLen, 1)
	qt.Assert(tst, ords[0].Verb, qt.Equals, orderplan.Close)
	qt.Assert(tst, ords[0].Finish, qt.IsTrue)
	har.report("a", "g", 5, 0, serverregistry.Closing)
	view.Registrations = har.reg.View()
	qt.Assert(tst, har.pln.NextOrders(view, har.now.Add(time.Second)), qt.HasLen, 0)
	ords = har.pln.NextOrders(view, har.now.Add(8*time.Second))
	qt.Assert(tst, ords, qt.HasLen, 1)
	qt.Assert(tst, ords[0].Finish, qt.IsFalse)
}

// Guards against a planned change that aborts requests at once since the head had been closing for an earlier change, which was withdrawn.
func TestEachDrainingOfAGroupHasItsOwnTime(tst *testing.T) {
	har := newHarness()
	har.allocate("g", 5, "a", "b")
	har.report("a", "g", 5, 0, serverregistry.Open)
	har.report("b", "g", 5, 1, serverregistry.Ready)
	next := func(draining bool) []orderplan.Order {
		har.alc.Groups[0].Draining = draining
		return har.pln.NextOrders(orderplan.View{
			Service:       service,
			Registrations: har.reg.View(),
			Allocations:   []group.Allocation{har.alc},
		}, har.now)
	}
	qt.Assert(tst, next(true), qt.HasLen, 1)
	har.now = har.now.Add(time.Second)
	qt.Assert(tst, next(false), qt.HasLen, 0)
	har.now = har.now.Add(time.Minute)
	ords := next(true)
	qt.Assert(tst, ords, qt.HasLen, 1)
	qt.Assert(tst, ords[0].Verb, qt.Equals, orderplan.Close)
	qt.Assert(tst, ords[0].Finish, qt.IsTrue)
}

// Guards against spares without weights: each one holds a model in memory, in a standby group that is never opened.
func TestSparesHoldWeights(tst *testing.T) {
	har := newHarness()
	har.report("s", "", 0, 0, serverregistry.NoGroup)
	view := orderplan.View{
		Service:       service,
		Registrations: har.reg.View(),
		Allocations:   []group.Allocation{har.alc},
		Standbys: map[string]orderplan.Standby{
			"s": {
				Model: "large",
				Epoch: 20,
			},
		},
		PrefetchRate: 10,
		MaxLoads:     10,
	}
	ords := har.pln.NextOrders(view, har.now)
	qt.Assert(tst, ords, qt.HasLen, 1)
	qt.Assert(tst, ords[0].Members, qt.DeepEquals, []string{"s"})
	har.report("s", ords[0].Group, 20, 0, serverregistry.Ready)
	srv, _ := har.reg.View().Server("s")
	qt.Assert(tst, orderplan.IsStandby(srv), qt.IsTrue)
	qt.Assert(tst, har.orders(), qt.HasLen, 0)
	har.allocate("g", 21, "s")
	qt.Assert(tst, har.orders(), qt.DeepEquals, []string{"Join s g"})
}

// Covers many hosts without weights: no more prefetches run at once than the weight store serves without slowing down.
func TestPrefetchesAreLimited(tst *testing.T) {
	har := newHarness()
	view := orderplan.View{
		Service:      service,
		HostModels:   map[string]string{},
		PrefetchRate: 10,
		MaxLoads:     3,
	}
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		har.report(id, "group-"+id, 5, 0, serverregistry.Open)
		har.allocate("group-"+id, 5, id)
		view.HostModels[id] = "small"
	}
	view.Registrations = har.reg.View()
	view.Allocations = []group.Allocation{har.alc}
	num := 0
	for range 50 {
		num += len(har.pln.NextOrders(view, har.now))
		har.now = har.now.Add(100 * time.Millisecond)
	}
	qt.Assert(tst, num, qt.Equals, 3)
}

// Covers a zone whose VMs all return without weights. Loads for groups, prefetches and repeated loads together stay
// within the weight store's rate in every window of 5 s, with a tolerance of 10% and three loads. VMs that are
// unreachable do not delay the others.
func TestLoadsForGroupsStayWithinTheRate(tst *testing.T) {
	const (
		rate        = 4
		vms         = 60
		unreachable = 8
	)
	har := newHarness()
	view := orderplan.View{
		Service:       service,
		HostModels:    map[string]string{},
		PrefetchRate:  rate * 0.4,
		MaxLoads:      3,
		TotalLoadRate: rate,
	}
	place := map[string]int{}
	for num := range vms {
		id := fmt.Sprintf("vm-%d", num)
		har.report(id, "", 0, 0, serverregistry.NoGroup)
		if num%4 == 0 {
			har.alc.Groups = append(har.alc.Groups, group.Group{
				Name:    "small-" + id,
				Fencing: 21,
				Model:   "small",
			})
		}
		grp := &har.alc.Groups[len(har.alc.Groups)-1]
		grp.Members = append(grp.Members, group.Member{
			VM: id,
		})
		place[id] = num
		view.HostModels[id] = "large"
	}
	view.Allocations = []group.Allocation{har.alc}
	var starts []time.Time
	joined := 0
	for range 200 {
		view.Registrations = har.reg.View()
		for _, ord := range har.pln.NextOrders(view, har.now) {
			if ord.Verb == orderplan.Close || ord.Verb == orderplan.Leave {
				continue
			}
			starts = append(starts, har.now)
			if ord.Verb == orderplan.Join && place[ord.Server] >= unreachable {
				joined++
				har.report(ord.Server, ord.Group, ord.Epoch, place[ord.Server]%4, serverregistry.Joining)
			}
		}
		har.now = har.now.Add(150 * time.Millisecond)
	}
	qt.Check(tst, joined, qt.Equals, vms-unreachable)
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

// Guards against loads before the first request of a site, which have no rate limit, that delay the loads after it.
func TestUnlimitedLoadsDoNotUseUpTheRate(tst *testing.T) {
	har := newHarness()
	view := orderplan.View{
		Service: service,
	}
	var members []group.Member
	for num := range 40 {
		id := fmt.Sprintf("vm-%d", num)
		har.report(id, "", 0, 0, serverregistry.NoGroup)
		members = append(members, group.Member{
			VM: id,
		})
	}
	har.alc.Groups = []group.Group{
		{
			Name:    "small",
			Fencing: 21,
			Model:   "small",
			Members: members,
		},
	}
	view.Registrations = har.reg.View()
	view.Allocations = []group.Allocation{har.alc}
	qt.Assert(tst, len(har.pln.NextOrders(view, har.now)), qt.Equals, 40)
	har.report("vm-late", "", 0, 0, serverregistry.NoGroup)
	har.alc.Groups[0].Members = append(members, group.Member{
		VM: "vm-late",
	})
	view.TotalLoadRate = 4
	view.Registrations = har.reg.View()
	view.Allocations = []group.Allocation{har.alc}
	har.now = har.now.Add(300 * time.Millisecond)
	qt.Assert(tst, len(har.pln.NextOrders(view, har.now)), qt.Equals, 1)
}

// Covers a VM that joins a group of the model that it has in memory: its host drops the weights of the other model, and
// a new Stage order is sent without a wait for the timeout of the earlier one.
func TestDroppedWeightsAreStagedAgain(tst *testing.T) {
	har := newHarness()
	har.report("a", "g", 5, 0, serverregistry.Open)
	har.allocate("g", 5, "a")
	next := func(staged string) []orderplan.Order {
		srv, _ := har.reg.View().Server("a")
		later := *srv
		later.StagedModels = []string{staged}
		har.reg.Apply([]serverregistry.Change{
			{
				Server: later,
			},
		}, har.now)
		ords := har.pln.NextOrders(orderplan.View{
			Service:       service,
			Registrations: har.reg.View(),
			Allocations:   []group.Allocation{har.alc},
			HostModels: map[string]string{
				"a": "small",
			},
			PrefetchRate: 10,
			MaxLoads:     1,
		}, har.now)
		har.now = har.now.Add(5 * time.Second)
		return ords
	}
	qt.Assert(tst, next("large"), qt.HasLen, 1)
	qt.Assert(tst, next("large"), qt.HasLen, 0, qt.Commentf("the load is in progress"))
	qt.Assert(tst, next("small"), qt.HasLen, 0)
	again := next("large")
	qt.Assert(tst, again, qt.HasLen, 1)
	har.pln.OrderFailed(again[0])
	qt.Assert(tst, next("large"), qt.HasLen, 1, qt.Commentf("a failed order does not count as a load in progress"))
}
