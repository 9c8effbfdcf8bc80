package sitecontrol_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/allocationwriter"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/orderplan"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/sitecontrol"
)

const service = "engines"

// memoryStore is an object store in memory.
type memoryStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]objects.Object
}

func (mem *memoryStore) store() objects.Store {
	return objects.Store{
		Get: func(_ context.Context, kind, name string) (objects.Object, error) {
			mem.mu.Lock()
			defer mem.mu.Unlock()
			obj, ok := mem.objects[kind+"/"+name]
			if !ok {
				return obj, objects.ErrNotFound
			}
			return obj, nil
		},
		List: func(_ context.Context, kind string) ([]objects.Object, uint64, error) {
			mem.mu.Lock()
			defer mem.mu.Unlock()
			var objs []objects.Object
			for _, obj := range mem.objects {
				if obj.Kind == kind {
					objs = append(objs, obj)
				}
			}
			return objs, mem.revision, nil
		},
		Put: func(_ context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
			mem.mu.Lock()
			defer mem.mu.Unlock()
			if mem.objects[kind+"/"+name].Version != expected {
				return 0, objects.ErrConflict
			}
			mem.revision++
			mem.objects[kind+"/"+name] = objects.Object{
				Kind:    kind,
				Name:    name,
				Version: mem.revision,
				Value:   value,
			}
			return mem.revision, nil
		},
	}
}

// harness is a site of three zones, each with one fabric domain of eight engines. Engines execute orders at once.
type harness struct {
	tst          *testing.T
	mem          *memoryStore
	reg          *serverregistry.Registry
	clk          *clockwork.FakeClock
	tbl          *route.Table
	storeCurrent bool
	// demand holds the measured work by model.
	demand map[string]float64

	mu      sync.Mutex
	version uint64
	servers map[string]serverregistry.Server
	// neverLoads holds VMs that never finish loading weights.
	neverLoads map[string]bool
	// sendTokens is set if all groups send tokens, other than those of the heads in silentSince, which holds when these sent
	// their last one.
	sendTokens  bool
	silentSince map[string]time.Time
	orders      []orderplan.Order
	// fences holds the fencing tokens of the orders.
	fences []uint64
}

func newHarness(tst *testing.T) *harness {
	har := &harness{
		tst:          tst,
		mem:          &memoryStore{objects: map[string]objects.Object{}},
		reg:          serverregistry.New(),
		clk:          clockwork.NewFakeClock(),
		storeCurrent: true,
		servers:      map[string]serverregistry.Server{},
		neverLoads:   map[string]bool{},
		silentSince:  map[string]time.Time{},
		tbl: route.New(route.Config{
			Services: []route.Service{
				{
					Name: service,
					Engine: &route.Engine{
						Models: []route.Model{
							{
								Name:         "large",
								VMs:          4,
								InitialShare: 0.67,
							},
							{
								Name:         "small",
								VMs:          2,
								InitialShare: 0.33,
							},
						},
						ModelLoadRate: 4,
						MaxFastLoads:  6,
					},
				},
			},
		}),
	}
	for _, zone := range []string{"a", "b", "c"} {
		for num := range 8 {
			har.addVM(fmt.Sprintf("vm-%s-%d", zone, num), zone)
		}
	}
	return har
}

func (har *harness) addVM(id, zone string) {
	har.mu.Lock()
	defer har.mu.Unlock()
	har.setServer(serverregistry.Server{
		ID:           id,
		Service:      service,
		Address:      id + ":1",
		Zone:         zone,
		FabricDomain: "fabric-" + zone,
		StartTime:    1,
	})
}

// setServer registers a server's state. The caller holds the lock.
func (har *harness) setServer(srv serverregistry.Server) {
	har.version++
	srv.Version = har.version
	har.servers[srv.ID] = srv
	har.reg.Apply([]serverregistry.Change{
		{
			Server: srv,
		},
	}, har.clk.Now())
}

func (har *harness) removeVM(id string) {
	har.mu.Lock()
	defer har.mu.Unlock()
	har.version++
	delete(har.servers, id)
	har.reg.Apply([]serverregistry.Change{
		{
			Server: serverregistry.Server{
				ID:      id,
				Version: har.version,
			},
			Removed: true,
		},
	}, har.clk.Now())
}

// execute executes an order at once.
func (har *harness) execute(_ context.Context, ord orderplan.Order, fence uint64) error {
	har.mu.Lock()
	defer har.mu.Unlock()
	har.orders = append(har.orders, ord)
	har.fences = append(har.fences, fence)
	srv, ok := har.servers[ord.Server]
	if !ok {
		return fmt.Errorf("%s is gone", ord.Server)
	}
	switch ord.Verb {
	case orderplan.Join:
		srv.Models = []string{ord.Model}
		srv.Membership = serverregistry.Membership{
			Group: ord.Group,
			Epoch: ord.Epoch,
			State: serverregistry.Ready,
		}
		if har.neverLoads[ord.Server] {
			srv.Membership.State = serverregistry.Joining
		}
		for rank, id := range ord.Members {
			if id == ord.Server {
				srv.Membership.Rank = rank
			}
		}
	case orderplan.Open:
		srv.Membership.State = serverregistry.Open
	case orderplan.Close:
		srv.Membership.State = serverregistry.Ready
	case orderplan.Leave:
		srv.Membership = serverregistry.Membership{}
	case orderplan.Stage:
		srv.StagedModels = []string{ord.Model}
	}
	har.setServer(srv)
	return nil
}

func (har *harness) controller(name string) *sitecontrol.Controller {
	pst := har.mem.store()
	les := lease.New(sitecontrol.LeaseName, name, 2*time.Second, pst, har.clk)
	inv := inventory.New(zap.NewNop())
	deps := sitecontrol.Dependencies{
		Table:              func() *route.Table { return har.tbl },
		Registrations:      har.reg.View,
		CurrentFor:         func(time.Duration) bool { return har.storeCurrent },
		ChecksLeaseOften:   func() bool { return true },
		Demand:             func(string) map[string]float64 { return har.demand },
		BeforeFirstRequest: func() bool { return false },
		LastByte:           har.lastByte,
		ReportHeld:         func(int) {},
		ReportHeldLost:     func() {},
		SendOrder:          har.execute,
	}
	cfg := sitecontrol.Config{
		StallTime: 4 * time.Second,
	}
	return sitecontrol.New(cfg, deps, les, inv, allocationwriter.New(pst, inv, les.Held), har.clk, zap.NewNop())
}

// runFor runs a controller's loop for a time span of the fake clock.
func (har *harness) runFor(ctr *sitecontrol.Controller, span time.Duration) {
	for end := har.clk.Now().Add(span); har.clk.Now().Before(end); har.clk.Advance(150 * time.Millisecond) {
		ctr.RunOnce(har.tst.Context())
		// Orders are sent in the background; the pause lets them finish before the next round.
		time.Sleep(3 * time.Millisecond)
	}
}

// openGroups returns the number of open groups by model.
func (har *harness) openGroups() map[string]int {
	har.mu.Lock()
	defer har.mu.Unlock()
	open := map[string]int{}
	for _, srv := range har.servers {
		if srv.Membership.State == serverregistry.Open {
			open[srv.Models[0]]++
		}
	}
	return open
}

// member returns a VM of zone a that has the given rank in a group of the given model.
func (har *harness) member(model string, rank int) string {
	har.mu.Lock()
	defer har.mu.Unlock()
	for id, srv := range har.servers {
		if srv.Zone == "a" && srv.Models[0] == model && srv.Membership.Rank == rank {
			return id
		}
	}
	return ""
}

// orderCount returns the number of orders other than Stage orders.
func (har *harness) orderCount() int {
	har.mu.Lock()
	defer har.mu.Unlock()
	num := 0
	for _, ord := range har.orders {
		if ord.Verb != orderplan.Stage {
			num++
		}
	}
	return num
}

func TestSiteFormsItsGroups(tst *testing.T) {
	har := newHarness(tst)
	// The weight store permits 4 loads per second, and none of the 24 VMs holds weights. The large model has two thirds of
	// the work, which takes four of its groups.
	har.runFor(har.controller("entry-1"), 7*time.Second)
	qt.Assert(tst, har.openGroups(), qt.DeepEquals, map[string]int{"large": 4, "small": 4})
}

// Guards against a plan that changes in every round: once all groups are complete, no more orders are sent.
func TestCompleteGroupsAreNotChanged(tst *testing.T) {
	har := newHarness(tst)
	ctr := har.controller("entry-1")
	har.runFor(ctr, 8*time.Second)
	before := har.orderCount()
	har.runFor(ctr, 10*time.Second)
	qt.Assert(tst, har.orderCount(), qt.Equals, before)
}

// Guards against a new lease holder that changes running groups, also while a whole domain is missing. It knows only
// the store and the engines' reports.
func TestNewHolderKeepsGroups(tst *testing.T) {
	har := newHarness(tst)
	har.runFor(har.controller("entry-1"), 8*time.Second)
	for num := range 8 {
		har.removeVM(fmt.Sprintf("vm-c-%d", num))
	}
	before := har.orderCount()
	openBefore := har.openGroups()
	qt.Assert(tst, 4*openBefore["large"]+2*openBefore["small"], qt.Equals, 16)
	har.runFor(har.controller("entry-2"), 12*time.Second)
	qt.Assert(tst, har.openGroups(), qt.DeepEquals, openBefore)
	qt.Assert(tst, har.orderCount(), qt.Equals, before)
	har.addVM("vm-c-new", "c")
	har.mu.Lock()
	last := har.fences[len(har.fences)-1]
	first := har.fences[0]
	har.mu.Unlock()
	qt.Assert(tst, last >= first, qt.IsTrue)
}

// Covers the loss of a VM of a large group: a VM of a small group completes it within seconds.
func TestLargeGroupIsRepaired(tst *testing.T) {
	har := newHarness(tst)
	ctr := har.controller("entry-1")
	har.runFor(ctr, 20*time.Second)
	har.removeVM(har.member("large", 2))
	har.runFor(ctr, 3*time.Second)
	qt.Assert(tst, har.openGroups(), qt.DeepEquals, map[string]int{"large": 4, "small": 3})
}

// Guards against groups that are dissolved because their members' registrations expired during an outage of the store.
func TestNothingIsPlannedWhileVMsMayRegisterAgain(tst *testing.T) {
	har := newHarness(tst)
	ctr := har.controller("entry-1")
	har.runFor(ctr, 8*time.Second)
	har.storeCurrent = false
	before := har.orderCount()
	for num := range 6 {
		har.removeVM(fmt.Sprintf("vm-a-%d", num))
	}
	har.runFor(ctr, 3*time.Second)
	qt.Assert(tst, har.orderCount(), qt.Equals, before)
}

// Covers a fabric domain that was unreachable and returns within a few hundred milliseconds: its large group consists
// of the VMs whose hosts hold the weights, not of those that registered first.
func TestReturningDomainIsPlannedAsAWhole(tst *testing.T) {
	har := newHarness(tst)
	ctr := har.controller("entry-1")
	// Another domain of the zone stays registered.
	har.addVM("vm-a-other", "a")
	har.mu.Lock()
	other := har.servers["vm-a-other"]
	other.FabricDomain = "fabric-other"
	har.setServer(other)
	har.mu.Unlock()
	har.runFor(ctr, 20*time.Second)
	for num := range 8 {
		har.removeVM(fmt.Sprintf("vm-a-%d", num))
	}
	har.runFor(ctr, 3*time.Second)
	har.mu.Lock()
	before := len(har.orders)
	har.mu.Unlock()
	held := map[string]string{}
	for num := range 8 {
		id := fmt.Sprintf("vm-a-%d", num)
		held[id] = "small"
		if num%4 >= 2 {
			held[id] = "large"
		}
		har.addVM(id, "a")
		har.mu.Lock()
		srv := har.servers[id]
		srv.StartTime = 2
		srv.StagedModels = []string{held[id]}
		har.setServer(srv)
		har.mu.Unlock()
		if num%4 == 3 {
			har.runFor(ctr, 150*time.Millisecond)
		}
	}
	har.runFor(ctr, 2*time.Second)
	har.mu.Lock()
	defer har.mu.Unlock()
	joined := map[string]string{}
	for _, ord := range har.orders[before:] {
		if ord.Verb == orderplan.Join && held[ord.Server] != "" {
			joined[ord.Server] = ord.Model
		}
	}
	qt.Assert(tst, joined, qt.DeepEquals, held)
}

// Guards against a VM that counts as having weights in memory while it still loads them, since a group that waits for
// it keeps its other members idle. A member is lost just after a spare began to load.
func TestLoadingVMCompletesNoGroup(tst *testing.T) {
	har := newHarness(tst)
	ctr := har.controller("entry-1")
	har.runFor(ctr, 20*time.Second)
	lost := har.member("large", 2)
	har.mu.Lock()
	har.neverLoads["vm-a-new"] = true
	har.mu.Unlock()
	har.addVM("vm-a-new", "a")
	har.runFor(ctr, time.Second)
	har.removeVM(lost)
	har.runFor(ctr, 3*time.Second)
	qt.Assert(tst, har.openGroups(), qt.DeepEquals, map[string]int{"large": 4, "small": 3})
}

// Guards against an order to a spare to load the model that it has in memory already, which would make its host drop
// the weights of the other model.
func TestSpareWithWeightsGetsNoOrder(tst *testing.T) {
	har := newHarness(tst)
	ctr := har.controller("entry-1")
	har.runFor(ctr, 20*time.Second)
	lost, other := har.member("small", 0), ""
	har.mu.Lock()
	for id, srv := range har.servers {
		if id != lost && srv.Membership.SameGroup(har.servers[lost].Membership) {
			other = id
		}
	}
	before := len(har.orders)
	har.mu.Unlock()
	har.removeVM(lost)
	har.runFor(ctr, 8*time.Second)
	har.mu.Lock()
	defer har.mu.Unlock()
	for _, ord := range har.orders[before:] {
		qt.Assert(tst, ord.Server == other && orderplan.IsStandby(&serverregistry.Server{
			ID: ord.Server,
			Membership: serverregistry.Membership{
				Group: ord.Group,
				State: serverregistry.Joining,
			},
		}), qt.IsFalse, qt.Commentf("%+v", ord))
	}
}
