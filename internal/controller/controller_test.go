package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/evidence"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/objects"
	standin "github.com/cumintally/cumintally/internal/standin/platform"
	"github.com/cumintally/cumintally/pkg/document"
)

var cfg = Config{
	AvailabilityZone: "zone",
	OrderTimeout:     2 * time.Second,
	LeaseDuration:    4 * time.Second,
	EvidenceMaxAge:   1500 * time.Millisecond,
	DrainTimeout:     time.Minute,
}

// machine is a VM with an engine that checks fencing numbers.
type machine struct {
	vm     objects.VM
	report backend.Report
	silent bool
	// ended says that the VM is there and its engine is not.
	ended bool
}

// bench is a zone with a fake clock: engines in memory, one store, and any number of controllers.
type bench struct {
	tst *testing.T
	clk *clockwork.FakeClock
	pst objects.Store
	doc *document.Document

	mu       sync.Mutex
	machines map[string]*machine
	// orders counts the orders that each VM got.
	orders map[string]int
	onGive func(ord backend.Order)
}

// node is one daemon of the bench.
type node struct {
	bch    *bench
	ctr    *Controller
	inv    *inventory.Inventory
	tab    *evidence.Table
	pst    objects.Store
	alive  int
	listed int
}

func newBench(tst *testing.T, vms int) *bench {
	sto := standin.NewStore()
	bch := &bench{
		tst:      tst,
		clk:      clockwork.NewFakeClock(),
		pst:      sto.Platform(),
		machines: map[string]*machine{},
		orders:   map[string]int{},
		doc: &document.Document{
			Models: []document.Model{
				{
					Name:        "model",
					Version:     "1",
					VMsPerGroup: 2,
				},
			},
			Groups: []document.Group{
				{
					Name:             "a",
					Model:            "model",
					AvailabilityZone: "zone",
					Replicas:         1,
				},
			},
		},
	}
	bch.pst.VMs = func(context.Context) ([]objects.VM, error) {
		var all []objects.VM
		for _, mac := range bch.machines {
			if mac.vm.State != "" {
				all = append(all, mac.vm)
			}
		}
		return all, nil
	}
	for idx := range vms {
		name := fmt.Sprintf("vm-%d", idx)
		bch.machines[name] = &machine{
			vm: objects.VM{
				Name:             name,
				AvailabilityZone: "zone",
				FabricDomain:     "fabric",
				Role:             objects.RoleEngine,
				Address:          name,
				State:            objects.VMLive,
			},
			report: backend.Report{
				VM:          name,
				Incarnation: 1,
				State:       backend.StateIdle,
			},
		}
	}
	return bch
}

func (bch *bench) node(name string) *node {
	nod := &node{
		bch:    bch,
		pst:    bch.pst,
		alive:  3,
		listed: 3,
	}
	pst := objects.Store{
		Get: func(ctx context.Context, kind, name string) (objects.Object, error) {
			return nod.pst.Get(ctx, kind, name)
		},
		List: func(ctx context.Context, kind string) ([]objects.Object, uint64, error) {
			return nod.pst.List(ctx, kind)
		},
		Put: func(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
			return nod.pst.Put(ctx, kind, name, expected, value)
		},
	}
	nod.inv = inventory.New(zap.NewNop())
	nod.tab = evidence.New(cfg.EvidenceMaxAge)
	sea := Seams{
		InForce: func() *document.Document { return bch.doc },
		Order:   bch.give,
		Report:  bch.ask,
		Refuses: bch.refuses,
		Peers:   func() (int, int) { return nod.alive, nod.listed },
		Rank:    func() int { return 0 },
	}
	les := lease.New("zone", name, cfg.LeaseDuration, pst, bch.clk)
	nod.ctr = New(cfg, sea, les, nod.inv, nod.tab, pst, bch.clk, zap.NewNop())
	return nod
}

// give is what an engine does with an order.
func (bch *bench) give(_ context.Context, adr string, ord backend.Order) error {
	bch.mu.Lock()
	defer bch.mu.Unlock()
	mac := bch.machines[adr]
	if mac.silent {
		return backend.ErrBroken
	}
	if bch.onGive != nil {
		bch.onGive(ord)
	}
	if ord.Fencing < mac.report.Fencing {
		return backend.ErrStaleOrder
	}
	bch.orders[adr]++
	mac.report.Group = ord.Group
	mac.report.Fencing = ord.Fencing
	mac.report.Rank = ord.Rank
	mac.report.Version = ord.Version
	mac.report.Model = ord.Model
	mac.report.State = backend.StateReady
	if ord.Group == "" {
		mac.report.State = backend.StateIdle
	}
	return nil
}

// ask is what an engine answers when it is asked itself.
func (bch *bench) ask(_ context.Context, adr string) (backend.Report, error) {
	bch.mu.Lock()
	defer bch.mu.Unlock()
	mac := bch.machines[adr]
	if mac.silent {
		return backend.Report{}, backend.ErrBroken
	}
	return mac.report, nil
}

func (bch *bench) refuses(_ context.Context, adr string) bool {
	bch.mu.Lock()
	defer bch.mu.Unlock()
	return bch.machines[adr].ended
}

// turn lets a node hear every VM that is not silent and runs its loop once, half a second on.
func (nod *node) turn() {
	bch := nod.bch
	bch.clk.Advance(interval)
	nod.hear()
	now := bch.clk.Now()
	nod.ctr.obs.tick(now.Add(-interval / 2))
	nod.ctr.obs.tick(now)
	nod.step()
}

func (nod *node) hear() {
	bch := nod.bch
	ctx := bch.tst.Context()
	bch.mu.Lock()
	for _, mac := range bch.machines {
		if !mac.silent {
			// The load figures that daemons hand on may be old.
			rep := mac.report
			rep.Running = 0
			nod.tab.Record(evidence.Entry{
				Report: rep,
				AsOf:   bch.clk.Now(),
			})
		}
	}
	bch.mu.Unlock()
	objs, _, err := bch.pst.List(ctx, objects.KindAllocation)
	qt.Assert(bch.tst, err, qt.IsNil)
	for _, obj := range objs {
		nod.inv.TakeAllocation(ctx, obj)
	}
	nod.takeVMs(ctx)
}

// takeVMs makes the node's list of VMs equal to the platform's.
func (nod *node) takeVMs(ctx context.Context) {
	vms, _ := nod.bch.pst.VMs(ctx)
	listed := map[string]bool{}
	for _, vmc := range vms {
		listed[vmc.Name] = true
		val, err := json.Marshal(vmc)
		qt.Assert(nod.bch.tst, err, qt.IsNil)
		nod.inv.TakeVM(ctx, objects.Object{
			Name:  vmc.Name,
			Value: val,
		})
	}
	for _, vmc := range nod.inv.VMs() {
		if !listed[vmc.Name] {
			nod.inv.TakeVM(ctx, objects.Object{
				Name:    vmc.Name,
				Deleted: true,
			})
		}
	}
}

func (nod *node) step() {
	nod.ctr.turn(nod.bch.tst.Context())
	nod.ctr.ord.wait()
}

func (nod *node) turns(dur time.Duration) {
	for range int(dur / interval) {
		nod.turn()
	}
}

func (nod *node) serves() bool {
	for _, alc := range nod.inv.Allocations("zone") {
		for _, grp := range alc.Groups {
			if _, ok := nod.tab.Complete(grp, nod.bch.clk.Now()); ok && !grp.Draining {
				return true
			}
		}
	}
	return false
}

// members returns the members of the only group as the platform holds it.
func (bch *bench) members() []string {
	alc := bch.allocation()
	if len(alc.Groups) == 0 {
		return nil
	}
	var names []string
	for _, mem := range alc.Groups[0].Members {
		names = append(names, mem.VM)
	}
	return names
}

func (bch *bench) allocation() group.Allocation {
	var alc group.Allocation
	if obj, err := bch.pst.Get(bch.tst.Context(), objects.KindAllocation, "fabric"); err == nil {
		qt.Assert(bch.tst, json.Unmarshal(obj.Value, &alc), qt.IsNil)
	}
	return alc
}

// TestOrdersFollowConfirmedWrites guards against an order for a group that the platform does not hold,
// when the answer to the first write of a domain is lost, with and without effect.
func TestOrdersFollowConfirmedWrites(tst *testing.T) {
	for _, effect := range []bool{false, true} {
		bch := newBench(tst, 2)
		bch.onGive = func(ord backend.Order) {
			alc := bch.allocation()
			known := slices.ContainsFunc(alc.Groups, func(grp group.Group) bool { return grp.Name == ord.Group && grp.Fencing == ord.Fencing })
			qt.Check(tst, known, qt.IsTrue, qt.Commentf("order %+v, allocation %+v", ord, alc))
			qt.Check(tst, bch.clk.Now().Before(ord.NotAfter), qt.IsTrue)
		}
		nod := bch.node("entry-1")
		lost := 0
		nod.pst.Put = func(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
			if kind != objects.KindAllocation || lost == 2 {
				return bch.pst.Put(ctx, kind, name, expected, value)
			}
			lost++
			if effect {
				_, _ = bch.pst.Put(ctx, kind, name, expected, value)
			}
			return 0, objects.ErrUnknownOutcome
		}
		nod.turns(3 * time.Second)
		qt.Assert(tst, nod.serves(), qt.IsTrue)
		want := uint64(1)
		qt.Assert(tst, bch.allocation().Counter, qt.Equals, want, qt.Commentf("the write was repeated although it had taken effect"))
	}
}

// TestPlanUsesItsOwnVersion guards against a plan that overwrites an allocation that changed after the
// plan's copy was taken.
func TestPlanUsesItsOwnVersion(tst *testing.T) {
	bch := newBench(tst, 4)
	nod := bch.node("entry-1")
	nod.turns(time.Second)
	alc := nod.inv.Allocations("zone")[0]
	// Another controller's write arrives between the plan and the write.
	newer := alc
	newer.Counter += 7
	val, err := json.Marshal(newer)
	qt.Assert(tst, err, qt.IsNil)
	ver, err := bch.pst.Put(tst.Context(), objects.KindAllocation, "fabric", alc.Version, val)
	qt.Assert(tst, err, qt.IsNil)
	nod.inv.TakeAllocation(tst.Context(), objects.Object{
		Kind:    objects.KindAllocation,
		Name:    "fabric",
		Version: ver,
		Value:   val,
	})
	qt.Assert(tst, nod.ctr.bok.Write(tst.Context(), alc), qt.ErrorIs, objects.ErrConflict)
	qt.Assert(tst, bch.allocation().Counter, qt.Equals, newer.Counter)
}

// TestLostMemberIsReplaced guards against a group that stays broken beside a spare VM, and against a VM
// that is assigned again while a late order may reach it.
func TestLostMemberIsReplaced(tst *testing.T) {
	bch := newBench(tst, 3)
	nod := bch.node("entry-1")
	nod.turns(6 * time.Second)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	bch.machines["vm-0"].silent = true
	nod.turns(3 * time.Second)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	nod.turns(3 * time.Second)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-2", "vm-1"})
	qt.Assert(tst, nod.serves(), qt.IsTrue)
	// vm-0 comes back with its old order and is cleared; vm-1 is lost next.
	bch.machines["vm-0"].silent = false
	nod.turn()
	nod.turn()
	qt.Assert(tst, bch.machines["vm-0"].report.Group, qt.Equals, "")
	bch.machines["vm-1"].silent = true
	nod.turns(3500 * time.Millisecond)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-2", "vm-1"}, qt.Commentf("vm-0 may still get a late order"))
	nod.turns(5 * time.Second)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-2", "vm-0"})
}

// TestDelayCountsOnNewHolder guards against a new holder that assigns a released VM at once because it
// trusts the clock or the memory of the holder before.
func TestDelayCountsOnNewHolder(tst *testing.T) {
	bch := newBench(tst, 3)
	fst := bch.node("entry-1")
	fst.turns(6 * time.Second)
	bch.machines["vm-0"].silent = true
	fst.turns(5 * time.Second)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-2", "vm-1"})
	bch.machines["vm-0"].silent = false
	fst.ctr.release(tst.Context())
	snd := bch.node("entry-2")
	snd.turn()
	seen := bch.clk.Now()
	bch.machines["vm-1"].silent = true
	for bch.members()[1] == "vm-1" {
		snd.turn()
		qt.Assert(tst, bch.clk.Since(seen) < 20*time.Second, qt.IsTrue)
	}
	qt.Assert(tst, bch.clk.Since(seen) > cfg.OrderTimeout+cfg.LeaseDuration, qt.IsTrue)
}

// TestNewHolderWaitsForOldOrders guards against an order of a new holder that an order of the earlier one
// overtakes on its way.
func TestNewHolderWaitsForOldOrders(tst *testing.T) {
	bch := newBench(tst, 2)
	fst := bch.node("entry-1")
	fst.turns(2 * time.Second)
	fst.ctr.release(tst.Context())
	bch.machines["vm-0"].report.Group = ""
	bch.machines["vm-0"].report.Fencing = 0
	snd := bch.node("entry-2")
	before := bch.orders["vm-0"]
	snd.turns(2 * time.Second)
	qt.Assert(tst, bch.orders["vm-0"], qt.Equals, before)
	snd.turns(2 * time.Second)
	qt.Assert(tst, bch.orders["vm-0"], qt.Equals, before+1)
}

// TestRestartedMemberGetsItsOrder guards against a member that restarted, reports idle, and is left so.
func TestRestartedMemberGetsItsOrder(tst *testing.T) {
	bch := newBench(tst, 2)
	nod := bch.node("entry-1")
	nod.turns(2 * time.Second)
	bch.machines["vm-1"].report = backend.Report{
		VM:          "vm-1",
		Incarnation: 2,
		State:       backend.StateIdle,
	}
	nod.turns(time.Second)
	qt.Assert(tst, nod.serves(), qt.IsTrue)
	qt.Assert(tst, bch.orders["vm-0"], qt.Equals, 1)
	qt.Assert(tst, bch.orders["vm-1"], qt.Equals, 2)
}

// TestPausedControllerReplacesNothing guards against a controller that comes out of a pause, finds every
// report old, and replaces members that are well.
func TestPausedControllerReplacesNothing(tst *testing.T) {
	bch := newBench(tst, 4)
	nod := bch.node("entry-1")
	nod.turns(8 * time.Second)
	bch.clk.Advance(10 * time.Second)
	// The spare VMs are heard before the members.
	bch.machines["vm-0"].silent = true
	bch.machines["vm-1"].silent = true
	nod.hear()
	nod.step()
	nod.step()
	bch.machines["vm-0"].silent = false
	bch.machines["vm-1"].silent = false
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	nod.turns(10 * time.Second)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-0", "vm-1"})
}

// TestPartitionedController guards against a controller that replaces members which other daemons hear.
func TestPartitionedController(tst *testing.T) {
	bch := newBench(tst, 4)
	nod := bch.node("entry-1")
	nod.turns(8 * time.Second)
	bch.machines["vm-0"].silent = true
	nod.alive, nod.listed = 1, 2
	nod.turns(10 * time.Second)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	qt.Assert(tst, nod.ctr.les.Held(), qt.IsTrue)
	nod.alive, nod.listed = 1, 3
	nod.turn()
	qt.Assert(tst, nod.ctr.les.Held(), qt.IsFalse)
	nod.turns(10 * time.Second)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-0", "vm-1"})
}

// TestUnlistedMemberStays guards against a member that is replaced because the lagging list lacks it,
// although it reports.
func TestUnlistedMemberStays(tst *testing.T) {
	bch := newBench(tst, 3)
	nod := bch.node("entry-1")
	nod.turns(6 * time.Second)
	bch.machines["vm-0"].vm.State = ""
	nod.turns(10 * time.Second)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	bch.machines["vm-0"].silent = true
	nod.turns(6 * time.Second)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-2", "vm-1"})
}

// TestLeavingMemberDrains guards against a leaving member that is replaced under requests in progress.
func TestLeavingMemberDrains(tst *testing.T) {
	bch := newBench(tst, 3)
	nod := bch.node("entry-1")
	nod.turns(6 * time.Second)
	bch.machines["vm-0"].report.Running = 1
	bch.machines["vm-1"].vm.State = objects.VMLeaving
	nod.turns(10 * time.Second)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	qt.Assert(tst, bch.allocation().Groups[0].Draining, qt.IsTrue)
	bch.machines["vm-0"].report.Running = 0
	nod.turns(2 * time.Second)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-0", "vm-2"})
	nod.turns(time.Second)
	qt.Assert(tst, nod.serves(), qt.IsTrue)
}

// TestVersionReloads guards against a changed version that is never loaded, or loaded under requests.
func TestVersionReloads(tst *testing.T) {
	bch := newBench(tst, 2)
	nod := bch.node("entry-1")
	nod.turns(6 * time.Second)
	bch.doc.Models[0].Version = "2"
	// A daemon that does not know yet that the group drains sends one more request.
	nod.turns(3500 * time.Millisecond)
	qt.Assert(tst, bch.machines["vm-1"].report.Version, qt.Equals, "1")
	bch.machines["vm-0"].report.Running = 1
	nod.turns(8 * time.Second)
	qt.Assert(tst, bch.machines["vm-1"].report.Version, qt.Equals, "1")
	bch.machines["vm-0"].report.Running = 0
	nod.turns(3 * time.Second)
	qt.Assert(tst, bch.machines["vm-1"].report.Version, qt.Equals, "2")
	qt.Assert(tst, nod.serves(), qt.IsTrue)
}

// TestStragglerIsReplacedOnce guards against a straggler that is kept beside a spare VM, and against one
// that is the first choice for the next repair since it shows no step time while it is idle.
func TestStragglerIsReplacedOnce(tst *testing.T) {
	bch := newBench(tst, 6)
	bch.doc.Groups[0].Replicas = 2
	nod := bch.node("entry-1")
	for _, mac := range bch.machines {
		mac.report.StepTime = 10 * time.Millisecond
	}
	nod.turns(6 * time.Second)
	// Rank 0 shows the step time of its slowest member.
	bch.machines["vm-0"].report.StepTime = 100 * time.Millisecond
	bch.machines["vm-1"].report.StepTime = 100 * time.Millisecond
	nod.turns(9 * time.Second)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	nod.turns(9 * time.Second)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-0", "vm-4"})
	bch.machines["vm-0"].report.StepTime = 10 * time.Millisecond
	nod.turns(time.Minute)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-0", "vm-4"})
	bch.machines["vm-4"].silent = true
	nod.turns(6 * time.Second)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-0", "vm-5"})
}

// TestLostAnswerIsReadBack guards against a write that took effect and is taken for one that did not, or
// the other way round.
func TestLostAnswerIsReadBack(tst *testing.T) {
	for _, effect := range []bool{false, true} {
		bch := newBench(tst, 2)
		nod := bch.node("entry-1")
		nod.turn()
		nod.pst.Put = func(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
			if effect {
				_, _ = bch.pst.Put(ctx, kind, name, expected, value)
			}
			return 0, objects.ErrUnknownOutcome
		}
		alc, ver := nod.inv.Allocation("fabric")
		alc.Counter++
		err := nod.ctr.bok.Write(tst.Context(), alc)
		qt.Assert(tst, err == nil, qt.Equals, effect, qt.Commentf("%v", err))
		_, after := nod.inv.Allocation("fabric")
		qt.Assert(tst, after > ver, qt.Equals, effect)
	}
}

// TestOrderIsNotRepeatedBlindly guards against a second order, which an engine that ignores fencing
// numbers would load again for, before a report could show the effect of the first.
func TestOrderIsNotRepeatedBlindly(tst *testing.T) {
	bch := newBench(tst, 2)
	nod := bch.node("entry-1")
	nod.turn()
	bch.clk.Advance(interval)
	nod.step()
	qt.Assert(tst, bch.orders, qt.DeepEquals, map[string]int{
		"vm-0": 1,
		"vm-1": 1,
	})
}

// TestPausedOrderIsNotSent guards against an order that leaves after a pause in which the order's deadline
// or the lease ended.
func TestPausedOrderIsNotSent(tst *testing.T) {
	bch := newBench(tst, 2)
	nod := bch.node("entry-1")
	nod.turn()
	mem := group.Member{
		VM:      "vm-0",
		Address: "vm-0",
	}
	odr := backend.Order{
		Fencing:  9,
		Group:    "late",
		NotAfter: bch.clk.Now().Add(time.Second),
	}
	bch.clk.Advance(time.Second)
	qt.Assert(tst, nod.ctr.ord.transmit(tst.Context(), mem, odr), qt.ErrorMatches, ".*ended before the order was sent")
	odr.NotAfter = bch.clk.Now().Add(time.Hour)
	bch.clk.Advance(cfg.LeaseDuration)
	qt.Assert(tst, nod.ctr.ord.transmit(tst.Context(), mem, odr), qt.ErrorMatches, ".*ended before the order was sent")
	qt.Assert(tst, bch.machines["vm-0"].report.Group, qt.Equals, "a/0")
}

// TestIdleIsSeenBeforeAssignment guards against a VM that joins a group while daemons still count it in
// its former one, because it was cleared only when its delay had passed.
func TestIdleIsSeenBeforeAssignment(tst *testing.T) {
	bch := newBench(tst, 3)
	nod := bch.node("entry-1")
	nod.turns(6 * time.Second)
	bch.machines["vm-0"].silent = true
	nod.turns(20 * time.Second)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-2", "vm-1"})
	bch.machines["vm-1"].silent = true
	nod.turns(10 * time.Second)
	// The first report that vm-0 gives is of its former group.
	bch.machines["vm-0"].silent = false
	nod.turns(1500 * time.Millisecond)
	qt.Assert(tst, bch.machines["vm-0"].report.Group, qt.Equals, "")
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-2", "vm-1"})
	nod.turns(1500 * time.Millisecond)
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-2", "vm-0"})
}

// TestEndedEngineIsReplacedSooner guards against a wait for an engine that has surely ended, and against a
// VM that counts as lost after one refused connection.
func TestEndedEngineIsReplacedSooner(tst *testing.T) {
	bch := newBench(tst, 3)
	nod := bch.node("entry-1")
	nod.turns(6 * time.Second)
	bch.machines["vm-0"].silent = true
	nod.turns(1500 * time.Millisecond)
	bch.machines["vm-0"].ended = true
	nod.turn()
	bch.machines["vm-0"].ended = false
	nod.turn()
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	bch.machines["vm-0"].ended = true
	nod.turn()
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	nod.turn()
	qt.Assert(tst, bch.members(), qt.DeepEquals, []string{"vm-2", "vm-1"})
}
