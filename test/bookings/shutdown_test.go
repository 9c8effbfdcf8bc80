package bookings_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/standin/fleet"
	"github.com/cumintally/cumintally/internal/standin/service"
)

// maxLeavingDelay is the time after which a backend server that began to leave must receive no new calls.
const maxLeavingDelay = 3 * time.Second

// TestLeavingServers guards against calls to backend servers that are leaving. One server reports it itself
// while the platform still lists it as live; the other is only listed as leaving. A daemon that was paused
// when the servers began to leave must not send to them either.
func TestLeavingServers(t *testing.T) {
	c := qt.New(t)
	ctx, flt := start(t, 4, time.Minute)
	for _, ent := range flt.Entries {
		waitReady(ctx, t, ent)
	}
	var rejected atomic.Int64
	run, stop := context.WithCancel(ctx)
	defer stop()
	var wgr sync.WaitGroup
	for wrk := range 8 {
		wgr.Go(func() {
			for num := 0; run.Err() == nil; num++ {
				bkg := &booking{reference: fmt.Sprintf("%d-%d", wrk, num)}
				ent := flt.Entries[num%len(flt.Entries)]
				att := bkg.request(ctx, ent)
				// The paused daemon rejects calls until it has read the list of VMs again.
				if att.responded && att.status != http.StatusCreated && ent != flt.Entries[0] {
					rejected.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	selfReported, listed := flt.Services[0], flt.Services[2]
	for _, prc := range []*fleet.Process{selfReported, listed} {
		c.Assert(runsAt(ctx, c, prc) > 0, qt.IsTrue, qt.Commentf("%s received no calls before it began to leave", prc.Name))
	}
	c.Assert(flt.Entries[0].Signal(syscall.SIGSTOP), qt.IsNil)
	c.Assert(flt.SetFaults(ctx, selfReported, service.Faults{Leaving: true}), qt.IsNil)
	c.Assert(flt.RegisterVM(ctx, objects.VM{
		Name:             listed.Name,
		AvailabilityZone: "zone-2",
		Role:             objects.RoleService,
		Service:          "jobs",
		Address:          listed.Address,
		State:            objects.VMLeaving,
	}), qt.IsNil)
	time.Sleep(maxLeavingDelay)
	before := []int{runsAt(ctx, c, selfReported), runsAt(ctx, c, listed)}
	c.Assert(flt.Entries[0].Signal(syscall.SIGCONT), qt.IsNil)
	time.Sleep(3 * time.Second)
	stop()
	wgr.Wait()
	c.Assert([]int{runsAt(ctx, c, selfReported), runsAt(ctx, c, listed)}, qt.DeepEquals, before)
	c.Assert(runsAt(ctx, c, flt.Services[1]) > before[0], qt.IsTrue)
	c.Assert(rejected.Load(), qt.Equals, int64(0))
	back := (&booking{reference: "back"}).request(ctx, flt.Entries[0])
	c.Assert(back.status, qt.Equals, http.StatusCreated, qt.Commentf("the paused daemon does not accept calls again"))
}

// runsAt returns the number of bookings that ran at one service VM.
func runsAt(ctx context.Context, c *qt.C, prc *fleet.Process) int {
	runs := map[string]int{}
	c.Assert(addCounts(ctx, "http://"+prc.Address+"/runs", runs), qt.IsNil)
	sum := 0
	for num := range maps.Values(runs) {
		sum += num
	}
	return sum
}

// TestStopDuringCall guards against a planned stop that interrupts a call or loses its result, also when
// the platform is unavailable at the end of the call.
func TestStopDuringCall(t *testing.T) {
	c := qt.New(t)
	ctx, flt := start(t, 4, time.Minute)
	for _, ent := range flt.Entries {
		waitReady(ctx, t, ent)
	}
	for _, svc := range flt.Services {
		// A service may not listen yet when all entry VMs are ready.
		err := flt.SetFaults(ctx, svc, service.Faults{Delay: 500 * time.Millisecond})
		for end := time.Now().Add(10 * time.Second); err != nil && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			err = flt.SetFaults(ctx, svc, service.Faults{Delay: 500 * time.Millisecond})
		}
		c.Assert(err, qt.IsNil)
	}
	bkg := &booking{
		reference: "blank-1",
		key:       "key-1",
	}
	response := make(chan attempt, 1)
	go func() { response <- bkg.request(ctx, flt.Entries[0]) }()
	time.Sleep(200 * time.Millisecond)
	c.Assert(flt.Entries[0].Signal(syscall.SIGTERM), qt.IsNil)
	out := map[string]bool{"Out": true}
	c.Assert(flt.SetFaults(ctx, flt.Platform, out), qt.IsNil)
	att := <-response
	c.Assert(att.status, qt.Equals, http.StatusCreated)
	again := bkg.request(ctx, flt.Entries[1])
	c.Assert(again.outcome, qt.Not(qt.Equals), "")
	c.Assert(flt.SetFaults(ctx, flt.Platform, map[string]bool{}), qt.IsNil)
	c.Assert(flt.Entries[0].Terminate(10*time.Second), qt.Equals, 0)
	again = bkg.request(ctx, flt.Entries[1])
	c.Assert(again.status, qt.Equals, http.StatusCreated)
	c.Assert(again.receipt, qt.Equals, att.receipt)
	runs, err := readCounts(ctx, flt)
	c.Assert(err, qt.IsNil)
	c.Assert(runs.runs["blank-1"], qt.Equals, 1)
}
