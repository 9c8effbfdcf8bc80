package probe

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/vmreport"
	"github.com/cumintally/cumintally/internal/zone"
)

func newProber(report func(ctx context.Context, adr string) (backend.Report, error), vms []objects.VM) (*Prober, *vmreport.Table) {
	clk := clockwork.NewRealClock()
	msh := peer.New(peer.Identity{
		Name:             "entry-1",
		AvailabilityZone: "zone",
	}, []byte("key"), metrics.NewRegistry(), zap.NewNop())
	mbs := zone.New(msh, func() []string { return nil }, clk, zap.NewNop())
	tab := vmreport.New(time.Second)
	return New(10*time.Millisecond, tab, mbs, msh, report, func() []objects.VM { return vms }, clk, zap.NewNop()), tab
}

func newVMs(num int, adr string) []objects.VM {
	var vms []objects.VM
	for idx := range num {
		vms = append(vms, objects.VM{
			Name:    fmt.Sprintf("vm-%d", idx),
			Address: adr,
		})
	}
	return vms
}

// TestProbesAreBounded guards against an unbounded number of probes in flight when many VMs answer slowly.
func TestProbesAreBounded(tst *testing.T) {
	var now, most atomic.Int64
	prb, _ := newProber(func(ctx context.Context, _ string) (backend.Report, error) {
		num := now.Add(1)
		defer now.Add(-1)
		for old := most.Load(); num > old && !most.CompareAndSwap(old, num); old = most.Load() {
			continue
		}
		<-ctx.Done()
		return backend.Report{}, ctx.Err()
	}, newVMs(500, ""))
	ctx, cancel := context.WithTimeout(tst.Context(), 200*time.Millisecond)
	defer cancel()
	prb.Run(ctx)
	tst.Logf("most probes at once: %d of %d", most.Load(), maxProbes+maxRetries)
	qt.Assert(tst, most.Load() <= maxProbes+maxRetries, qt.IsTrue)
	qt.Assert(tst, most.Load() > maxProbes/2, qt.IsTrue)
}

// TestSilentVMsDelayNoOthers guards against healthy VMs whose reports become stale because probes of the VMs
// of a failed fabric domain occupy all slots until their timeouts.
func TestSilentVMsDelayNoOthers(tst *testing.T) {
	vms := newVMs(400, "")
	prb, tab := newProber(func(ctx context.Context, adr string) (backend.Report, error) {
		if adr == "dead" {
			<-ctx.Done()
			return backend.Report{}, ctx.Err()
		}
		time.Sleep(time.Millisecond)
		return backend.Report{VM: adr}, nil
	}, vms)
	for idx := range vms {
		vms[idx].Address = vms[idx].Name
		if idx%3 == 0 {
			vms[idx].Address = "dead"
		}
	}
	prb.interval = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(tst.Context(), 2*time.Second)
	defer cancel()
	prb.Run(ctx)
	var oldest time.Duration
	for _, vmc := range vms {
		if vmc.Address == "dead" {
			continue
		}
		ent, ok := tab.Lookup(vmc.Name)
		qt.Assert(tst, ok, qt.IsTrue)
		oldest = max(oldest, time.Since(ent.AsOf))
	}
	tst.Logf("oldest report of 266 VMs while 134 others do not answer: %v", oldest)
	qt.Assert(tst, oldest < 3*prb.interval, qt.IsTrue)
}

// TestProbesReuseConnections guards against a new TCP connection for each probe.
func TestProbesReuseConnections(tst *testing.T) {
	var dials, probes atomic.Int64
	// enough ends the probing; it is set before the first probe.
	var enough context.CancelFunc
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(rsw http.ResponseWriter, _ *http.Request) {
		_, _ = rsw.Write([]byte(`{"VM":"vm-0","State":"Idle"}` + "\n"))
		if probes.Add(1) == 8 {
			enough()
		}
	}))
	srv.Config.ConnState = func(_ net.Conn, sta http.ConnState) {
		if sta == http.StateNew {
			dials.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	prb, tab := newProber(backend.New(&http.Client{Transport: &http.Transport{}}).Report, newVMs(1, srv.Listener.Addr().String()))
	// A probe that times out closes its connection. On a busy machine that must not happen to a sound one.
	prb.interval = 250 * time.Millisecond
	ctx, cancel := context.WithTimeout(tst.Context(), 30*time.Second)
	defer cancel()
	enough = cancel
	prb.Run(ctx)
	_, ok := tab.Lookup("vm-0")
	qt.Assert(tst, ok, qt.IsTrue)
	tst.Logf("%d probes, %d connections", probes.Load(), dials.Load())
	qt.Assert(tst, probes.Load() > 5, qt.IsTrue)
	qt.Assert(tst, dials.Load() <= 2, qt.IsTrue)
}

// TestAgeCountsFromBeforeTheProbe guards against a report that looks younger than it is because its age is
// counted from the arrival of a slow answer.
func TestAgeCountsFromBeforeTheProbe(tst *testing.T) {
	prb, tab := newProber(func(context.Context, string) (backend.Report, error) {
		time.Sleep(15 * time.Millisecond)
		return backend.Report{VM: "vm-0"}, nil
	}, nil)
	before := time.Now()
	prb.probe(tst.Context(), objects.VM{Name: "vm-0"})
	ent, ok := tab.Lookup("vm-0")
	qt.Assert(tst, ok, qt.IsTrue)
	qt.Assert(tst, ent.AsOf.Sub(before) < 10*time.Millisecond, qt.IsTrue)
}

// TestBackupProbers guards against a VM that counts as lost because only its owner cannot reach it, and
// against daemons that each probe all VMs.
func TestBackupProbers(tst *testing.T) {
	var alive []peer.Identity
	for idx := range 8 {
		alive = append(alive, peer.Identity{
			Name: fmt.Sprintf("entry-%d", idx),
		})
	}
	prb, tab := newProber(nil, nil)
	owned, backedUp := 0, 0
	for idx := range 400 {
		vm := fmt.Sprintf("vm-%d", idx)
		if prb.shouldProbe(vm, alive) {
			backedUp++
		}
		tab.Record(vmreport.Entry{
			Report: backend.Report{VM: vm},
			AsOf:   time.Now().Add(time.Minute),
		})
		if prb.shouldProbe(vm, alive) {
			owned++
		}
	}
	tst.Logf("one of 8 daemons probes %d of 400 VMs with fresh reports, %d of 400 VMs without reports", owned, backedUp)
	qt.Assert(tst, owned > 25 && owned < 80, qt.IsTrue)
	qt.Assert(tst, backedUp > 110 && backedUp < 190, qt.IsTrue)
}
