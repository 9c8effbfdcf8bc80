package steward

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/allocationbook"
	"github.com/cumintally/cumintally/internal/formation"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/logging"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/roster"
	"github.com/cumintally/cumintally/internal/route"
)

const (
	// Scope is the name of the lease, which covers the whole site.
	Scope = "site"
	// interval is the time between two turns of the loop.
	interval = 150 * time.Millisecond
	// leaseCheckInterval is the time between two looks at the lease by the foremost daemons that do not hold it, and
	// lateSeek that of the others: reads of the store must not grow with the fleet.
	leaseCheckInterval           = 700 * time.Millisecond
	backgroundLeaseCheckInterval = 6 * time.Second
	// orderTimeout bounds the wait for the answer to an order.
	orderTimeout = time.Second
	// prefetchShare is the part of the weight store's rate that loads ahead of need may take; the rest is for groups.
	prefetchShare = 0.4
	// unlimitedLoads is the number of loads per second before the first request: as many as a site has VMs.
	unlimitedLoads = 100
	// stallMargin is added to the time for which a group works on without a member.
	stallMargin = 500 * time.Millisecond
)

// Config holds what a steward is told once.
type Config struct {
	// StallTime is the time for which a group works on without a member.
	StallTime time.Duration
}

// Seams are the calls that the steward makes on other parts.
type Seams struct {
	// Table returns the configuration in force, nil while none is known.
	Table  func() *route.Table
	Roster func() *roster.View
	// Foremost reports whether this daemon is one of the few that look at a lease that another one holds.
	Foremost func() bool
	// Settled reports whether the daemon's copies have been current for at least span.
	Settled func(span time.Duration) bool
	// Quiet reports whether the site has just started and no request has come yet: loads of weights cost nothing then.
	Quiet func() bool
	// Order gives an order; fence is a number that grows with each holder of the lease.
	Order func(ctx context.Context, ord formation.Order, fence uint64) error
}

// Steward plans and orders the groups of a site while it holds the lease.
type Steward struct {
	cfg Config
	sea Seams
	les *lease.Lease
	inv *inventory.Inventory
	bok *allocationbook.Book
	opl *formation.OrderPlanner
	obs *observer
	clk clockwork.Clock
	log *zap.Logger

	leading        bool
	leaseCheckedAt time.Time
	orderSenders   sync.WaitGroup
	mu             sync.Mutex
	orderInFlight  map[string]bool
	// failedOrders are the orders that were not accepted since the last turn.
	failedOrders []formation.Order
}

// New returns a steward.
func New(cfg Config, sea Seams, les *lease.Lease, inv *inventory.Inventory, bok *allocationbook.Book, clk clockwork.Clock, log *zap.Logger) *Steward {
	return &Steward{
		cfg:           cfg,
		sea:           sea,
		les:           les,
		inv:           inv,
		bok:           bok,
		opl:           formation.New(cfg.StallTime + stallMargin),
		obs:           newObserver(),
		clk:           clk,
		log:           log.Named("steward"),
		orderInFlight: map[string]bool{},
	}
}

// Run plans and orders until ctx ends, then gives the lease up.
func (stw *Steward) Run(ctx context.Context) {
	for ctx.Err() == nil {
		stw.Turn(ctx)
		select {
		case <-ctx.Done():
		case <-stw.clk.After(interval):
		}
	}
	stw.orderSenders.Wait()
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	if err := stw.les.Release(end); err != nil {
		stw.log.Warn("cannot release the lease; the next holder waits until it expires", logging.Error(err))
	}
}

// Turn does one step of the loop.
func (stw *Steward) Turn(ctx context.Context) {
	tbl := stw.sea.Table()
	if tbl == nil || stw.sea.Roster().Len() == 0 {
		return
	}
	stw.tryLease(ctx)
	if !stw.les.Held() {
		if stw.leading {
			stw.leading = false
			stw.log.Warn("lost the lease of the site", zap.Uint64("epoch", stw.les.Epoch()))
		}
		return
	}
	if !stw.leading {
		if err := stw.bok.Read(ctx); err != nil {
			stw.log.Warn("cannot take over the allocations", logging.Error(err))
			return
		}
		stw.leading = true
		stw.opl = formation.New(stw.cfg.StallTime + stallMargin)
		stw.log.Info("took the lease of the site", zap.Uint64("epoch", stw.les.Epoch()))
	}
	for idx := range tbl.Config.Services {
		if svc := &tbl.Config.Services[idx]; svc.Engine != nil && len(svc.Engine.Models) > 0 {
			stw.controlService(ctx, svc)
		}
	}
}

func (stw *Steward) tryLease(ctx context.Context) {
	now := stw.clk.Now()
	pause := leaseCheckInterval
	if !stw.sea.Foremost() {
		pause = backgroundLeaseCheckInterval
	}
	last := stw.leaseCheckedAt
	if _, told, _ := stw.les.Told(); told.After(last) {
		// A holder that tells of its renewals needs no look before its lease ends.
		last = told
		pause = max(pause, stw.les.Duration())
	}
	if !stw.les.Held() && now.Sub(last) < pause {
		return
	}
	stw.leaseCheckedAt = now
	if err := stw.les.Acquire(ctx); err != nil {
		stw.log.Debug("cannot renew the lease", logging.Error(err))
	}
}

// controlService plans the groups of one service and gives the orders for them.
func (stw *Steward) controlService(ctx context.Context, svc *route.Service) {
	now := stw.clk.Now()
	rst := stw.sea.Roster()
	sit := stw.obs.observe(svc, rst, stw.inv, now, stw.sea.Settled)
	if sit.mayPlan() {
		stw.writePlan(ctx, sit)
	}
	viw := formation.View{
		PrefetchRate:  svc.Engine.LoadRate * prefetchShare,
		MaxLoads:      svc.Engine.LoadsAtOnce,
		TotalLoadRate: svc.Engine.LoadRate,
		InMemory:      sit.modelsInMemory(),
		Service:       svc.Name,
		Roster:        rst,
		Spares:        sit.chooseStandbys(),
		HostModels:    sit.hostModels(),
	}
	if stw.sea.Quiet() {
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

func (stw *Steward) takeFailedOrders() []formation.Order {
	stw.mu.Lock()
	defer stw.mu.Unlock()
	ords := stw.failedOrders
	stw.failedOrders = nil
	return ords
}

// writePlan writes the allocations that should change.
func (stw *Steward) writePlan(ctx context.Context, sit *siteState) {
	for idx := range sit.domains {
		if sit.obs.domainReturning(sit.domains[idx].Name, sit.now) {
			continue
		}
		for _, chg := range group.Plan(sit.view(&sit.domains[idx])) {
			if err := stw.bok.Write(ctx, chg.Allocation); err != nil {
				stw.log.Warn("cannot write an allocation", zap.String("domain", chg.Allocation.FabricDomain), logging.Error(err))
				if errors.Is(err, objects.ErrConflict) {
					// Another holder, or an own write whose answer was lost, was first.
					stw.leading = false
				}
				return
			}
			stw.logPlan(chg.Allocation)
		}
	}
}

func (stw *Steward) logPlan(alc group.Allocation) {
	for _, grp := range alc.Groups {
		if grp.Fencing != alc.Counter && !grp.Draining {
			continue
		}
		stw.log.Info("planned a group",
			zap.String("domain", alc.FabricDomain),
			zap.String("group", grp.Name),
			zap.Uint64("epoch", grp.Fencing),
			zap.String("model", grp.Model),
			zap.Bool("draining", grp.Draining),
			zap.Any("members", grp.Members),
		)
	}
	for _, unm := range alc.Unmet {
		stw.log.Info("a group cannot be formed", zap.String("group", unm.Group), zap.String("reason", unm.Reason))
	}
}

// sendOrder sends an order unless one is on its way to the same engine, so that none overtakes another.
func (stw *Steward) sendOrder(ctx context.Context, ord formation.Order) {
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
		err := errors.New("the lease ended before the order was sent")
		if stw.les.Held() {
			err = stw.sea.Order(ctx, ord, fence)
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
			stw.log.Warn("an order was not accepted", append(fields, logging.Error(err))...)
			return
		}
		stw.log.Info("an order was accepted", fields...)
	})
}
