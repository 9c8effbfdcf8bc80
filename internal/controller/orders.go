package controller

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/evidence"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/objects"
)

// roleServe is the role of a member of a group.
const roleServe = "Serve"

// orders sends orders to engines, one at a time to each, so that none can overtake another.
type orders struct {
	cfg  Config
	send func(ctx context.Context, adr string, ord backend.Order) error
	les  *lease.Lease
	tab  *evidence.Table
	clk  clockwork.Clock
	log  *zap.Logger

	wgr  sync.WaitGroup
	mu   sync.Mutex
	busy map[string]bool
	// done is when the last order to a VM ended; an older report says nothing of the order's effect.
	done map[string]time.Time
}

func newOrders(
	cfg Config,
	send func(ctx context.Context, adr string, ord backend.Order) error,
	les *lease.Lease,
	tab *evidence.Table,
	clk clockwork.Clock,
	log *zap.Logger,
) *orders {
	return &orders{
		cfg:  cfg,
		send: send,
		les:  les,
		tab:  tab,
		clk:  clk,
		log:  log,
		busy: map[string]bool{},
		done: map[string]time.Time{},
	}
}

// give sends an order to each VM whose report does not match the allocations, all of which the platform
// has confirmed.
func (ord *orders) give(ctx context.Context, alcs []group.Allocation, vms []objects.VM) {
	members := map[string]bool{}
	counters := map[string]uint64{}
	for _, alc := range alcs {
		counters[alc.FabricDomain] = alc.Counter
		for _, grp := range alc.Groups {
			for rnk, mem := range grp.Members {
				members[mem.VM] = true
				ord.orderMember(ctx, grp, rnk)
			}
		}
	}
	for _, vmc := range vms {
		if cnt, ok := counters[vmc.FabricDomain]; ok && !members[vmc.Name] {
			ord.clear(ctx, vmc, cnt)
		}
	}
}

func (ord *orders) orderMember(ctx context.Context, grp group.Group, rank int) {
	mem := grp.Members[rank]
	ent, ok := ord.tab.Lookup(mem.VM)
	if !ok || grp.Draining || (ent.Report.Group == grp.Name && ent.Report.Fencing == grp.Fencing && ent.Report.Rank == rank) {
		return
	}
	names := make([]string, 0, len(grp.Members))
	for _, mbr := range grp.Members {
		names = append(names, mbr.VM)
	}
	ord.start(ctx, mem, ent, backend.Order{
		Fencing:  grp.Fencing,
		Group:    grp.Name,
		Members:  names,
		Rank:     rank,
		Model:    grp.Model,
		Version:  grp.Version,
		Adapters: grp.Adapters,
		Role:     roleServe,
	})
}

// clear takes a VM that is in no group out of the group that it reports, so that a daemon with an old
// copy of the allocation sends it nothing, and so that it can be assigned again. A VM that reports a
// number above the allocation's counter was given it by a newer allocation than this copy.
func (ord *orders) clear(ctx context.Context, vmc objects.VM, counter uint64) {
	ent, ok := ord.tab.Lookup(vmc.Name)
	if !ok || ent.Report.Group == "" || ent.Report.Fencing > counter {
		return
	}
	mem := group.Member{
		VM:      vmc.Name,
		Address: vmc.Address,
	}
	ord.start(ctx, mem, ent, backend.Order{
		Fencing: counter,
	})
}

// start sends an order unless one is on its way or the report is older than the last one.
func (ord *orders) start(ctx context.Context, mem group.Member, ent evidence.Entry, odr backend.Order) {
	ord.mu.Lock()
	defer ord.mu.Unlock()
	if ord.busy[mem.VM] || !ent.AsOf.After(ord.done[mem.VM]) {
		return
	}
	odr.NotAfter = ord.clk.Now().Add(ord.cfg.OrderTimeout)
	ord.busy[mem.VM] = true
	ord.wgr.Go(func() {
		err := ord.transmit(ctx, mem, odr)
		ord.mu.Lock()
		ord.busy[mem.VM] = false
		ord.done[mem.VM] = ord.clk.Now()
		ord.mu.Unlock()
		if err != nil {
			ord.log.Warn("an order failed", zap.String("vm", mem.VM), zap.String("group", odr.Group), zap.Error(err))
		}
	})
}

// transmit checks at the moment of sending that the order still stands, after any pause since it was made.
func (ord *orders) transmit(ctx context.Context, mem group.Member, odr backend.Order) error {
	if !ord.les.Held() || !ord.clk.Now().Before(odr.NotAfter) {
		return errors.New("the lease or the order ended before the order was sent")
	}
	return errors.Trace(ord.send(ctx, mem.Address, odr))
}

// wait returns when no order is on its way.
func (ord *orders) wait() {
	ord.wgr.Wait()
}
