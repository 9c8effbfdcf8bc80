package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/standin/engine"
	"github.com/cumintally/cumintally/internal/standin/fleet"
)

const zoneName = "zone-1"

// Size is the number of daemons and VMs in one availability zone.
type Size struct {
	Daemons int
	VMs     int
}

// Point holds what was measured at one size. Rates are per second and per daemon unless stated otherwise.
type Point struct {
	Size
	// MeanCores and MaxCores are processor seconds per second, the mean of the daemons and the largest value.
	MeanCores float64
	MaxCores  float64
	// MaxResidentBytes is the largest resident memory of a daemon in bytes.
	MaxResidentBytes float64
	// MeanPeerBytesPerSecond and MaxPeerBytes are bytes sent to peers, the mean of the daemons and the largest value.
	MeanPeerBytesPerSecond float64
	MaxPeerBytesPerSecond  float64
	// PlatformCalls is the number of platform calls per second of all daemons together.
	PlatformCalls float64
}

// Measurement measures a zone without callers at several sizes.
type Measurement struct {
	binaries string
	settle   time.Duration
	duration time.Duration
}

// New returns a measurement that runs the programs in the folder binaries. At each size it waits for settle before it
// measures for duration.
func New(binaries string, settle, duration time.Duration) *Measurement {
	return &Measurement{
		binaries: binaries,
		settle:   settle,
		duration: duration,
	}
}

// Measure starts a zone of a size and returns the resource usage of its daemons.
func (mea *Measurement) Measure(ctx context.Context, siz Size) (Point, error) {
	folder, err := os.MkdirTemp("", "cumintally-capacity-")
	if err != nil {
		return Point{}, errors.Trace(err)
	}
	defer os.RemoveAll(folder)
	flt, err := fleet.Start(ctx, fleet.Config{
		Binaries: mea.binaries,
		Folder:   folder,
		Zones:    []string{zoneName},
		EntryVMs: siz.Daemons,
	})
	if err != nil {
		return Point{}, errors.Trace(err)
	}
	defer flt.Kill()
	stop, err := startEngines(ctx, flt, siz.VMs)
	defer stop()
	if err != nil {
		return Point{}, errors.Trace(err)
	}
	groups := siz.VMs / vmsPerGroup
	if _, err := fleet.Promote(ctx, flt.Entries[0], newDocument(groups), 0); err != nil {
		return Point{}, errors.Trace(err)
	}
	if err := fleet.WaitForServingGroups(ctx, flt.Entries[0], groups); err != nil {
		return Point{}, errors.Trace(err)
	}
	time.Sleep(mea.settle)
	return mea.observe(ctx, flt, siz)
}

// sample is the cumulative usage of one daemon at one time.
type sample struct {
	usage   fleet.Usage
	metrics map[string]float64
}

func takeSamples(ctx context.Context, flt *fleet.Fleet) ([]sample, error) {
	var smps []sample
	for _, ent := range flt.Entries {
		usg, err := ent.Usage()
		if err != nil {
			return nil, errors.Trace(err)
		}
		met, err := fleet.Metrics(ctx, ent)
		if err != nil {
			return nil, errors.Trace(err)
		}
		smps = append(smps, sample{
			usage:   usg,
			metrics: met,
		})
	}
	return smps, nil
}

func (mea *Measurement) observe(ctx context.Context, flt *fleet.Fleet, siz Size) (Point, error) {
	before, err := takeSamples(ctx, flt)
	if err != nil {
		return Point{}, errors.Trace(err)
	}
	begin := time.Now()
	time.Sleep(mea.duration)
	after, err := takeSamples(ctx, flt)
	if err != nil {
		return Point{}, errors.Trace(err)
	}
	took := time.Since(begin).Seconds()
	pnt := Point{
		Size: siz,
	}
	num := float64(len(after))
	for idx := range after {
		cores := (after[idx].usage.CPUTime - before[idx].usage.CPUTime).Seconds() / took
		sent := (after[idx].metrics["cumintally_PeerBytesSent"] - before[idx].metrics["cumintally_PeerBytesSent"]) / took
		calls := (after[idx].metrics["cumintally_PlatformCalls"] - before[idx].metrics["cumintally_PlatformCalls"]) / took
		pnt.MeanCores += cores / num
		pnt.MaxCores = max(pnt.MaxCores, cores)
		pnt.MeanPeerBytesPerSecond += sent / num
		pnt.MaxPeerBytesPerSecond = max(pnt.MaxPeerBytesPerSecond, sent)
		pnt.PlatformCalls += calls
		pnt.MaxResidentBytes = max(pnt.MaxResidentBytes, float64(after[idx].usage.ResidentBytes))
	}
	return pnt, nil
}

// startEngines serves the engines in this process, so that hundreds of VMs need no separate processes.
func startEngines(ctx context.Context, flt *fleet.Fleet, num int) (stop func(), err error) {
	var srvs []*http.Server
	stop = func() {
		for _, srv := range srvs {
			_ = srv.Close()
		}
	}
	for idx := range num {
		name := fmt.Sprintf("vm-%d", idx)
		lst, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return stop, errors.Trace(err)
		}
		eng := engine.New(engine.Config{
			VM:        name,
			ColdLimit: 2,
			WarmAfter: 8,
			Retention: time.Minute,
		}, func() {})
		srv := &http.Server{
			Handler:           eng.Handler(),
			ReadHeaderTimeout: time.Minute,
		}
		srvs = append(srvs, srv)
		go func() { _ = srv.Serve(lst) }()
		if err := flt.RegisterVM(ctx, objects.VM{
			Name:             name,
			AvailabilityZone: zoneName,
			FabricDomain:     fmt.Sprintf("fabric-%d", idx/vmsPerDomain),
			Role:             objects.RoleEngine,
			Address:          lst.Addr().String(),
			State:            objects.VMLive,
			Accelerators:     8,
		}); err != nil {
			return stop, errors.Trace(err)
		}
	}
	return stop, nil
}
