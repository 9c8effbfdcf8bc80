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

// Size is the size of one availability zone.
type Size struct {
	Daemons int
	VMs     int
}

// Point is what was measured at one size; rates are a second and a daemon.
type Point struct {
	Size
	// MeanCores is the processor time a second of the mean and of the busiest daemon.
	MeanCores float64
	MaxCores  float64
	// MaxResidentBytes is the memory in bytes of the largest daemon.
	MaxResidentBytes float64
	// MeanPeerBytesPerSecond is what the mean and the busiest daemon send to peers.
	MeanPeerBytesPerSecond float64
	MaxPeerBytesPerSecond  float64
	// PlatformCalls is the rate of all daemons together.
	PlatformCalls float64
}

// Measurement measures one zone without callers at several sizes.
type Measurement struct {
	binaries string
	settle   time.Duration
	duration time.Duration
}

// New returns a measurement with the programs in a folder; each size is left to settle first.
func New(binaries string, settle, duration time.Duration) *Measurement {
	return &Measurement{
		binaries: binaries,
		settle:   settle,
		duration: duration,
	}
}

// Measure starts a zone of a size and returns what its daemons used.
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
	if err := fleet.WaitServing(ctx, flt.Entries[0], groups); err != nil {
		return Point{}, errors.Trace(err)
	}
	time.Sleep(mea.settle)
	return mea.observe(ctx, flt, siz)
}

// sample is what one daemon had used at one moment.
type sample struct {
	usage   fleet.Usage
	metrics map[string]float64
}

func samples(ctx context.Context, flt *fleet.Fleet) ([]sample, error) {
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
	before, err := samples(ctx, flt)
	if err != nil {
		return Point{}, errors.Trace(err)
	}
	begin := time.Now()
	time.Sleep(mea.duration)
	after, err := samples(ctx, flt)
	if err != nil {
		return Point{}, errors.Trace(err)
	}
	took := time.Since(begin).Seconds()
	pnt := Point{
		Size: siz,
	}
	num := float64(len(after))
	for idx := range after {
		cores := (after[idx].usage.Processor - before[idx].usage.Processor).Seconds() / took
		sent := (after[idx].metrics["cumintally_PeerBytesSent"] - before[idx].metrics["cumintally_PeerBytesSent"]) / took
		calls := (after[idx].metrics["cumintally_PlatformCalls"] - before[idx].metrics["cumintally_PlatformCalls"]) / took
		pnt.MeanCores += cores / num
		pnt.MaxCores = max(pnt.MaxCores, cores)
		pnt.MeanPeerBytesPerSecond += sent / num
		pnt.MaxPeerBytesPerSecond = max(pnt.MaxPeerBytesPerSecond, sent)
		pnt.PlatformCalls += calls
		pnt.MaxResidentBytes = max(pnt.MaxResidentBytes, float64(after[idx].usage.Resident))
	}
	return pnt, nil
}

// startEngines serves engines in this process, so that hundreds of VMs need no processes of their own.
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
		if err := flt.List(ctx, objects.VM{
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
