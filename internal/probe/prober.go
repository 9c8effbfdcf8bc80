package probe

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/evidence"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/zone"
)

const (
	kindEvidence = "Evidence"
	// maxProbes bounds the probes in progress at one daemon. A probe of an engine that is well takes a few
	// milliseconds, so that a daemon that is left alone with the 394 VMs of a zone goes through them in
	// a small part of an interval.
	maxProbes = 64
	// maxRetries bounds the probes of VMs that did not answer the last one. They hold a slot for their
	// whole timeout and, with slots of their own, keep no other VM waiting.
	maxRetries = 16
	// substitutes is the number of daemons, the owner included, that probe a VM that its owner does not
	// hear, since only the owner may be cut off from it.
	substitutes = 3
)

// Prober fills a table of evidence.
type Prober struct {
	interval time.Duration
	tab      *evidence.Table
	mbs      *zone.Membership
	msh      *peer.Mesh
	clk      clockwork.Clock
	log      *zap.Logger
	report   func(ctx context.Context, adr string) (backend.Report, error)
	vms      func() []objects.VM

	slots   chan struct{}
	retries chan struct{}

	feeds map[string]*feed

	mu      sync.Mutex
	subs    map[string]*subscription
	probing map[string]bool
	silent  map[string]bool
}

// New returns a prober of the engines that vms returns; report asks one of them.
func New(
	interval time.Duration,
	tab *evidence.Table,
	mbs *zone.Membership,
	msh *peer.Mesh,
	report func(ctx context.Context, adr string) (backend.Report, error),
	vms func() []objects.VM,
	clk clockwork.Clock,
	log *zap.Logger,
) *Prober {
	prb := &Prober{
		interval: interval,
		tab:      tab,
		mbs:      mbs,
		msh:      msh,
		clk:      clk,
		log:      log.Named("probe"),
		report:   report,
		vms:      vms,
		slots:    make(chan struct{}, maxProbes),
		retries:  make(chan struct{}, maxRetries),
		feeds: map[string]*feed{
			feedOwn:  newFeed(),
			feedCell: newFeed(),
			feedZone: newFeed(),
		},
		subs:    map[string]*subscription{},
		probing: map[string]bool{},
		silent:  map[string]bool{},
	}
	msh.Handle(kindEvidence, prb.answer)
	return prb
}

// Run probes and pulls until ctx ends.
func (prb *Prober) Run(ctx context.Context) {
	var wgr sync.WaitGroup
	wgr.Go(func() { prb.repeat(ctx, prb.probeAll, func(int) time.Duration { return prb.interval }) })
	wgr.Go(func() { prb.repeat(ctx, prb.pullAll, prb.pullInterval) })
	wgr.Wait()
}

// repeat calls turn with the daemons alive until ctx ends.
func (prb *Prober) repeat(ctx context.Context, turn func(context.Context, []peer.Identity), interval func(daemons int) time.Duration) {
	for ctx.Err() == nil {
		alive := prb.mbs.Alive()
		turn(ctx, alive)
		select {
		case <-ctx.Done():
		case <-prb.clk.After(interval(len(alive))):
		}
	}
}

// probeAll starts a probe of each VM that is this daemon's to probe and whose last probe has ended.
func (prb *Prober) probeAll(ctx context.Context, alive []peer.Identity) {
	for _, vmc := range prb.vms() {
		if !prb.mine(vmc.Name, alive) {
			continue
		}
		slots, ok := prb.begin(vmc.Name)
		if !ok {
			continue
		}
		go func() {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			heard := prb.probe(ctx, vmc)
			<-slots
			prb.end(vmc.Name, heard)
		}()
	}
}

// mine reports whether this daemon probes a VM: as its owner by rendezvous hashing, or as one of the next
// in order while nobody's report of the VM is young.
func (prb *Prober) mine(vm string, alive []peer.Identity) bool {
	place := 0
	self := prb.msh.Self().Name
	own := weight(self, vm)
	for _, ide := range alive {
		if ide.Name != self && weight(ide.Name, vm) > own {
			place++
		}
	}
	if place == 0 || place >= substitutes {
		return place == 0
	}
	ent, ok := prb.tab.Lookup(vm)
	return !ok || prb.clk.Since(ent.AsOf) > prb.usualAge(len(alive))
}

func weight(daemon, vm string) uint64 {
	return xxhash.Sum64String(daemon + "\x00" + vm)
}

// begin marks a VM as being probed and returns the slots to probe it in.
func (prb *Prober) begin(vm string) (chan struct{}, bool) {
	prb.mu.Lock()
	defer prb.mu.Unlock()
	if prb.probing[vm] {
		return nil, false
	}
	prb.probing[vm] = true
	if prb.silent[vm] {
		return prb.retries, true
	}
	return prb.slots, true
}

func (prb *Prober) end(vm string, heard bool) {
	prb.mu.Lock()
	defer prb.mu.Unlock()
	delete(prb.probing, vm)
	if heard {
		delete(prb.silent, vm)
	} else {
		prb.silent[vm] = true
	}
}

// probe asks a VM for its report and reports whether it gave one.
func (prb *Prober) probe(ctx context.Context, vmc objects.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*prb.interval)
	defer cancel()
	asOf := prb.clk.Now()
	rep, err := prb.report(ctx, vmc.Address)
	if err != nil || rep.VM != vmc.Name {
		prb.log.Debug("a VM did not report", zap.String("vm", vmc.Name), zap.Error(err))
		return false
	}
	ent := evidence.Entry{
		Report: rep,
		AsOf:   asOf,
	}
	for _, fed := range prb.feeds {
		fed.put(ent)
	}
	prb.tab.Record(ent)
	return true
}
