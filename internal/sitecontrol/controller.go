package sitecontrol

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/allocationwriter"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/logging"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/orderplan"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

const (
	// LeaseName is the name of the lease. One lease covers the whole site.
	LeaseName = "site"
	// interval is the time between two rounds of the control loop.
	interval = 150 * time.Millisecond
	// leaseCheckInterval is the time between two attempts to acquire the lease by the few daemons for which
	// ChecksLeaseOften is true. The others use backgroundLeaseCheckInterval, so that reads of the store do not grow with
	// the fleet.
	leaseCheckInterval           = 700 * time.Millisecond
	backgroundLeaseCheckInterval = 6 * time.Second
	// orderTimeout is the deadline for the response to an order and for the release of the lease.
	orderTimeout = time.Second
	// prefetchShare is the part of the weight store's rate that prefetches may use; the rest is for loads of groups.
	prefetchShare = 0.4
	// startupPrefetchLimit limits prefetches before the first request: it is the number that may start per second, and
	// the number of loads in progress at which no prefetch starts. It is about the number of VMs of a site.
	startupPrefetchLimit = 100
	// stallMargin is added to Config.StallTime.
	stallMargin = 500 * time.Millisecond
)

// Config holds the settings of a controller.
type Config struct {
	// StallTime is the time for which a group keeps working without a member.
	StallTime time.Duration
}

// Dependencies holds the functions of other components that the controller calls.
type Dependencies struct {
	// Table returns the active configuration, nil while none is known.
	Table func() *route.Table
	// Registrations returns the current registrations.
	Registrations func() *serverregistry.View
	// ChecksLeaseOften reports whether this daemon is one of the few that check the lease often while another daemon holds
	// it.
	ChecksLeaseOften func() bool
	// CurrentFor reports whether the daemon's copies of the store have been current for at least span.
	CurrentFor func(span time.Duration) bool
	// Demand returns the work that callers ask of each model of a service, in VMs that it keeps busy.
	Demand func(service string) map[string]float64
	// LastByte returns when an engine last sent a byte of a response to any daemon.
	LastByte func(server string, now time.Time) time.Time
	// ReportHeld is called in each round with the number of groups that are not repaired although members are unregistered,
	// because they send tokens, and ReportHeldLost when such a group is lost.
	ReportHeld     func(groups int)
	ReportHeldLost func()
	// BeforeFirstRequest reports whether the site has just started and received no request yet. Loads of weights then
	// slow nothing down: loads for groups are not limited, and prefetches have the wide limit startupPrefetchLimit.
	BeforeFirstRequest func() bool
	// SendOrder sends an order to an engine; fence is the fencing token, which grows with each holder of the lease.
	SendOrder func(ctx context.Context, ord orderplan.Order, fence uint64) error
}

// Controller plans the groups of a site and sends orders to engines while it holds the lease.
type Controller struct {
	cfg  Config
	deps Dependencies
	les  *lease.Lease
	inv  *inventory.Inventory
	wrt  *allocationwriter.Writer
	pln  *orderplan.Planner
	obs  *observer
	clk  clockwork.Clock
	log  *zap.Logger

	// tookOver is set while this daemon holds the lease and has read the allocations in the lease's epoch tookOverIn. A
	// conflict at a write clears it, so that they are read again.
	tookOver       bool
	tookOverIn     uint64
	leaseCheckedAt time.Time
	orderSenders   sync.WaitGroup
	// mu guards orderInFlight and failedOrders.
	mu sync.Mutex
	// orderInFlight holds whether an order is in flight, by VM.
	orderInFlight map[string]bool
	// failedOrders holds the orders that were not accepted since the last round.
	failedOrders []orderplan.Order
}

// New returns a controller. It does nothing until Run is called.
func New(cfg Config, deps Dependencies, les *lease.Lease, inv *inventory.Inventory, wrt *allocationwriter.Writer, clk clockwork.Clock, log *zap.Logger) *Controller {
	return &Controller{
		cfg:           cfg,
		deps:          deps,
		les:           les,
		inv:           inv,
		wrt:           wrt,
		pln:           orderplan.New(cfg.StallTime + stallMargin),
		obs:           newObserver(),
		clk:           clk,
		log:           log.Named("steward"),
		orderInFlight: map[string]bool{},
	}
}

// Run executes the control loop until ctx ends, then waits for the orders in flight and releases the lease.
func (ctr *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		ctr.RunOnce(ctx)
		select {
		case <-ctx.Done():
		case <-ctr.clk.After(interval):
		}
	}
	ctr.orderSenders.Wait()
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	if err := ctr.les.Release(end); err != nil {
		ctr.log.Warn("cannot release the site lease; other daemons must wait until it expires", logging.Error(err))
	}
}

// RunOnce executes one round of the control loop: it renews or tries to acquire the lease, and while it holds the
// lease, it plans the groups of every service and sends the orders.
func (ctr *Controller) RunOnce(ctx context.Context) {
	tbl := ctr.deps.Table()
	if tbl == nil || ctr.deps.Registrations().Len() == 0 {
		return
	}
	ctr.tryLease(ctx)
	if !ctr.les.Held() {
		if ctr.tookOver {
			ctr.tookOver = false
			ctr.log.Warn("site lease lost", zap.Uint64("epoch", ctr.les.Epoch()))
		}
		return
	}
	if epoch := ctr.les.Epoch(); !ctr.tookOver || ctr.tookOverIn != epoch {
		ctr.tookOver = false
		if err := ctr.wrt.Refresh(ctx); err != nil {
			ctr.log.Warn("cannot read the allocations as holder of the site lease", logging.Error(err))
			return
		}
		ctr.tookOver = true
		ctr.tookOverIn = epoch
		ctr.pln = orderplan.New(ctr.cfg.StallTime + stallMargin)
		ctr.log.Info("site lease held, allocations read", zap.Uint64("epoch", epoch))
	}
	for idx := range tbl.Config.Services {
		if svc := &tbl.Config.Services[idx]; svc.Engine != nil && len(svc.Engine.Models) > 0 {
			ctr.controlService(ctx, svc)
		}
	}
}

// tryLease renews the lease, or tries to acquire it if the last attempt is long enough ago. A holder whose lease has just
// ended tries at once. After a renewal that the holder announced, it waits at least for the lease duration, so that the
// store is not read while the holder is alive.
func (ctr *Controller) tryLease(ctx context.Context) {
	now := ctr.clk.Now()
	pause := leaseCheckInterval
	if !ctr.deps.ChecksLeaseOften() {
		pause = backgroundLeaseCheckInterval
	}
	last := ctr.leaseCheckedAt
	if _, renewed, _ := ctr.les.AnnouncedRenewal(); renewed.After(last) {
		// The holder announced a renewal, so the lease cannot be acquired before it expires.
		last = renewed
		pause = max(pause, ctr.les.Duration())
	}
	if !ctr.les.Held() && !ctr.tookOver && now.Sub(last) < pause {
		return
	}
	ctr.leaseCheckedAt = now
	if err := ctr.les.Acquire(ctx); err != nil {
		ctr.log.Debug("cannot acquire or renew the site lease", logging.Error(err))
	}
}

// controlService plans the groups of one service and sends the orders for them.
func (ctr *Controller) controlService(ctx context.Context, svc *route.Service) {
	now := ctr.clk.Now()
	reg := ctr.deps.Registrations()
	sit := ctr.obs.observe(svc, reg, ctr.inv, ctr.deps.Demand(svc.Name), now, ctr.deps.LastByte, ctr.deps.CurrentFor)
	ctr.updateHeld(sit)
	if sit.mayPlan() {
		ctr.releaseHeld(sit)
		ctr.writePlan(ctx, sit)
	}
	viw := orderplan.View{
		PrefetchRate:  svc.Engine.ModelLoadRate * prefetchShare,
		MaxLoads:      svc.Engine.MaxFastLoads,
		TotalLoadRate: svc.Engine.ModelLoadRate,
		InMemory:      sit.modelsInMemory(),
		Service:       svc.Name,
		Registrations: reg,
		Standbys:      sit.chooseStandbys(),
		HostModels:    sit.hostModels(),
	}
	if ctr.deps.BeforeFirstRequest() {
		viw.PrefetchRate = startupPrefetchLimit
		viw.MaxLoads = startupPrefetchLimit
		viw.TotalLoadRate = 0
	}
	for _, zone := range sit.zones {
		viw.Allocations = append(viw.Allocations, ctr.inv.Allocations(zone)...)
	}
	for _, ord := range ctr.takeFailedOrders() {
		ctr.pln.OrderFailed(ord)
	}
	for _, ord := range ctr.pln.NextOrders(viw, now) {
		ctr.sendOrder(ctx, ord)
	}
}

func (ctr *Controller) takeFailedOrders() []orderplan.Order {
	ctr.mu.Lock()
	defer ctr.mu.Unlock()
	ords := ctr.failedOrders
	ctr.failedOrders = nil
	return ords
}

// writePlan plans the groups of each domain and writes the allocations that change.
func (ctr *Controller) writePlan(ctx context.Context, sit *siteState) {
	for idx := range sit.domains {
		if sit.obs.domainReturning(sit.domains[idx].Name, sit.now) {
			continue
		}
		viw := sit.view(&sit.domains[idx])
		viw.MinCounter = ctr.wrt.MinCounter()
		for _, chg := range group.Plan(viw) {
			if err := ctr.wrt.Write(ctx, chg.Allocation); err != nil {
				ctr.log.Warn("cannot write an allocation", zap.String("domain", chg.Allocation.FabricDomain), logging.Error(err))
				if errors.Is(err, objects.ErrConflict) {
					// The object was changed by another lease holder, or by an earlier write of this one whose response was
					// lost.
					ctr.tookOver = false
				}
				return
			}
			ctr.logPlan(chg.Allocation, sit.demand)
		}
	}
}

// logPlan logs the groups that an allocation changes; demand is the measured work by model from which it was planned.
func (ctr *Controller) logPlan(alc group.Allocation, demand map[string]float64) {
	for _, grp := range alc.Groups {
		if grp.Fencing != alc.Counter && !grp.Draining {
			continue
		}
		ctr.log.Info("group planned",
			zap.String("domain", alc.FabricDomain),
			zap.String("group", grp.Name),
			zap.Uint64("epoch", grp.Fencing),
			zap.String("model", grp.Model),
			zap.Bool("draining", grp.Draining),
			zap.Any("members", grp.Members),
			zap.Float64("busyVMs", demand[grp.Model]),
		)
	}
	for _, unm := range alc.Unmet {
		ctr.log.Info("group is incomplete or has a leaving member", zap.String("group", unm.Group), zap.String("reason", unm.Reason))
	}
}

// sendOrder sends an order in the background, unless another one to the same engine is in flight, so that orders to an
// engine are not reordered.
func (ctr *Controller) sendOrder(ctx context.Context, ord orderplan.Order) {
	ctr.mu.Lock()
	defer ctr.mu.Unlock()
	if ctr.orderInFlight[ord.Server] {
		return
	}
	ctr.orderInFlight[ord.Server] = true
	fence := ctr.les.Epoch()
	ctr.orderSenders.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		err := errors.New("the site lease was no longer held when the order was to be sent")
		if ctr.les.Held() {
			err = ctr.deps.SendOrder(ctx, ord, fence)
		}
		ctr.mu.Lock()
		ctr.orderInFlight[ord.Server] = false
		if err != nil {
			ctr.failedOrders = append(ctr.failedOrders, ord)
		}
		ctr.mu.Unlock()
		fields := []zap.Field{
			zap.String("verb", string(ord.Verb)),
			zap.String("server", ord.Server),
			zap.String("group", ord.Group),
			zap.Uint64("epoch", ord.Epoch),
			zap.String("model", ord.Model),
			zap.Uint64("fence", fence),
		}
		if err != nil {
			ctr.log.Warn("order to an engine failed", append(fields, logging.Error(err))...)
			return
		}
		ctr.log.Info("order accepted", fields...)
	})
}
