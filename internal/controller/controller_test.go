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
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/objects"
	standin "github.com/cumintally/cumintally/internal/standin/platform"
	"github.com/cumintally/cumintally/internal/vmreport"
	"github.com/cumintally/cumintally/pkg/document"
)

var cfg = Config{
	AvailabilityZone: "zone",
	OrderTimeout:     2 * time.Second,
	LeaseDuration:    4 * time.Second,
	EvidenceMaxAge:   1500 * time.Millisecond,
	DrainTimeout:     time.Minute,
}

// fakeEngine is a VM with an engine that checks fencing tokens.
type fakeEngine struct {
	vm     objects.VM
	report backend.Report
	silent bool
	// engineEnded is set while the VM is up and its engine is not.
	engineEnded bool
}

// testbed is a zone with a fake clock, engines in memory, one store and any number of daemons with controllers.
type testbed struct {
	tst   *testing.T
	clock *clockwork.FakeClock
	store objects.Store
	doc   *document.Document

	mu      sync.Mutex
	engines map[string]*fakeEngine
	// orderCounts holds the number of orders that each VM accepted.
	orderCounts map[string]int
	// onOrder is called with each order that reaches an engine.
	onOrder func(ord backend.Order)
}

// daemon is one daemon of the testbed with its own view of the zone.
type daemon struct {
	env            *testbed
	controller     *Controller
	localInventory *inventory.Inventory
	reportTable    *vmreport.Table
	store          objects.Store
	alive          int
	listed         int
}

func newTestbed(tst *testing.T, vms int) *testbed {
	sto := standin.NewStore()
	tbd := &testbed{
		tst:         tst,
		clock:       clockwork.NewFakeClock(),
		store:       sto.ObjectStore(),
		engines:     map[string]*fakeEngine{},
		orderCounts: map[string]int{},
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
	tbd.store.VMs = func(context.Context) ([]objects.VM, error) {
		var all []objects.VM
		for _, eng := range tbd.engines {
			if eng.vm.State != "" {
				all = append(all, eng.vm)
			}
		}
		return all, nil
	}
	for idx := range vms {
		name := fmt.Sprintf("vm-%d", idx)
		tbd.engines[name] = &fakeEngine{
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
	return tbd
}

func (tbd *testbed) newDaemon(name string) *daemon {
	dmn := &daemon{
		env:    tbd,
		store:  tbd.store,
		alive:  3,
		listed: 3,
	}
	pst := objects.Store{
		Get: func(ctx context.Context, kind, name string) (objects.Object, error) {
			return dmn.store.Get(ctx, kind, name)
		},
		List: func(ctx context.Context, kind string) ([]objects.Object, uint64, error) {
			return dmn.store.List(ctx, kind)
		},
		Put: func(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
			return dmn.store.Put(ctx, kind, name, expected, value)
		},
	}
	dmn.localInventory = inventory.New(zap.NewNop())
	dmn.reportTable = vmreport.New(cfg.EvidenceMaxAge)
	dep := Dependencies{
		ActiveDocument:    func() *document.Document { return tbd.doc },
		SendOrder:         tbd.receiveOrder,
		FetchReport:       tbd.fetchReport,
		RefusesConnection: tbd.refusesConnection,
		CountDaemons:      func() (int, int) { return dmn.alive, dmn.listed },
		DaemonIndex:       func() int { return 0 },
	}
	les := lease.New("zone", name, cfg.LeaseDuration, pst, tbd.clock)
	dmn.controller = New(cfg, dep, les, dmn.localInventory, dmn.reportTable, pst, tbd.clock, zap.NewNop())
	return dmn
}

// receiveOrder is the reaction of an engine to an order.
func (tbd *testbed) receiveOrder(_ context.Context, adr string, ord backend.Order) error {
	tbd.mu.Lock()
	defer tbd.mu.Unlock()
	eng := tbd.engines[adr]
	if eng.silent {
		return backend.ErrBroken
	}
	if tbd.onOrder != nil {
		tbd.onOrder(ord)
	}
	if ord.Fencing < eng.report.Fencing {
		return backend.ErrStaleOrder
	}
	tbd.orderCounts[adr]++
	eng.report.Group = ord.Group
	eng.report.Fencing = ord.Fencing
	eng.report.Rank = ord.Rank
	eng.report.Version = ord.Version
	eng.report.Model = ord.Model
	eng.report.State = backend.StateReady
	if ord.Group == "" {
		eng.report.State = backend.StateIdle
	}
	return nil
}

// fetchReport is the response of an engine to a direct request for its report.
func (tbd *testbed) fetchReport(_ context.Context, adr string) (backend.Report, error) {
	tbd.mu.Lock()
	defer tbd.mu.Unlock()
	eng := tbd.engines[adr]
	if eng.silent {
		return backend.Report{}, backend.ErrBroken
	}
	return eng.report, nil
}

func (tbd *testbed) refusesConnection(_ context.Context, adr string) bool {
	tbd.mu.Lock()
	defer tbd.mu.Unlock()
	return tbd.engines[adr].engineEnded
}

// runCycle advances the clock by one interval, gives the daemon a report of every VM that is not silent, and
// runs one cycle of its control loop.
func (dmn *daemon) runCycle() {
	tbd := dmn.env
	tbd.clock.Advance(reconcileInterval)
	dmn.receiveReports()
	now := tbd.clock.Now()
	dmn.controller.observer.tick(now.Add(-reconcileInterval / 2))
	dmn.controller.observer.tick(now)
	dmn.reconcile()
}

func (dmn *daemon) receiveReports() {
	tbd := dmn.env
	ctx := tbd.tst.Context()
	tbd.mu.Lock()
	for _, eng := range tbd.engines {
		if !eng.silent {
			// The load figures in reports that daemons forward may be old.
			rep := eng.report
			rep.Running = 0
			dmn.reportTable.Record(vmreport.Entry{
				Report: rep,
				AsOf:   tbd.clock.Now(),
			})
		}
	}
	tbd.mu.Unlock()
	objs, _, err := tbd.store.List(ctx, objects.KindAllocation)
	qt.Assert(tbd.tst, err, qt.IsNil)
	for _, obj := range objs {
		dmn.localInventory.ApplyAllocation(ctx, obj)
	}
	dmn.applyVMs(ctx)
}

// applyVMs makes the daemon's list of VMs equal to the platform's.
func (dmn *daemon) applyVMs(ctx context.Context) {
	vms, _ := dmn.env.store.VMs(ctx)
	listed := map[string]bool{}
	for _, vmc := range vms {
		listed[vmc.Name] = true
		val, err := json.Marshal(vmc)
		qt.Assert(dmn.env.tst, err, qt.IsNil)
		dmn.localInventory.ApplyVM(ctx, objects.Object{
			Name:  vmc.Name,
			Value: val,
		})
	}
	for _, vmc := range dmn.localInventory.VMs() {
		if !listed[vmc.Name] {
			dmn.localInventory.ApplyVM(ctx, objects.Object{
				Name:    vmc.Name,
				Deleted: true,
			})
		}
	}
}

func (dmn *daemon) reconcile() {
	dmn.controller.reconcile(dmn.env.tst.Context())
	dmn.controller.orders.wait()
}

func (dmn *daemon) runFor(dur time.Duration) {
	for range int(dur / reconcileInterval) {
		dmn.runCycle()
	}
}

func (dmn *daemon) hasServingGroup() bool {
	for _, alc := range dmn.localInventory.Allocations("zone") {
		for _, grp := range alc.Groups {
			if _, ok := dmn.reportTable.GroupConfirmed(grp, dmn.env.clock.Now()); ok && !grp.Draining {
				return true
			}
		}
	}
	return false
}

// storedMembers returns the members of the only group as stored on the platform.
func (tbd *testbed) storedMembers() []string {
	alc := tbd.storedAllocation()
	if len(alc.Groups) == 0 {
		return nil
	}
	var names []string
	for _, mem := range alc.Groups[0].Members {
		names = append(names, mem.VM)
	}
	return names
}

func (tbd *testbed) storedAllocation() group.Allocation {
	var alc group.Allocation
	if obj, err := tbd.store.Get(tbd.tst.Context(), objects.KindAllocation, "fabric"); err == nil {
		qt.Assert(tbd.tst, json.Unmarshal(obj.Value, &alc), qt.IsNil)
	}
	return alc
}

// TestOrdersFollowConfirmedWrites guards against an order for a group that the store does not hold. It can occur
// when the response to the first write of a domain is lost, whether or not the write took effect.
func TestOrdersFollowConfirmedWrites(tst *testing.T) {
	for _, effect := range []bool{false, true} {
		tbd := newTestbed(tst, 2)
		tbd.onOrder = func(ord backend.Order) {
			alc := tbd.storedAllocation()
			known := slices.ContainsFunc(alc.Groups, func(grp group.Group) bool { return grp.Name == ord.Group && grp.Fencing == ord.Fencing })
			qt.Check(tst, known, qt.IsTrue, qt.Commentf("order %+v, allocation %+v", ord, alc))
			qt.Check(tst, tbd.clock.Now().Before(ord.NotAfter), qt.IsTrue)
		}
		dmn := tbd.newDaemon("entry-1")
		lost := 0
		dmn.store.Put = func(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
			if kind != objects.KindAllocation || lost == 2 {
				return tbd.store.Put(ctx, kind, name, expected, value)
			}
			lost++
			if effect {
				_, _ = tbd.store.Put(ctx, kind, name, expected, value)
			}
			return 0, objects.ErrUnknownOutcome
		}
		dmn.runFor(3 * time.Second)
		qt.Assert(tst, dmn.hasServingGroup(), qt.IsTrue)
		want := uint64(1)
		qt.Assert(tst, tbd.storedAllocation().Counter, qt.Equals, want, qt.Commentf("the write was repeated although it had taken effect"))
	}
}

// TestPlanUsesItsOwnVersion guards against a plan that overwrites an allocation which has changed since the plan's
// copy was taken.
func TestPlanUsesItsOwnVersion(tst *testing.T) {
	tbd := newTestbed(tst, 4)
	dmn := tbd.newDaemon("entry-1")
	dmn.runFor(time.Second)
	alc := dmn.localInventory.Allocations("zone")[0]
	// Another controller's write arrives between the plan and its write.
	newer := alc
	newer.Counter += 7
	val, err := json.Marshal(newer)
	qt.Assert(tst, err, qt.IsNil)
	ver, err := tbd.store.Put(tst.Context(), objects.KindAllocation, "fabric", alc.Version, val)
	qt.Assert(tst, err, qt.IsNil)
	dmn.localInventory.ApplyAllocation(tst.Context(), objects.Object{
		Kind:    objects.KindAllocation,
		Name:    "fabric",
		Version: ver,
		Value:   val,
	})
	qt.Assert(tst, dmn.controller.allocations.Write(tst.Context(), alc), qt.ErrorIs, objects.ErrConflict)
	qt.Assert(tst, tbd.storedAllocation().Counter, qt.Equals, newer.Counter)
}

// TestLostMemberIsReplaced guards against a group that stays incomplete although a spare VM exists, and
// against a VM that is assigned again while a late order may still reach it.
func TestLostMemberIsReplaced(tst *testing.T) {
	tbd := newTestbed(tst, 3)
	dmn := tbd.newDaemon("entry-1")
	dmn.runFor(6 * time.Second)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	tbd.engines["vm-0"].silent = true
	dmn.runFor(3 * time.Second)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	dmn.runFor(3 * time.Second)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-2", "vm-1"})
	qt.Assert(tst, dmn.hasServingGroup(), qt.IsTrue)
	// vm-0 returns with its old order and is ordered out of the group; then vm-1 is lost.
	tbd.engines["vm-0"].silent = false
	dmn.runCycle()
	dmn.runCycle()
	qt.Assert(tst, tbd.engines["vm-0"].report.Group, qt.Equals, "")
	tbd.engines["vm-1"].silent = true
	dmn.runFor(3500 * time.Millisecond)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-2", "vm-1"}, qt.Commentf("a late order may still reach vm-0"))
	dmn.runFor(5 * time.Second)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-2", "vm-0"})
}

// TestDelayCountsOnNewHolder guards against a new lease holder that assigns a released VM at once because it relies
// on the clock or the state of the previous holder.
func TestDelayCountsOnNewHolder(tst *testing.T) {
	tbd := newTestbed(tst, 3)
	fst := tbd.newDaemon("entry-1")
	fst.runFor(6 * time.Second)
	tbd.engines["vm-0"].silent = true
	fst.runFor(5 * time.Second)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-2", "vm-1"})
	tbd.engines["vm-0"].silent = false
	fst.controller.releaseLease(tst.Context())
	snd := tbd.newDaemon("entry-2")
	snd.runCycle()
	seen := tbd.clock.Now()
	tbd.engines["vm-1"].silent = true
	for tbd.storedMembers()[1] == "vm-1" {
		snd.runCycle()
		qt.Assert(tst, tbd.clock.Since(seen) < 20*time.Second, qt.IsTrue)
	}
	qt.Assert(tst, tbd.clock.Since(seen) > cfg.OrderTimeout+cfg.LeaseDuration, qt.IsTrue)
}

// TestNewHolderWaitsForOldOrders guards against an order of a new lease holder that an order of the previous one
// overtakes in flight.
func TestNewHolderWaitsForOldOrders(tst *testing.T) {
	tbd := newTestbed(tst, 2)
	fst := tbd.newDaemon("entry-1")
	fst.runFor(2 * time.Second)
	fst.controller.releaseLease(tst.Context())
	tbd.engines["vm-0"].report.Group = ""
	tbd.engines["vm-0"].report.Fencing = 0
	snd := tbd.newDaemon("entry-2")
	before := tbd.orderCounts["vm-0"]
	snd.runFor(2 * time.Second)
	qt.Assert(tst, tbd.orderCounts["vm-0"], qt.Equals, before)
	snd.runFor(2 * time.Second)
	qt.Assert(tst, tbd.orderCounts["vm-0"], qt.Equals, before+1)
}

// TestRestartedMemberGetsItsOrder guards against a member that restarts, reports idle, and gets no new order.
func TestRestartedMemberGetsItsOrder(tst *testing.T) {
	tbd := newTestbed(tst, 2)
	dmn := tbd.newDaemon("entry-1")
	dmn.runFor(2 * time.Second)
	tbd.engines["vm-1"].report = backend.Report{
		VM:          "vm-1",
		Incarnation: 2,
		State:       backend.StateIdle,
	}
	dmn.runFor(time.Second)
	qt.Assert(tst, dmn.hasServingGroup(), qt.IsTrue)
	qt.Assert(tst, tbd.orderCounts["vm-0"], qt.Equals, 1)
	qt.Assert(tst, tbd.orderCounts["vm-1"], qt.Equals, 2)
}

// TestPausedControllerReplacesNothing guards against a controller that resumes from a pause, finds every
// report old, and replaces healthy members.
func TestPausedControllerReplacesNothing(tst *testing.T) {
	tbd := newTestbed(tst, 4)
	dmn := tbd.newDaemon("entry-1")
	dmn.runFor(8 * time.Second)
	tbd.clock.Advance(10 * time.Second)
	// The reports of the spare VMs arrive before those of the members.
	tbd.engines["vm-0"].silent = true
	tbd.engines["vm-1"].silent = true
	dmn.receiveReports()
	dmn.reconcile()
	dmn.reconcile()
	tbd.engines["vm-0"].silent = false
	tbd.engines["vm-1"].silent = false
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	dmn.runFor(10 * time.Second)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-0", "vm-1"})
}

// TestPartitionedController guards against a controller that replaces members which other daemons can still reach.
func TestPartitionedController(tst *testing.T) {
	tbd := newTestbed(tst, 4)
	dmn := tbd.newDaemon("entry-1")
	dmn.runFor(8 * time.Second)
	tbd.engines["vm-0"].silent = true
	dmn.alive, dmn.listed = 1, 2
	dmn.runFor(10 * time.Second)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	qt.Assert(tst, dmn.controller.zoneLease.Held(), qt.IsTrue)
	dmn.alive, dmn.listed = 1, 3
	dmn.runCycle()
	qt.Assert(tst, dmn.controller.zoneLease.Held(), qt.IsFalse)
	dmn.runFor(10 * time.Second)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-0", "vm-1"})
}

// TestUnlistedMemberStays guards against the replacement of a member that reports but is missing from the
// platform's list, which lags.
func TestUnlistedMemberStays(tst *testing.T) {
	tbd := newTestbed(tst, 3)
	dmn := tbd.newDaemon("entry-1")
	dmn.runFor(6 * time.Second)
	tbd.engines["vm-0"].vm.State = ""
	dmn.runFor(10 * time.Second)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	tbd.engines["vm-0"].silent = true
	dmn.runFor(6 * time.Second)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-2", "vm-1"})
}

// TestLeavingMemberDrains guards against the replacement of a leaving member while requests are in progress.
func TestLeavingMemberDrains(tst *testing.T) {
	tbd := newTestbed(tst, 3)
	dmn := tbd.newDaemon("entry-1")
	dmn.runFor(6 * time.Second)
	tbd.engines["vm-0"].report.Running = 1
	tbd.engines["vm-1"].vm.State = objects.VMLeaving
	dmn.runFor(10 * time.Second)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	qt.Assert(tst, tbd.storedAllocation().Groups[0].Draining, qt.IsTrue)
	tbd.engines["vm-0"].report.Running = 0
	dmn.runFor(2 * time.Second)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-0", "vm-2"})
	dmn.runFor(time.Second)
	qt.Assert(tst, dmn.hasServingGroup(), qt.IsTrue)
}

// TestVersionReloads guards against a changed version that is never loaded, or loaded while requests are in
// progress.
func TestVersionReloads(tst *testing.T) {
	tbd := newTestbed(tst, 2)
	dmn := tbd.newDaemon("entry-1")
	dmn.runFor(6 * time.Second)
	tbd.doc.Models[0].Version = "2"
	// A daemon that does not know yet that the group is draining sends one more request.
	dmn.runFor(3500 * time.Millisecond)
	qt.Assert(tst, tbd.engines["vm-1"].report.Version, qt.Equals, "1")
	tbd.engines["vm-0"].report.Running = 1
	dmn.runFor(8 * time.Second)
	qt.Assert(tst, tbd.engines["vm-1"].report.Version, qt.Equals, "1")
	tbd.engines["vm-0"].report.Running = 0
	dmn.runFor(3 * time.Second)
	qt.Assert(tst, tbd.engines["vm-1"].report.Version, qt.Equals, "2")
	qt.Assert(tst, dmn.hasServingGroup(), qt.IsTrue)
}

// TestStragglerIsReplacedOnce guards against a straggler that stays although a spare VM exists, and against
// one that is the first choice for the next replacement because it reports no step time while it is idle.
func TestStragglerIsReplacedOnce(tst *testing.T) {
	tbd := newTestbed(tst, 6)
	tbd.doc.Groups[0].Replicas = 2
	dmn := tbd.newDaemon("entry-1")
	for _, eng := range tbd.engines {
		eng.report.StepTime = 10 * time.Millisecond
	}
	dmn.runFor(6 * time.Second)
	// Rank 0 reports the step time of the slowest member of its group.
	tbd.engines["vm-0"].report.StepTime = 100 * time.Millisecond
	tbd.engines["vm-1"].report.StepTime = 100 * time.Millisecond
	dmn.runFor(9 * time.Second)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	dmn.runFor(9 * time.Second)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-0", "vm-4"})
	tbd.engines["vm-0"].report.StepTime = 10 * time.Millisecond
	dmn.runFor(time.Minute)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-0", "vm-4"})
	tbd.engines["vm-4"].silent = true
	dmn.runFor(6 * time.Second)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-0", "vm-5"})
}

// TestLostWriteResponseIsReadBack guards against a write that took effect and is treated as one that did not,
// or the reverse, after its response is lost.
func TestLostWriteResponseIsReadBack(tst *testing.T) {
	for _, effect := range []bool{false, true} {
		tbd := newTestbed(tst, 2)
		dmn := tbd.newDaemon("entry-1")
		dmn.runCycle()
		dmn.store.Put = func(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
			if effect {
				_, _ = tbd.store.Put(ctx, kind, name, expected, value)
			}
			return 0, objects.ErrUnknownOutcome
		}
		alc, ver := dmn.localInventory.Allocation("fabric")
		alc.Counter++
		err := dmn.controller.allocations.Write(tst.Context(), alc)
		qt.Assert(tst, err == nil, qt.Equals, effect, qt.Commentf("%v", err))
		_, after := dmn.localInventory.Allocation("fabric")
		qt.Assert(tst, after > ver, qt.Equals, effect)
	}
}

// TestOrderIsNotRepeatedBeforeReport guards against a second order before a report can show the effect of the
// first. An engine that ignores fencing tokens would load again for it.
func TestOrderIsNotRepeatedBeforeReport(tst *testing.T) {
	tbd := newTestbed(tst, 2)
	dmn := tbd.newDaemon("entry-1")
	dmn.runCycle()
	tbd.clock.Advance(reconcileInterval)
	dmn.reconcile()
	qt.Assert(tst, tbd.orderCounts, qt.DeepEquals, map[string]int{
		"vm-0": 1,
		"vm-1": 1,
	})
}

// TestPausedOrderIsNotSent guards against an order that is sent after a pause in which the order's deadline
// passed or the lease expired.
func TestPausedOrderIsNotSent(tst *testing.T) {
	tbd := newTestbed(tst, 2)
	dmn := tbd.newDaemon("entry-1")
	dmn.runCycle()
	mem := group.Member{
		VM:      "vm-0",
		Address: "vm-0",
	}
	ord := backend.Order{
		Fencing:  9,
		Group:    "late",
		NotAfter: tbd.clock.Now().Add(time.Second),
	}
	tbd.clock.Advance(time.Second)
	qt.Assert(tst, dmn.controller.orders.sendIfValid(tst.Context(), mem, ord), qt.ErrorMatches, ".*expired before the order was sent")
	ord.NotAfter = tbd.clock.Now().Add(time.Hour)
	tbd.clock.Advance(cfg.LeaseDuration)
	qt.Assert(tst, dmn.controller.orders.sendIfValid(tst.Context(), mem, ord), qt.ErrorMatches, ".*expired before the order was sent")
	qt.Assert(tst, tbd.engines["vm-0"].report.Group, qt.Equals, "a/0")
}

// TestIdleIsSeenBeforeAssignment guards against a VM that joins a group while daemons still count it as a member of
// its former one, because its removal order was sent only after its reassignment delay had passed.
func TestIdleIsSeenBeforeAssignment(tst *testing.T) {
	tbd := newTestbed(tst, 3)
	dmn := tbd.newDaemon("entry-1")
	dmn.runFor(6 * time.Second)
	tbd.engines["vm-0"].silent = true
	dmn.runFor(20 * time.Second)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-2", "vm-1"})
	tbd.engines["vm-1"].silent = true
	dmn.runFor(10 * time.Second)
	// The first report of vm-0 still shows its former group.
	tbd.engines["vm-0"].silent = false
	dmn.runFor(1500 * time.Millisecond)
	qt.Assert(tst, tbd.engines["vm-0"].report.Group, qt.Equals, "")
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-2", "vm-1"})
	dmn.runFor(1500 * time.Millisecond)
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-2", "vm-0"})
}

// TestEndedEngineIsReplacedSooner guards against a wait for an engine that has certainly ended, and against a
// VM that counts as lost after a single refused connection.
func TestEndedEngineIsReplacedSooner(tst *testing.T) {
	tbd := newTestbed(tst, 3)
	dmn := tbd.newDaemon("entry-1")
	dmn.runFor(6 * time.Second)
	tbd.engines["vm-0"].silent = true
	dmn.runFor(1500 * time.Millisecond)
	tbd.engines["vm-0"].engineEnded = true
	dmn.runCycle()
	tbd.engines["vm-0"].engineEnded = false
	dmn.runCycle()
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	tbd.engines["vm-0"].engineEnded = true
	dmn.runCycle()
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-0", "vm-1"})
	dmn.runCycle()
	qt.Assert(tst, tbd.storedMembers(), qt.DeepEquals, []string{"vm-2", "vm-1"})
}
