package controller

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/allocationbook"
	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/evidence"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/pkg/document"
)

// interval is the time between two turns of the loop.
const interval = 500 * time.Millisecond

// Config holds what a controller is told once.
type Config struct {
	AvailabilityZone string
	OrderTimeout     time.Duration
	LeaseDuration    time.Duration
	EvidenceMaxAge   time.Duration
	// DrainTimeout is the time after which a draining group counts as empty whatever it reports; no
	// request lives as long.
	DrainTimeout time.Duration
}

// Seams are the calls that the controller makes on other parts.
type Seams struct {
	// InForce returns the document to run, nil if there is none yet.
	InForce func() *document.Document
	Order   func(ctx context.Context, adr string, ord backend.Order) error
	Report  func(ctx context.Context, adr string) (backend.Report, error)
	// Refuses reports whether a VM is there and refuses connections, so that its engine has surely ended.
	Refuses func(ctx context.Context, adr string) bool
	// Peers returns how many daemons of the zone this one hears, itself included, and how many the
	// platform lists.
	Peers func() (alive, listed int)
	// Rank returns this daemon's place among the zone's daemons alive.
	Rank func() int
}

// Controller plans the groups of one availability zone while it holds the lease.
type Controller struct {
	cfg Config
	sea Seams
	les *lease.Lease
	inv *inventory.Inventory
	tab *evidence.Table
	bok *allocationbook.Book
	clk clockwork.Clock
	log *zap.Logger
	obs *observer
	ord *orders

	leadingSince time.Time
	lookedAt     time.Time
	// clearEpoch is the epoch of the lease in which no order of an earlier holder is left.
	clearEpoch uint64
}

// New returns a controller.
func New(
	cfg Config,
	sea Seams,
	les *lease.Lease,
	inv *inventory.Inventory,
	tab *evidence.Table,
	pst objects.Store,
	clk clockwork.Clock,
	log *zap.Logger,
) *Controller {
	log = log.Named("controller")
	return &Controller{
		cfg: cfg,
		sea: sea,
		les: les,
		inv: inv,
		tab: tab,
		bok: allocationbook.New(pst, inv, les.Held),
		clk: clk,
		log: log,
		obs: newObserver(cfg, inv, tab),
		ord: newOrders(cfg, sea.Order, les, tab, clk, log),
	}
}

// Run plans and orders until ctx ends, then gives the lease up.
func (ctr *Controller) Run(ctx context.Context) {
	var wgr sync.WaitGroup
	defer wgr.Wait()
	ctr.obs.tick(ctr.clk.Now())
	wgr.Go(func() { ctr.noteRunning(ctx) })
	for ctx.Err() == nil {
		ctr.turn(ctx)
		select {
		case <-ctx.Done():
		case <-ctr.clk.After(interval):
		}
	}
	ctr.release(ctx)
}

// noteRunning ticks apart from the turns, which a slow platform delays.
func (ctr *Controller) noteRunning(ctx context.Context) {
	for ctx.Err() == nil {
		ctr.obs.tick(ctr.clk.Now())
		select {
		case <-ctx.Done():
		case <-ctr.clk.After(tickInterval):
		}
	}
}

// release gives the lease up once no order of this daemon is on its way.
func (ctr *Controller) release(ctx context.Context) {
	ctr.ord.wait()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*interval)
	defer cancel()
	if err := ctr.les.Release(ctx); err != nil {
		ctr.log.Debug("cannot release the lease", zap.Error(err))
	}
}

func (ctr *Controller) turn(ctx context.Context) {
	now := ctr.clk.Now()
	ctr.obs.observe(now)
	ctr.seekLease(ctx, now)
	if !ctr.les.Held() {
		ctr.leadingSince = time.Time{}
		return
	}
	if ctr.leadingSince.IsZero() && !ctr.begin(ctx) {
		return
	}
	doc := ctr.sea.InForce()
	if doc == nil {
		return
	}
	ctr.askDraining(ctx)
	ctr.askSilent(ctx)
	ctr.plan(ctx, doc)
	if ctr.mayOrder() {
		ctr.ord.give(ctx, ctr.inv.Allocations(ctr.cfg.AvailabilityZone), ctr.obs.vms())
	}
}

const (
	// seekers is the number of daemons of a zone that look at the lease every turn, so that the reads do
	// not grow with the fleet.
	seekers = 3
	// lateLook is the time between two looks of the other daemons.
	lateLook = 5 * time.Second
)

// seekLease takes or renews the lease. A daemon that hears less than half of the zone's daemons gives it
// up, since the others may hear VMs that it does not.
func (ctr *Controller) seekLease(ctx context.Context, now time.Time) {
	if alive, listed := ctr.sea.Peers(); alive*2 < listed {
		if ctr.les.Held() {
			ctr.log.Warn("gives the lease up since it hears too few daemons", zap.Int("alive", alive), zap.Int("listed", listed))
			ctr.release(ctx)
		}
		return
	}
	if !ctr.les.Held() && ctr.sea.Rank() >= seekers && now.Sub(ctr.lookedAt) < lateLook {
		return
	}
	ctr.lookedAt = now
	if err := ctr.les.Acquire(ctx); err != nil {
		ctr.log.Debug("cannot renew the lease", zap.Error(err))
	}
}

// begin reads the allocations that the holders before wrote, which the watch may not have brought yet.
func (ctr *Controller) begin(ctx context.Context) bool {
	if err := ctr.bok.Read(ctx); err != nil {
		ctr.log.Debug("cannot read the allocations", zap.Error(err))
		return false
	}
	ctr.leadingSince = ctr.clk.Now()
	ctr.obs.observe(ctr.leadingSince)
	ctr.log.Info("took the lease", zap.String("zone", ctr.cfg.AvailabilityZone), zap.Uint64("epoch", ctr.les.Epoch()))
	return true
}

// mayOrder reports whether every order of an earlier holder has passed its deadline. The earlier holder
// stopped at the end of its lease, so that its last order ends one order timeout later at most. A holder
// that could not renew for a while and found the lease still its own need not wait again.
func (ctr *Controller) mayOrder() bool {
	epoch := ctr.les.Epoch()
	if epoch <= 1 || epoch == ctr.clearEpoch {
		return true
	}
	if ctr.clk.Since(ctr.leadingSince) <= ctr.cfg.OrderTimeout {
		return false
	}
	ctr.clearEpoch = epoch
	return true
}

// askDraining asks the VMs that accept requests for draining groups how much work they have left.
func (ctr *Controller) askDraining(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	var wgr sync.WaitGroup
	var mu sync.Mutex
	for _, alc := range ctr.inv.Allocations(ctr.cfg.AvailabilityZone) {
		for _, grp := range alc.Groups {
			if !grp.Draining {
				continue
			}
			wgr.Go(func() {
				asOf := ctr.clk.Now()
				rep, err := ctr.sea.Report(ctx, grp.Members[0].Address)
				if err != nil || rep.VM != grp.Members[0].VM {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				ctr.obs.observeLoad(newDrainKey(alc, grp), rep, asOf)
			})
		}
	}
	wgr.Wait()
}

// askSilent asks members whose evidence has grown old whether their engines have ended.
func (ctr *Controller) askSilent(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	var wgr sync.WaitGroup
	var mu sync.Mutex
	refused := map[string]bool{}
	for _, mem := range ctr.obs.silentMembers(ctr.clk.Now()) {
		wgr.Go(func() {
			res := ctr.sea.Refuses(ctx, mem.Address)
			mu.Lock()
			defer mu.Unlock()
			refused[mem.VM] = res
		})
	}
	wgr.Wait()
	ctr.obs.observeRefusals(refused)
}

func (ctr *Controller) plan(ctx context.Context, doc *document.Document) {
	now := ctr.clk.Now()
	alive, listed := ctr.sea.Peers()
	// A holder that hears just half of the daemons replaces no silent VM, since the other half may hear it.
	mayReplace := alive*2 > listed
	for _, chg := range group.Plan(ctr.obs.view(doc, now, mayReplace)) {
		if err := ctr.bok.Write(ctx, chg.Allocation); err != nil {
			ctr.log.Warn("cannot write an allocation", zap.String("domain", chg.Allocation.FabricDomain), zap.Error(err))
			return
		}
	}
}
