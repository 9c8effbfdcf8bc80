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
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/platform"
	"github.com/cumintally/cumintally/internal/zone"
)

const (
	kindEvidence = "Evidence"
	// maxProbes bounds the probes in progress at one daemon: at 59 daemons and 394 VMs of a zone a daemon
	// probes 7 VMs, so that the bound holds a daemon that is left alone to about 2,000 probes a second.
	maxProbes = 64
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
	vms      func() []platform.VM

	slots chan struct{}

	mu      sync.Mutex
	own     map[string]evidence.Entry
	probing map[string]bool
}

type agedReport struct {
	Report backend.Report
	Age    time.Duration
}

// New returns a prober of the engines that vms returns; report asks one of them.
func New(
	interval time.Duration,
	tab *evidence.Table,
	mbs *zone.Membership,
	msh *peer.Mesh,
	report func(ctx context.Context, adr string) (backend.Report, error),
	vms func() []platform.VM,
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
		own:      map[string]evidence.Entry{},
		probing:  map[string]bool{},
	}
	msh.Handle(kindEvidence, prb.answer)
	return prb
}

// Run probes and pulls until ctx ends.
func (prb *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		self := prb.msh.Self()
		alive := prb.mbs.Alive()
		prb.probeAll(ctx, alive)
		for _, ide := range alive {
			if ide.Name != self.Name {
				go prb.pull(ctx, ide.Address)
			}
		}
		select {
		case <-ctx.Done():
		case <-prb.clk.After(prb.interval):
		}
	}
}

// probeAll starts a probe of each VM that is this daemon's to probe. A VM whose last probe has not ended,
// or that finds all slots taken, is left for the next turn.
func (prb *Prober) probeAll(ctx context.Context, alive []peer.Identity) {
	for _, vmc := range prb.vms() {
		if !prb.mine(vmc.Name, alive) || !prb.begin(vmc.Name) {
			continue
		}
		select {
		case prb.slots <- struct{}{}:
			go func() {
				defer func() { <-prb.slots }()
				defer prb.end(vmc.Name)
				prb.probe(ctx, vmc)
			}()
		default:
			prb.end(vmc.Name)
		}
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
	return !ok || prb.clk.Since(ent.AsOf) > 2*prb.interval
}

func weight(daemon, vm string) uint64 {
	return xxhash.Sum64String(daemon + "\x00" + vm)
}

func (prb *Prober) begin(vm string) bool {
	prb.mu.Lock()
	defer prb.mu.Unlock()
	if prb.probing[vm] {
		return false
	}
	prb.probing[vm] = true
	return true
}

func (prb *Prober) end(vm string) {
	prb.mu.Lock()
	defer prb.mu.Unlock()
	delete(prb.probing, vm)
}

func (prb *Prober) probe(ctx context.Context, vmc platform.VM) {
	ctx, cancel := context.WithTimeout(ctx, 2*prb.interval)
	defer cancel()
	asOf := prb.clk.Now()
	rep, err := prb.report(ctx, vmc.Address)
	if err != nil || rep.VM != vmc.Name {
		prb.log.Debug("a VM did not report", zap.String("vm", vmc.Name), zap.Error(err))
		return
	}
	ent := evidence.Entry{
		Report: rep,
		AsOf:   asOf,
	}
	prb.mu.Lock()
	prb.own[vmc.Name] = ent
	prb.mu.Unlock()
	prb.tab.Record(ent)
}

// pull takes the reports that the daemon at adr has probed.
func (prb *Prober) pull(ctx context.Context, adr string) {
	ctx, cancel := context.WithTimeout(ctx, 2*prb.interval)
	defer cancel()
	before := prb.clk.Now()
	var reps []agedReport
	if err := prb.msh.Call(ctx, adr, kindEvidence, nil, &reps); err != nil {
		return
	}
	for _, rep := range reps {
		prb.tab.Record(evidence.Entry{
			Report: rep.Report,
			AsOf:   before.Add(-rep.Age),
		})
	}
}

// answer gives what this daemon has probed itself; what it pulled is left to the daemons that probed it.
func (prb *Prober) answer(context.Context, peer.Identity, []byte) (any, error) {
	prb.mu.Lock()
	defer prb.mu.Unlock()
	now := prb.clk.Now()
	reps := make([]agedReport, 0, len(prb.own))
	for name, ent := range prb.own {
		age := now.Sub(ent.AsOf)
		if age > 5*time.Second {
			delete(prb.own, name)
			continue
		}
		reps = append(reps, agedReport{
			Report: ent.Report,
			Age:    age,
		})
	}
	return reps, nil
}
