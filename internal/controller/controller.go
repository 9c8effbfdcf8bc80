package controller

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/allocationwriter"
	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/vmreport"
	"github.com/cumintally/cumintally/pkg/document"
)

// reconcileInterval is the time between two cycles of the control loop.
const reconcileInterval = 500 * time.Millisecond

// Config holds the settings of a controller, which do not change while it runs.
type Config struct {
	AvailabilityZone string
	OrderTimeout     time.Duration
	LeaseDuration    time.Duration
	EvidenceMaxAge   time.Duration
	// DrainTimeout is the time after which a draining group counts as empty whatever it reports. No request
	// lives that long.
	DrainTimeout time.Duration
}

// Dependencies are the functions of other components that the controller calls.
type Dependencies struct {
	// ActiveDocument returns the configuration document in force, nil while there is none.
	ActiveDocument func() *document.Document
	// SendOrder sends an order to the engine at an address.
	SendOrder func(ctx context.Context, adr string, ord backend.Order) error
	// FetchReport requests a report from the engine at an address.
	FetchReport func(ctx context.Context, adr string) (backend.Report, error)
	// RefusesConnection reports whether the VM at an address is up but refuses connections, which means that its
	// engine has ended.
	RefusesConnection func(ctx context.Context, adr string) bool
	// CountDaemons returns the number of daemons of the zone that are alive as seen from this daemon, itself
	// included, and the number that the platform lists.
	CountDaemons func() (alive, listed int)
	// DaemonIndex returns this daemon's index among the zone's daemons that are alive.
	DaemonIndex func() int
}

// Controller plans the groups of one availability zone while it holds the lease.
type Controller struct {
	config         Config
	dependencies   Dependencies
	zoneLease      *lease.Lease
	localInventory *inventory.Inventory
	reportTable    *vmreport.Table
	allocations    *allocationwriter.Writer
	clock          clockwork.Clock
	logger         *zap.Logger
	observer       *zoneObserver
	orders         *orderSender

	// leadingSince is the time at which this daemon began to plan, zero while it does not hold the lease.
	leadingSince     time.Time
	lastLeaseAttempt time.Time
	// oldOrdersExpiredEpoch is the lease epoch in which all orders of earlier lease holders have expired.
	oldOrdersExpiredEpoch uint64
}

// New returns a controller that writes allocations to store while it holds zoneLease.
func New(
	config Config,
	dependencies Dependencies,
	zoneLease *lease.Lease,
	localInventory *inventory.Inventory,
	reportTable *vmreport.Table,
	store objects.Store,
	clock clockwork.Clock,
	logger *zap.Logger,
) *Controller {
	logger = logger.Named("controller")
	return &Controller{
		config:         config,
		dependencies:   dependencies,
		zoneLease:      zoneLease,
		localInventory: localInventory,
		reportTable:    reportTable,
		allocations:    allocationwriter.New(store, localInventory, zoneLease.Held),
		clock:          clock,
		logger:         logger,
		observer:       newZoneObserver(config, localInventory, reportTable),
		orders:         newOrderSender(config, dependencies.SendOrder, zoneLease, reportTable, clock, logger),
	}
}

// Run runs the control loop until ctx ends, then releases the lease.
func (ctr *Controller) Run(ctx context.Context) {
	var wgr sync.WaitGroup
	defer wgr.Wait()
	ctr.observer.tick(ctr.clock.Now())
	wgr.Go(func() { ctr.runTicks(ctx) })
	for ctx.Err() == nil {
		ctr.reconcile(ctx)
		select {
		case <-ctx.Done():
		case <-ctr.clock.After(reconcileInterval):
		}
	}
	ctr.releaseLease(ctx)
}

// runTicks records at each tick interval that the process is running. It runs in a goroutine of its own since
// a slow platform delays the cycles of the control loop.
func (ctr *Controller) runTicks(ctx context.Context) {
	for ctx.Err() == nil {
		ctr.observer.tick(ctr.clock.Now())
		select {
		case <-ctx.Done():
		case <-ctr.clock.After(tickInterval):
		}
	}
}

// releaseLease releases the lease once no order of this daemon is in flight.
func (ctr *Controller) releaseLease(ctx context.Context) {
	ctr.orders.wait()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*reconcileInterval)
	defer cancel()
	if err := ctr.zoneLease.Release(ctx); err != nil {
		ctr.logger.Debug("cannot release the zone lease; other daemons must wait until it expires", zap.Error(err))
	}
}

// reconcile runs one cycle of the control loop.
func (ctr *Controller) reconcile(ctx context.Context) {
	now := ctr.clock.Now()
	ctr.observer.observe(now)
	ctr.acquireLease(ctx, now)
	if !ctr.zoneLease.Held() {
		ctr.leadingSince = time.Time{}
		return
	}
	if ctr.leadingSince.IsZero() && !ctr.startLeading(ctx) {
		return
	}
	doc := ctr.dependencies.ActiveDocument()
	if doc == nil {
		return
	}
	ctr.pollDrainingGroups(ctx)
	ctr.probeSilentMembers(ctx)
	ctr.plan(ctx, doc)
	if ctr.maySendOrders() {
		ctr.orders.orderMismatched(ctx, ctr.localInventory.Allocations(ctr.config.AvailabilityZone), ctr.observer.engineVMs())
	}
}

const (
	// frequentCandidates is the number of daemons of a zone that try to acquire the lease in every cycle. The
	// others try less often, so that the reads of the store do not grow with the number of daemons.
	frequentCandidates = 3
	// otherCandidatesInterval is the time between two attempts of each of the other daemons.
	otherCandidatesInterval = 5 * time.Second
)

// acquireLease acquires or renews the lease. A daemon that sees less than half of the zone's listed daemons
// alive releases it, since the others may reach VMs that this daemon cannot reach.
func (ctr *Controller) acquireLease(ctx context.Context, now time.Time) {
	if alive, listed := ctr.dependencies.CountDaemons(); alive*2 < listed {
		if ctr.zoneLease.Held() {
			ctr.logger.Warn("releasing the zone lease: less than half of the zone's listed daemons are seen alive", zap.Int("alive", alive), zap.Int("listed", listed))
			ctr.releaseLease(ctx)
		}
		return
	}
	if !ctr.zoneLease.Held() && ctr.dependencies.DaemonIndex() >= frequentCandidates && now.Sub(ctr.lastLeaseAttempt) < otherCandidatesInterval {
		return
	}
	ctr.lastLeaseAttempt = now
	if err := ctr.zoneLease.Acquire(ctx); err != nil {
		ctr.logger.Debug("cannot acquire or renew the zone lease", zap.Error(err))
	}
}

// startLeading reads the allocations that previous lease holders wrote, which the watch may not have
// delivered yet. It reports whether the controller may plan.
func (ctr *Controller) startLeading(ctx context.Context) bool {
	if err := ctr.allocations.Refresh(ctx); err != nil {
		ctr.logger.Debug("cannot read the allocations after acquiring the zone lease", zap.Error(err))
		return false
	}
	ctr.leadingSince = ctr.clock.Now()
	ctr.observer.observe(ctr.leadingSince)
	ctr.logger.Info("zone lease acquired", zap.String("zone", ctr.config.AvailabilityZone), zap.Uint64("epoch", ctr.zoneLease.Epoch()))
	return true
}

// maySendOrders reports whether every order of the previous lease holder has passed its deadline. The previous
// holder stops sending when its lease expires, so its last order expires at most one order timeout later. A
// holder that failed to renew for a while and then still owned the lease does not wait again.
func (ctr *Controller) maySendOrders() bool {
	epoch := ctr.zoneLease.Epoch()
	if epoch <= 1 || epoch == ctr.oldOrdersExpiredEpoch {
		return true
	}
	if ctr.clock.Since(ctr.leadingSince) <= ctr.config.OrderTimeout {
		return false
	}
	ctr.oldOrdersExpiredEpoch = epoch
	return true
}

// pollDrainingGroups requests a report from rank 0 of each draining group, which accepts the requests for the
// group, to find out how much work is left.
func (ctr *Controller) pollDrainingGroups(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reconcileInterval)
	defer cancel()
	var wgr sync.WaitGroup
	var mu sync.Mutex
	for _, alc := range ctr.localInventory.Allocations(ctr.config.AvailabilityZone) {
		for _, grp := range alc.Groups {
			if !grp.Draining {
				continue
			}
			wgr.Go(func() {
				asOf := ctr.clock.Now()
				rep, err := ctr.dependencies.FetchReport(ctx, grp.Members[0].Address)
				if err != nil || rep.VM != grp.Members[0].VM {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				ctr.observer.observeDrainLoad(newDrainKey(alc, grp), rep, asOf)
			})
		}
	}
	wgr.Wait()
}

// probeSilentMembers checks for each member without a recent report whether its VM refuses connections, which
// means that its engine has ended.
func (ctr *Controller) probeSilentMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reconcileInterval)
	defer cancel()
	var wgr sync.WaitGroup
	var mu sync.Mutex
	refused := map[string]bool{}
	for _, mem := range ctr.observer.silentMembers(ctr.clock.Now()) {
		wgr.Go(func() {
			res := ctr.dependencies.RefusesConnection(ctx, mem.Address)
			mu.Lock()
			defer mu.Unlock()
			refused[mem.VM] = res
		})
	}
	wgr.Wait()
	ctr.observer.countRefusals(refused)
}

// plan plans the groups of the zone and writes each changed allocation. It stops at the first failed write.
func (ctr *Controller) plan(ctx context.Context, doc *document.Document) {
	now := ctr.clock.Now()
	alive, listed := ctr.dependencies.CountDaemons()
	// At exactly half, no silent VM is replaced, since the other half of the daemons may still reach it.
	mayReplace := alive*2 > listed
	for _, chg := range group.Plan(ctr.observer.view(doc, now, mayReplace)) {
		if err := ctr.allocations.Write(ctx, chg.Allocation); err != nil {
			ctr.logger.Warn("cannot write an allocation", zap.String("domain", chg.Allocation.FabricDomain), zap.Error(err))
			return
		}
	}
}
