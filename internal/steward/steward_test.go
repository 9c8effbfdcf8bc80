package steward_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/allocationbook"
	"github.com/cumintally/cumintally/internal/formation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/roster"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/steward"
)

const service = "engines"

// memory is a store in memory.
type memory struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]objects.Object
}

func (mem *memory) store() objects.Store {
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

// bench is a site of three zones with a domain of eight engines each, which obey orders at once.
type bench struct {
	tst     *testing.T
	mem     *memory
	rst     *roster.Roster
	clk     *clockwork.FakeClock
	tbl     *route.Table
	settled bool

	mu      sync.Mutex
	version uint64
	servers map[string]roster.Server
	// slow are VMs that load without an end.
	slow   map[string]bool
	orders []formation.Order
	// fences are the numbers under which orders were given.
	fences []uint64
}

func newBench(tst *testing.T) *bench {
	bch := &bench{
		tst:     tst,
		mem:     &memory{objects: map[string]objects.Object{}},
		rst:     roster.New(),
		clk:     clockwork.NewFakeClock(),
		settled: true,
		servers: map[string]roster.Server{},
		slow:    map[string]bool{},
		tbl: route.New(route.Config{
			Services: []route.Service{
				{
					Name: service,
					Engine: &route.Engine{
						Models: []route.Model{
							{
								Name:  "large",
								VMs:   4,
								Share: 0.67,
							},
							{
								Name:  "small",
								VMs:   2,
								Share: 0.33,
							},
						},
						LoadRate:    4,
						LoadsAtOnce: 6,
					},
				},
			},
		}),
	}
	for _, zone := range []string{"a", "b", "c"} {
		for num := range 8 {
			bch.add(fmt.Sprintf("vm-%s-%d", zone, num), zone)
		}
	}
	return bch
}

func (bch *bench) add(id, zone string) {
	bch.mu.Lock()
	defer bch.mu.Unlock()
	bch.set(roster.Server{
		ID:      id,
		Service: service,
		Address: id + ":1",
		Zone:    zone,
		Domain:  "fabric-" + zone,
		Born:    1,
	})
}

// set registers a server's state; the lock is held.
func (bch *bench) set(srv roster.Server) {
	bch.version++
	srv.Version = bch.version
	bch.servers[srv.ID] = srv
	bch.rst.Apply([]roster.Change{
		{
			Server: srv,
		},
	}, bch.clk.Now())
}

func (bch *bench) lose(id string) {
	bch.mu.Lock()
	defer bch.mu.Unlock()
	bch.version++
	delete(bch.servers, id)
	bch.rst.Apply([]roster.Change{
		{
			Server: roster.Server{
				ID:      id,
				Version: bch.version,
			},
			Gone: true,
		},
	}, bch.clk.Now())
}

// obey carries an order out at once.
func (bch *bench) obey(_ context.Context, ord formation.Order, fence uint64) error {
	bch.mu.Lock()
	defer bch.mu.Unlock()
	bch.orders = append(bch.orders, ord)
	bch.fences = append(bch.fences, fence)
	srv, ok := bch.servers[ord.Server]
	if !ok {
		return fmt.Errorf("%s is gone", ord.Server)
	}
	switch ord.Verb {
	case formation.Join:
		srv.Models = []string{ord.Model}
		srv.Place = roster.Place{
			Group: ord.Group,
			Epoch: ord.Epoch,
			State: roster.Ready,
		}
		if bch.slow[ord.Server] {
			srv.Place.State = roster.Joining
		}
		for rank, id := range ord.Members {
			if id == ord.Server {
				srv.Place.Rank = rank
			}
		}
	case formation.Open:
		srv.Place.State = roster.Open
	case formation.Close:
		srv.Place.State = roster.Ready
	case formation.Leave:
		srv.Place = roster.Place{}
	case formation.Stage:
		srv.Staged = []string{ord.Model}
	}
	bch.set(srv)
	return nil
}

func (bch *bench) steward(name string) *steward.Steward {
	pst := bch.mem.store()
	les := lease.New(steward.Scope, name, 2*time.Second, pst, bch.clk)
	inv := inventory.New(zap.NewNop())
	sea := steward.Seams{
		Table:    func() *route.Table { return bch.tbl },
		Roster:   bch.rst.View,
		Settled:  func(time.Duration) bool { return bch.settled },
		Foremost: func() bool { return true },
		Quiet:    func() bool { return false },
		Order:    bch.obey,
	}
	cfg := steward.Config{
		StallTime: 4 * time.Second,
	}
	return steward.New(cfg, sea, les, inv, allocationbook.New(pst, inv, les.Held), bch.clk, zap.NewNop())
}

// turns runs a steward's loop for a span of the fake clock.
func (bch *bench) turns(stw *steward.Steward, span time.Duration) {
	for end := bch.clk.Now().Add(span); bch.clk.Now().Before(end); bch.clk.Advance(150 * time.Millisecond) {
		stw.Turn(bch.tst.Context())
		// Orders are given apart from the loop; each is carried out before the next turn.
		time.Sleep(3 * time.Millisecond)
	}
}

// open returns the number of open groups of each model.
func (bch *bench) open() map[string]int {
	bch.mu.Lock()
	defer bch.mu.Unlock()
	open := map[string]int{}
	for _, srv := range bch.servers {
		if srv.Place.State == roster.Open {
			open[srv.Models[0]]++
		}
	}
	return open
}

// member returns a VM of zone a that has a rank in a group of a model.
func (bch *bench) member(model string, rank int) string {
	bch.mu.Lock()
	defer bch.mu.Unlock()
	for id, srv := range bch.servers {
		if srv.Zone == "a" && srv.Models[0] == model && srv.Place.Rank == rank {
			return id
		}
	}
	return ""
}

// ordered returns the number of orders other than loads ahead of need.
func (bch *bench) ordered() int {
	bch.mu.Lock()
	defer bch.mu.Unlock()
	num := 0
	for _, ord := range bch.orders {
		if ord.Verb != formation.Stage {
			num++
		}
	}
	return num
}

func TestSiteFormsItsGroups(tst *testing.T) {
	bch := newBench(tst)
	// The weight store permits 4 loads per second, and none of the 24 VMs holds weights. Two thirds of the work are the large
	// model's, which are four of its groups.
	bch.turns(bch.steward("entry-1"), 7*time.Second)
	qt.Assert(tst, bch.open(), qt.DeepEquals, map[string]int{"large": 4, "small": 4})
}

// Guards against a plan that is made anew each turn: once groups stand, nothing more is ordered.
func TestGroupsThatStandAreLeftAlone(tst *testing.T) {
	bch := newBench(tst)
	stw := bch.steward("entry-1")
	bch.turns(stw, 8*time.Second)
	before := bch.ordered()
	bch.turns(stw, 10*time.Second)
	qt.Assert(tst, bch.ordered(), qt.Equals, before)
}

// Guards against a new holder that knows nothing but the store and the reports, and changes groups that work, also
// while a whole domain is missing.
func TestNewHolderKeepsGroups(tst *testing.T) {
	bch := newBench(tst)
	bch.turns(bch.steward("entry-1"), 8*time.Second)
	for num := range 8 {
		bch.lose(fmt.Sprintf("vm-c-%d", num))
	}
	before := bch.ordered()
	stood := bch.open()
	qt.Assert(tst, 4*stood["large"]+2*stood["small"], qt.Equals, 16)
	bch.turns(bch.steward("entry-2"), 12*time.Second)
	qt.Assert(tst, bch.open(), qt.DeepEquals, stood)
	qt.Assert(tst, bch.ordered(), qt.Equals, before)
	bch.add("vm-c-new", "c")
	bch.mu.Lock()
	last := bch.fences[len(bch.fences)-1]
	first := bch.fences[0]
	bch.mu.Unlock()
	qt.Assert(tst, last >= first, qt.IsTrue)
}

// Replays the loss of a VM of a large group: it is whole again within seconds, with a VM of a small group.
func TestLargeGroupIsCompleted(tst *testing.T) {
	bch := newBench(tst)
	stw := bch.steward("entry-1")
	bch.turns(stw, 20*time.Second)
	bch.lose(bch.member("large", 2))
	bch.turns(stw, 3*time.Second)
	qt.Assert(tst, bch.open(), qt.DeepEquals, map[string]int{"large": 4, "small": 3})
}

// Guards against groups that are taken apart because the store forgot their members during an outage.
func TestNothingIsPlannedWhileEntriesMayBeBack(tst *testing.T) {
	bch := newBench(tst)
	stw := bch.steward("entry-1")
	bch.turns(stw, 8*time.Second)
	bch.settled = false
	before := bch.ordered()
	for num := range 6 {
		bch.lose(fmt.Sprintf("vm-a-%d", num))
	}
	bch.turns(stw, 3*time.Second)
	qt.Assert(tst, bch.ordered(), qt.Equals, before)
}

// Replays a fabric domain that was dark and comes back within some hundred milliseconds: its large group is made of the
// VMs whose hosts hold the weights, not of those that happened to register first.
func TestReturningDomainIsPlannedWhole(tst *testing.T) {
	bch := newBench(tst)
	stw := bch.steward("entry-1")
	// The rest of the zone stays in sight.
	bch.add("vm-a-other", "a")
	bch.mu.Lock()
	other := bch.servers["vm-a-other"]
	other.Domain = "fabric-other"
	bch.set(other)
	bch.mu.Unlock()
	bch.turns(stw, 20*time.Second)
	for num := range 8 {
		bch.lose(fmt.Sprintf("vm-a-%d", num))
	}
	bch.turns(stw, 3*time.Second)
	bch.mu.Lock()
	before := len(bch.orders)
	bch.mu.Unlock()
	held := map[string]string{}
	for num := range 8 {
		id := fmt.Sprintf("vm-a-%d", num)
		held[id] = "small"
		if num%4 >= 2 {
			held[id] = "large"
		}
		bch.add(id, "a")
		bch.mu.Lock()
		srv := bch.servers[id]
		srv.Born = 2
		srv.Staged = []string{held[id]}
		bch.set(srv)
		bch.mu.Unlock()
		if num%4 == 3 {
			bch.turns(stw, 150*time.Millisecond)
		}
	}
	bch.turns(stw, 2*time.Second)
	bch.mu.Lock()
	defer bch.mu.Unlock()
	joined := map[string]string{}
	for _, ord := range bch.orders[before:] {
		if ord.Verb == formation.Join && held[ord.Server] != "" {
			joined[ord.Server] = ord.Model
		}
	}
	qt.Assert(tst, joined, qt.DeepEquals, held)
}

// Guards against a VM that counts as having weights in memory while it still loads them: a group that waits for it keeps its
// other members idle. Replays the loss of a member beside a spare that has just begun to load.
func TestLoadingVMCompletesNoGroup(tst *testing.T) {
	bch := newBench(tst)
	stw := bch.steward("entry-1")
	bch.turns(stw, 20*time.Second)
	lost := bch.member("large", 2)
	bch.mu.Lock()
	bch.slow["vm-a-new"] = true
	bch.mu.Unlock()
	bch.add("vm-a-new", "a")
	bch.turns(stw, time.Second)
	bch.lose(lost)
	bch.turns(stw, 3*time.Second)
	qt.Assert(tst, bch.open(), qt.DeepEquals, map[string]int{"large": 4, "small": 3})
}

// Guards against a spare that is told to load what it has in memory, by which its host drops the weights of another model.
func TestSpareWithWeightsIsLeftAlone(tst *testing.T) {
	bch := newBench(tst)
	stw := bch.steward("entry-1")
	bch.turns(stw, 20*time.Second)
	lost, other := bch.member("small", 0), ""
	bch.mu.Lock()
	for id, srv := range bch.servers {
		if id != lost && srv.Place.Same(bch.servers[lost].Place) {
			other = id
		}
	}
	before := len(bch.orders)
	bch.mu.Unlock()
	bch.lose(lost)
	bch.turns(stw, 8*time.Second)
	bch.mu.Lock()
	defer bch.mu.Unlock()
	for _, ord := range bch.orders[before:] {
		qt.Assert(tst, ord.Server == other && formation.IsStandby(&roster.Server{
			ID: ord.Server,
			Place: roster.Place{
				Group: ord.Group,
				State: roster.Joining,
			},
		}), qt.IsFalse, qt.Commentf("%+v", ord))
	}
}
