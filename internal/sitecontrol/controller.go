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
	// leaseCheckInterval is the time between two attempts to acquire the lease by the few daemons for which Foremost is
	// true. The others use backgroundLeaseCheckInterval, so that reads of the store do not grow with the fleet.
	leaseCheckInterval           = 700 * time.Millisecond
	backgroundLeaseCheckInterval = 6 * time.Second
	// orderTimeout is the deadline for the response to an order and for the release of the lease.
	orderTimeout = time.Second
	// prefetchShare is the part of the weight store's rate that prefetches may use; the rest is for loads of groups.
	prefetchShare = 0.4
	// unlimitedLoads is the rate and the number of prefetches before the first request: about the number of VMs of a site.
	unlimitedLoads = 100
	// stallMargin is added to Config.StallTime.
	stallMargin = 500 * time.Millisecond
)

// Config holds the settings of a steward.
type Config struct {
	// StallTime is the time for which a group keeps working without a member.
	StallTime time.Duration
}

// Dependencies holds the functions of other components that the steward calls.
type Dependencies struct {
	// Table returns the active configuration, nil while none is known.
	Table func() *route.Table
	// Registrations returns the current registrations.
	Registrations func() *serverregistry.View
	// ChecksLeaseOften reports whether this daemon is one of the few that check the lease often while another daemon holds it.
	ChecksLeaseOften func() bool
	// CurrentFor reports whether the daemon's copies of the store have been current for at least span.
	CurrentFor func(span time.Duration) bool
	// BeforeFirstRequest reports whether the site has just started and received no request yet. Loads of weights then slow nothing down
	// and are not limited.
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
	bok  *allocationwriter.Writer
	opl  *orderplan.Planner
	obs  *observer
	clk  clockwork.Clock
	log  *zap.Logger

	// tookOver is set while this daemon holds the lease and has read the allocations since it acquired it.
	tookOver       bool
	leaseCheckedAt time.Time
	orderSenders   sync.WaitGroup
	// mu guards orderInFlight and failedOrders.
	mu sync.Mutex
	// orderInFlight holds whether an order is in flight, by VM.
	orderInFlight map[string]bool
	// failedOrders holds the orders that were not accepted since the last round.
	failedOrders []orderplan.Order
}

// New returns a Steward. It does nothing until Run is called.
func New(cfg Config, deps Dependencies, les *lease.Lease, inv *inventory.Inventory, bok *allocationwriter.Writer, clk clockwork.Clock, log *zap.Logger) *Controller {
	return &Controller{
		cfg:           cfg,
		deps:          deps,
		les:           les,
		inv:           inv,
		bok:           bok,
		opl:           orderplan.New(cfg.StallTime + stallMargin),
		obs:           newObserver(),
		clk:           clk,
		log:           log.Named("steward"),
		orderInFlight: map[string]bool{},
	}
}

// Run executes the control loop until ctx ends, then waits for the orders in flight and releases the lease.
func (stw *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		stw.RunOnce(ctx)
		select {
		case <-ctx.Done():
		case <-stw.clk.After(interval):
		}
	}
	stw.orderSenders.Wait()
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	if err := stw.les.Release(end); err != nil {
		stw.log.Warn("cannot release the site lease; other daemons must wait until it expires", logging.Error(err))
	}
}

// RunOnce executes one round of the control loop: it renews or tries to acquire the lease, and while it holds the lease, it
// plans the groups of every service and sends the orders.
func (stw *Controller) RunOnce(ctx context.Context) {
	tbl := stw.deps.Table()
	if tbl == nil || stw.deps.Registrations().Len() == 0 {
		return
	}
	stw.tryLease(ctx)
	if !stw.les.Held() {
		if stw.tookOver {
			stw.tookOver = false
			stw.log.Warn("site lease lost", zap.Uint64("epoch", stw.les.Epoch()))
		}
		return
	}
	if !stw.tookOver {
		if err := stw.bok.Refresh(ctx); err != nil {
			stw.log.Warn("cannot read the allocations after acquiring the site lease", logging.Error(err))
			return
		}
		stw.tookOver = true
		stw.opl = orderplan.New(stw.cfg.StallTime + stallMargin)
		stw.log.Info("site lease acquired", zap.Uint64("epoch", stw.les.Epoch()))
	}
	for idx := range tbl.Config.Services {
		if svc := &tbl.Config.Services[idx]; svc.Engine != nil && len(svc.Engine.Models) > 0 {
			stw.controlService(ctx, svc)
		}
	}
}

// tryLease renews the lease, or tries to acquire it if the last attempt is long enough ago.
func (stw *Controller) tryLease(ctx context.Context) {
	now := stw.clk.Now()
	pause := leaseCheckInterval
	if !stw.deps.ChecksLeaseOften() {
		pause = backgroundLeaseCheckInterval
	}
	last := stw.leaseCheckedAt
	if _, renewed, _ := stw.les.AnnouncedRenewal(); renewed.After(last) {
		// The holder announced a renewal, so the lease cannot be acquired before it expires.
		last = renewed
		pause = max(pause, stw.les.Duration())
	}
	if !stw.les.Held() && now.Sub(last) < pause {
		return
	}
	stw.leaseCheckedAt = now
	if err := stw.les.Acquire(ctx); err != nil {
		stw.log.Debug("cannot acquire or renew the site lease", logging.Error(err))
	}
}

// controlService plans the groups of one service and sends the orders for them.
func (stw *Controller) controlService(ctx context.Context, svc *route.Service) {
	now := stw.clk.Now()
	rst := stw.deps.Registrations()
	sit := stw.obs.observe(svc, rst, stw.inv, now, stw.deps.CurrentFor)
	if sit.mayPlan() {
		stw.writePlan(ctx, sit)
	}
	viw := orderplan.View{
		PrefetchRate:  svc.Engine.ModelLoadRate * prefetchShare,
		MaxLoads:      svc.Engine.MaxFastLoads,
		TotalLoadRate: svc.Engine.ModelLoadRate,
		InMemory:      sit.modelsInMemory(),
		Service:       svc.Name,
		Registrations:        rst,
		Spares:        sit.chooseStandbys(),
		HostModels:    sit.hostModels(),
	}
	if stw.deps.BeforeFirstRequest() {
		viw.PrefetchRate = unlimitedLoads
		viw.MaxLoads = unlimitedLoads
		viw.TotalLoadRate = 0
	}
	for _, zone := range sit.zones {
		viw.Allocations = append(viw.Allocations, stw.inv.Allocations(zone)...)
	}
	for _, ord := range stw.takeFailedOrders() {
		stw.opl.OrderFailed(ord)
	}
	for _, ord := range stw.opl.NextOrders(viw, now) {
		stw.sendOrder(ctx, ord)
	}
}

func (stw *Controller) takeFailedOrders() []orderplan.Order {
	stw.mu.Lock()
	defer stw.mu.Unlock()
	ords := stw.failedOrders
	stw.failedOrders = nil
	return ords
}

// writePlan plans the groups of each domain and writes the allocations that change.
func (stw *Controller) writePlan(ctx context.Context, sit *siteState) {
	for idx := range sit.domains {
		if sit.obs.domainReturning(sit.domains[idx].Name, sit.now) {
			continue
		}
		for _, chg := range group.Plan(sit.view(&sit.domains[idx])) {
			if err := stw.bok.Write(ctx, chg.Allocation); err != nil {
				stw.log.Warn("cannot write an allocation", zap.String("domain", chg.Allocation.FabricDomain), logging.Error(err))
				if errors.Is(err, objects.ErrConflict) {
					// The object was changed by another lease holder, or by an earlier write of this one whose response was
					// lost.
					stw.tookOver = false
				}
				return
			}
			stw.logPlan(chg.Allocation)
		}
	}
}

func (stw *Controller) logPlan(alc group.Allocation) {
	for _, grp := range alc.Groups {
		if grp.Fencing != alc.Counter && !grp.Draining {
			continue
		}
		stw.log.Info("group planned",
			zap.String("domain", alc.FabricDomain),
			zap.String("group", grp.Name),
			zap.Uint64("epoch", grp.Fencing),
			zap.String("model", grp.Model),
			zap.Bool("draining", grp.Draining),
			zap.Any("members", grp.Members),
		)
	}
	for _, unm := range alc.Unmet {
		stw.log.Info("group cannot be formed or repaired", zap.String("group", unm.Group), zap.String("reason", unm.Reason))
	}
}

// sendOrder sends an order in the background, unless another one to the same engine is in flight, so that orders to an
// engine are not reordered.
func (stw *Controller) sendOrder(ctx context.Context, ord orderplan.Order) {
	stw.mu.Lock()
	defer stw.mu.Unlock()
	if stw.orderInFlight[ord.Server] {
		return
	}
	stw.orderInFlight[ord.Server] = true
	fence := stw.les.Epoch()
	stw.orderSenders.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		err := errors.New("lease expired before the order was sent")
		if stw.les.Held() {
			err = stw.deps.SendOrder(ctx, ord, fence)
		}
		stw.mu.Lock()
		stw.orderInFlight[ord.Server] = false
		if err != nil {
			stw.failedOrders = append(stw.failedOrders, ord)
		}
		stw.mu.Unlock()
		fields := []zap.Field{
			zap.String("verb", string(ord.Verb)),
			zap.String("server", ord.Server),
			zap.String("group", ord.Group),
			zap.Uint64("epoch", ord.Epoch),
			zap.String("model", ord.Model),
			zap.Uint64("fence", fence),
		}
		if err != nil {
			stw.log.Warn("order not accepted", append(fields, logging.Error(err))...)
			return
		}
		stw.log.Info("order accepted", fields...)
	})
}
