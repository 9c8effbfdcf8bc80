package probe

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/vmreport"
	"github.com/cumintally/cumintally/internal/zone"
)

const (
	kindEvidence = "Evidence"
	// maxProbes bounds the probes in flight at one daemon. Probing a healthy engine takes a few milliseconds,
	// so a daemon that is the only one left for the 394 VMs of a zone probes them all in a small part of an
	// interval.
	maxProbes = 64
	// maxRetries bounds the probes in flight of VMs that did not answer the previous probe. Such a probe
	// usually holds its slot until the timeout, so these probes have separate slots and do not delay others.
	maxRetries = 16
	// maxProbers is the number of daemons, including the owner, that probe a VM while its report is stale,
	// because the network may be cut between the VM and its owner only.
	maxProbers = 3
)

// Prober probes VMs, exchanges reports with other daemons and records them in a table.
type Prober struct {
	interval   time.Duration
	table      *vmreport.Table
	membership *zone.Membership
	mesh       *peer.Mesh
	clock      clockwork.Clock
	log        *zap.Logger
	report     func(ctx context.Context, adr string) (backend.Report, error)
	vms        func() []objects.VM

	slots      chan struct{}
	retrySlots chan struct{}

	feeds map[string]*feed

	mu sync.Mutex
	// subscriptions is keyed by source. probing holds the names of the VMs with a probe in flight, unresponsive
	// those of the VMs that did not answer the latest probe.
	subscriptions map[string]*subscription
	probing       map[string]bool
	unresponsive  map[string]bool
}

// New returns a prober of the VMs that vms returns. The function report requests the report of the engine at
// an address; interval is the time between two probes of a VM.
func New(
	interval time.Duration,
	table *vmreport.Table,
	membership *zone.Membership,
	mesh *peer.Mesh,
	report func(ctx context.Context, adr string) (backend.Report, error),
	vms func() []objects.VM,
	clock clockwork.Clock,
	log *zap.Logger,
) *Prober {
	prb := &Prober{
		interval:   interval,
		table:      table,
		membership: membership,
		mesh:       mesh,
		clock:      clock,
		log:        log.Named("probe"),
		report:     report,
		vms:        vms,
		slots:      make(chan struct{}, maxProbes),
		retrySlots: make(chan struct{}, maxRetries),
		feeds: map[string]*feed{
			feedOwn:  newFeed(),
			feedCell: newFeed(),
			feedZone: newFeed(),
		},
		subscriptions: map[string]*subscription{},
		probing:       map[string]bool{},
		unresponsive:  map[string]bool{},
	}
	mesh.Handle(kindEvidence, prb.handlePull)
	return prb
}

// Run probes VMs and pulls reports until ctx is done.
func (prb *Prober) Run(ctx context.Context) {
	var wgr sync.WaitGroup
	wgr.Go(func() { prb.repeat(ctx, prb.probeAll, func(int) time.Duration { return prb.interval }) })
	wgr.Go(func() { prb.repeat(ctx, prb.pullAll, prb.pullInterval) })
	wgr.Wait()
}

// repeat calls round with the daemons alive, and waits for an interval after each call, until ctx is done.
func (prb *Prober) repeat(ctx context.Context, round func(context.Context, []peer.Identity), interval func(daemons int) time.Duration) {
	for ctx.Err() == nil {
		alive := prb.membership.Alive()
		round(ctx, alive)
		select {
		case <-ctx.Done():
		case <-prb.clock.After(interval(len(alive))):
		}
	}
}

// probeAll starts a probe of each VM that this daemon must probe and that has no probe in flight.
func (prb *Prober) probeAll(ctx context.Context, alive []peer.Identity) {
	for _, vmc := range prb.vms() {
		if !prb.shouldProbe(vmc.Name, alive) {
			continue
		}
		slots, ok := prb.beginProbe(vmc.Name)
		if !ok {
			continue
		}
		go func() {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			answered := prb.probe(ctx, vmc)
			<-slots
			prb.endProbe(vmc.Name, answered)
		}()
	}
}

// shouldProbe reports whether this daemon must probe a VM: as its owner by rendezvous hashing or, while the
// latest report of the VM is stale, as one of the next daemons in the order of that hash.
func (prb *Prober) shouldProbe(vm string, alive []peer.Identity) bool {
	rank := 0
	self := prb.mesh.Self().Name
	own := rendezvousWeight(self, vm)
	for _, ide := range alive {
		if ide.Name != self && rendezvousWeight(ide.Name, vm) > own {
			rank++
		}
	}
	if rank == 0 || rank >= maxProbers {
		return rank == 0
	}
	ent, ok := prb.table.Lookup(vm)
	return !ok || prb.clock.Since(ent.AsOf) > prb.staleAge(len(alive))
}

// rendezvousWeight returns the weight of a daemon for a VM; the daemon with the highest weight is the owner.
func rendezvousWeight(daemon, vm string) uint64 {
	return xxhash.Sum64String(daemon + "\x00" + vm)
}

// beginProbe marks a VM as being probed and returns the pool of slots for the probe. It returns false if a
// probe of the VM is in flight.
func (prb *Prober) beginProbe(vm string) (chan struct{}, bool) {
	prb.mu.Lock()
	defer prb.mu.Unlock()
	if prb.probing[vm] {
		return nil, false
	}
	prb.probing[vm] = true
	if prb.unresponsive[vm] {
		return prb.retrySlots, true
	}
	return prb.slots, true
}

// endProbe records whether a VM answered its probe.
func (prb *Prober) endProbe(vm string, answered bool) {
	prb.mu.Lock()
	defer prb.mu.Unlock()
	delete(prb.probing, vm)
	if answered {
		delete(prb.unresponsive, vm)
	} else {
		prb.unresponsive[vm] = true
	}
}

// probe requests the report of a VM, records it and reports whether the VM answered.
func (prb *Prober) probe(ctx context.Context, vmc objects.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*prb.interval)
	defer cancel()
	asOf := prb.clock.Now()
	rep, err := prb.report(ctx, vmc.Address)
	if err != nil || rep.VM != vmc.Name {
		prb.log.Debug("probe of a VM failed or another VM answered it", zap.String("vm", vmc.Name), zap.Error(err))
		return false
	}
	ent := vmreport.Entry{
		Report: rep,
		AsOf:   asOf,
	}
	for _, fed := range prb.feeds {
		fed.put(ent)
	}
	prb.table.Record(ent)
	return true
}
