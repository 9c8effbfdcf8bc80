package groups_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/standin/engine"
	"github.com/cumintally/cumintally/internal/standin/fleet"
	standin "github.com/cumintally/cumintally/internal/standin/platform"
)

var (
	seed  = flag.Uint64("seed", 1, "seed of the fault script")
	steps = flag.Int("steps", 6, "number of faults of the fault script")
)

func TestMain(run *testing.M) {
	flag.Parse()
	os.Exit(fleet.RunTests(run.Run))
}

// TestMemberKilledWithSpare guards against a group that stays broken although a spare VM exists, for engines
// that check fencing tokens and for engines that ignore them. It also guards against dispatch to a group on
// stale reports: rank 0 itself reports the loss of another member, but nobody reports the loss of rank 0.
func TestMemberKilledWithSpare(tst *testing.T) {
	tst.Parallel()
	for rank, args := range [][]string{nil, {"--ignore-fencing"}} {
		tst.Run(fmt.Sprint(args), func(tst *testing.T) {
			tst.Parallel()
			ctx, flt := start(tst, 3, 1, args...)
			smp := newSampler(ctx, tst, flt, 1)
			// A daemon that has just started replaces no VM until it has run long enough to receive the reports of all VMs.
			time.Sleep(4 * time.Second)
			lost := members(ctx, tst, flt.Entries[0], "a/0")[rank]
			smp.kill(lost)
			waitUntil(ctx, tst, "the lost member is replaced", func() bool { return !slices.Contains(members(ctx, tst, flt.Entries[0], "a/0"), lost) })
			qt.Assert(tst, fleet.WaitForServingGroups(ctx, flt.Entries[0], 1), qt.IsNil)
			down := smp.finish("member-killed-with-spare")
			qt.Assert(tst, down < 8*time.Second, qt.IsTrue)
		})
	}
}

// TestMemberSilentWithSpare guards against a VM that stops responding, as after a loss of the VM or of its
// network, and is not replaced, or that still follows its old order when it returns.
func TestMemberSilentWithSpare(tst *testing.T) {
	tst.Parallel()
	ctx, flt := start(tst, 3, 1, "--ignore-fencing")
	smp := newSampler(ctx, tst, flt, 1)
	time.Sleep(4 * time.Second)
	lost := members(ctx, tst, flt.Entries[0], "a/0")[0]
	eng := smp.engine(lost)
	smp.mu.Lock()
	smp.lost[lost] = time.Now()
	smp.mu.Unlock()
	qt.Assert(tst, eng.Signal(syscall.SIGSTOP), qt.IsNil)
	waitUntil(ctx, tst, "the lost member is replaced", func() bool { return !slices.Contains(members(ctx, tst, flt.Entries[0], "a/0"), lost) })
	qt.Assert(tst, fleet.WaitForServingGroups(ctx, flt.Entries[0], 1), qt.IsNil)
	qt.Assert(tst, eng.Signal(syscall.SIGCONT), qt.IsNil)
	took := waitUntil(ctx, tst, "the order of the replaced member is cleared", func() bool {
		res, err := http.Get("http://" + eng.Address + "/report")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		var rep backend.Report
		return json.NewDecoder(res.Body).Decode(&rep) == nil && rep.State == backend.StateIdle
	})
	fmt.Printf("figure test=member-silent-with-spare cleared-after-return=%.1fs\n", took.Seconds())
	smp.finish("member-silent-with-spare")
}

// TestMemberKilledWithoutSpare guards against a group without a spare VM that is abandoned instead of serving
// again when its lost member returns.
func TestMemberKilledWithoutSpare(tst *testing.T) {
	tst.Parallel()
	ctx, flt := start(tst, 2, 1)
	smp := newSampler(ctx, tst, flt, 1)
	before := members(ctx, tst, flt.Entries[0], "a/0")
	smp.kill(before[0])
	waitUntil(ctx, tst, "the status lists the group as unmet", func() bool {
		sta, err := fleet.Status(ctx, flt.Entries[0])
		return err == nil && len(sta.Unmet) == 1
	})
	smp.restart(before[0])
	took := waitUntil(ctx, tst, "group a/0 serves again", func() bool {
		sta, err := fleet.Status(ctx, flt.Entries[0])
		return err == nil && len(sta.Groups) == 1 && sta.Groups[0].Serving
	})
	qt.Assert(tst, members(ctx, tst, flt.Entries[0], "a/0"), qt.DeepEquals, before)
	fmt.Printf("figure test=member-killed-without-spare serving-after-return=%.1fs\n", took.Seconds())
	smp.finish("member-killed-without-spare")
	qt.Assert(tst, took < 5*time.Second, qt.IsTrue)
}

// TestStragglerReplaced guards against a slow VM that is kept although a spare VM exists, and against the
// replacement of the member that only waits for the slow one.
func TestStragglerReplaced(tst *testing.T) {
	tst.Parallel()
	ctx, flt := start(tst, 5, 2)
	smp := newSampler(ctx, tst, flt, 2)
	before := members(ctx, tst, flt.Entries[0], "a/0")
	qt.Assert(tst, flt.SetFaults(ctx, smp.engine(before[1]).Process, engine.Faults{Stretch: 10}), qt.IsNil)
	took := waitUntil(ctx, tst, "the slow member is replaced", func() bool { return !slices.Contains(members(ctx, tst, flt.Entries[0], "a/0"), before[1]) })
	qt.Assert(tst, fleet.WaitForServingGroups(ctx, flt.Entries[0], 2), qt.IsNil)
	qt.Assert(tst, members(ctx, tst, flt.Entries[0], "a/0")[0], qt.Equals, before[0])
	fmt.Printf("figure test=straggler-replaced replaced-after=%.1fs\n", took.Seconds())
	smp.finish("straggler-replaced")
	qt.Assert(tst, smp.downtime["a/1"], qt.Equals, time.Duration(0))
}

// TestControllerPaused guards against a controller that was paused until its lease expired, while the next
// lease holder replaced a member, and that then writes an allocation or sends orders from its stale state.
func TestControllerPaused(tst *testing.T) {
	tst.Parallel()
	ctx, flt := start(tst, 3, 1, "--ignore-fencing")
	smp := newSampler(ctx, tst, flt, 1)
	old := leaseHolder(ctx, tst, flt)
	other := otherEntry(flt, old)
	smp.setPaused(old.Name, true)
	qt.Assert(tst, old.Signal(syscall.SIGSTOP), qt.IsNil)
	lost := members(ctx, tst, other, "a/0")[0]
	smp.kill(lost)
	took := waitUntil(ctx, tst, "the lost member is replaced by the next lease holder", func() bool { return !slices.Contains(members(ctx, tst, other, "a/0"), lost) })
	qt.Assert(tst, leaseHolder(ctx, tst, flt).Name, qt.Not(qt.Equals), old.Name)
	qt.Assert(tst, fleet.WaitForServingGroups(ctx, other, 1), qt.IsNil)
	after := members(ctx, tst, other, "a/0")
	var before group.Allocation
	readObject(ctx, tst, flt, objects.KindAllocation, zoneName+"-fabric-1", &before)
	qt.Assert(tst, old.Signal(syscall.SIGCONT), qt.IsNil)
	smp.setPaused(old.Name, false)
	time.Sleep(5 * time.Second)
	var now group.Allocation
	readObject(ctx, tst, flt, objects.KindAllocation, zoneName+"-fabric-1", &now)
	qt.Assert(tst, now.Counter, qt.Equals, before.Counter)
	for _, ent := range flt.Entries {
		qt.Assert(tst, fleet.WaitForServingGroups(ctx, ent, 1), qt.IsNil)
		qt.Assert(tst, members(ctx, tst, ent, "a/0"), qt.DeepEquals, after)
	}
	fmt.Printf("figure test=controller-paused replaced-after=%.1fs\n", took.Seconds())
	smp.finish("controller-paused")
}

// TestOutageDuringLoss guards against a platform outage that stops groups without a lost member, and against a
// lost member that is not replaced once the platform is available again.
func TestOutageDuringLoss(tst *testing.T) {
	tst.Parallel()
	ctx, flt := start(tst, 5, 2)
	smp := newSampler(ctx, tst, flt, 2)
	time.Sleep(4 * time.Second)
	qt.Assert(tst, flt.SetFaults(ctx, flt.Platform, standin.Faults{Out: true}), qt.IsNil)
	lost := members(ctx, tst, flt.Entries[0], "a/0")[0]
	whole := members(ctx, tst, flt.Entries[0], "a/1")
	smp.kill(lost)
	time.Sleep(6 * time.Second)
	qt.Assert(tst, members(ctx, tst, flt.Entries[0], "a/1"), qt.DeepEquals, whole)
	qt.Assert(tst, flt.SetFaults(ctx, flt.Platform, standin.Faults{}), qt.IsNil)
	took := waitUntil(ctx, tst, "the lost member is replaced after the outage", func() bool { return !slices.Contains(members(ctx, tst, flt.Entries[0], "a/0"), lost) })
	qt.Assert(tst, fleet.WaitForServingGroups(ctx, flt.Entries[0], 2), qt.IsNil)
	fmt.Printf("figure test=outage-during-loss replaced-after-outage=%.1fs\n", took.Seconds())
	smp.finish("outage-during-loss")
	qt.Assert(tst, smp.downtime["a/1"], qt.Equals, time.Duration(0))
}

// TestZoneOrderDuringOutage guards against an order to take a zone out of service that is not in effect at every
// daemon in time while the platform is unavailable, or that is not written to the platform afterwards.
func TestZoneOrderDuringOutage(tst *testing.T) {
	tst.Parallel()
	ctx, flt := start(tst, 2, 1)
	for idx, out := range []bool{true, false} {
		qt.Assert(tst, flt.SetFaults(ctx, flt.Platform, standin.Faults{Out: idx == 0}), qt.IsNil)
		began := time.Now()
		body := fmt.Appendf(nil, `{"Out":%v}`, out)
		var zon inventory.Zone
		qt.Assert(tst, fleet.CallOperatorAPI(ctx, flt.Entries[idx], http.MethodPost, "/zones/"+zoneName, body, &zon), qt.IsNil)
		for _, ent := range flt.Entries {
			waitUntil(ctx, tst, "the zone order is in effect", func() bool {
				sta, err := fleet.Status(ctx, ent)
				return err == nil && sta.ZoneOut == out
			})
		}
		took := time.Since(began)
		fmt.Printf("figure test=zone-order platform-out=%v out=%v in-effect-after=%.2fs\n", idx == 0, out, took.Seconds())
		qt.Assert(tst, took < 3*time.Second, qt.IsTrue)
		qt.Assert(tst, flt.SetFaults(ctx, flt.Platform, standin.Faults{}), qt.IsNil)
		written := waitUntil(ctx, tst, "the zone order is written to the platform", func() bool {
			var held inventory.Zone
			req, err := http.Get("http://" + flt.Platform.Address + "/objects/Zone/" + zoneName)
			if err != nil || req.StatusCode != http.StatusOK {
				return false
			}
			req.Body.Close()
			readObject(ctx, tst, flt, objects.KindZone, zoneName, &held)
			return held == zon
		})
		fmt.Printf("figure test=zone-order written-after=%.1fs\n", written.Seconds())
	}
}

// TestFaultScript guards against violations in combinations of faults that no other test covers. The seed
// determines the faults.
func TestFaultScript(tst *testing.T) {
	tst.Parallel()
	ctx, flt := start(tst, 6, 2, "--ignore-fencing")
	smp := newSampler(ctx, tst, flt, 2)
	rnd := rand.New(rand.NewPCG(*seed, 0))
	for step := range *steps {
		eng := flt.Engines[rnd.IntN(len(flt.Engines))]
		ent := flt.Entries[rnd.IntN(len(flt.Entries))]
		hold := time.Duration(500+rnd.IntN(4500)) * time.Millisecond
		fault := []string{"kill", "kill", "pause-engine", "pause-daemon", "outage"}[rnd.IntN(5)]
		fmt.Printf("script seed=%d step=%d fault=%s vm=%s daemon=%s hold=%v\n", *seed, step, fault, eng.Name, ent.Name, hold)
		switch fault {
		case "kill":
			smp.kill(eng.Name)
			time.Sleep(hold)
			smp.restart(eng.Name)
		case "pause-engine":
			qt.Assert(tst, eng.Signal(syscall.SIGSTOP), qt.IsNil)
			time.Sleep(hold)
			qt.Assert(tst, eng.Signal(syscall.SIGCONT), qt.IsNil)
		case "pause-daemon":
			smp.setPaused(ent.Name, true)
			qt.Assert(tst, ent.Signal(syscall.SIGSTOP), qt.IsNil)
			time.Sleep(hold)
			qt.Assert(tst, ent.Signal(syscall.SIGCONT), qt.IsNil)
			smp.setPaused(ent.Name, false)
		case "outage":
			qt.Assert(tst, flt.SetFaults(ctx, flt.Platform, standin.Faults{Out: true}), qt.IsNil)
			time.Sleep(hold)
			qt.Assert(tst, flt.SetFaults(ctx, flt.Platform, standin.Faults{}), qt.IsNil)
		}
	}
	for _, ent := range flt.Entries {
		qt.Assert(tst, fleet.WaitForServingGroups(ctx, ent, 2), qt.IsNil)
	}
	smp.finish("fault-script")
}
