package controller

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/vmreport"
)

// roleServe is the role that an order gives to a member of a group.
const roleServe = "Serve"

// orderSender sends orders to engines, at most one at a time to each engine, so that no order overtakes another.
type orderSender struct {
	config      Config
	send        func(ctx context.Context, adr string, ord backend.Order) error
	zoneLease   *lease.Lease
	reportTable *vmreport.Table
	clock       clockwork.Clock
	logger      *zap.Logger

	sending sync.WaitGroup
	mu      sync.Mutex
	// inFlight is set for each VM to which an order is being sent.
	inFlight map[string]bool
	// endedAt is the time at which the last order to a VM ended. A report that was requested before that time
	// may not show the order's effect.
	endedAt map[string]time.Time
}

func newOrderSender(
	cfg Config,
	send func(ctx context.Context, adr string, ord backend.Order) error,
	les *lease.Lease,
	tab *vmreport.Table,
	clk clockwork.Clock,
	log *zap.Logger,
) *orderSender {
	return &orderSender{
		config:      cfg,
		send:        send,
		zoneLease:   les,
		reportTable: tab,
		clock:       clk,
		logger:      log,
		inFlight:    map[string]bool{},
		endedAt:     map[string]time.Time{},
	}
}

// orderMismatched sends an order to each VM whose report does not match the allocations. The store has confirmed
// all of these allocations.
func (sdr *orderSender) orderMismatched(ctx context.Context, alcs []group.Allocation, vms []objects.VM) {
	members := map[string]bool{}
	counters := map[string]uint64{}
	for _, alc := range alcs {
		counters[alc.FabricDomain] = alc.Counter
		for _, grp := range alc.Groups {
			for rnk, mem := range grp.Members {
				members[mem.VM] = true
				sdr.orderMember(ctx, grp, rnk)
			}
		}
	}
	for _, vmc := range vms {
		if cnt, ok := counters[vmc.FabricDomain]; ok && !members[vmc.Name] {
			sdr.orderRemoval(ctx, vmc, cnt)
		}
	}
}

// orderMember orders a member into its group. It does nothing if the group is draining, if there is no valid
// report of the member, or if the report already shows the group, the fencing token and the rank.
func (sdr *orderSender) orderMember(ctx context.Context, grp group.Group, rank int) {
	mem := grp.Members[rank]
	ent, ok := sdr.reportTable.Lookup(mem.VM)
	if !ok || grp.Draining || (ent.Report.Group == grp.Name && ent.Report.Fencing == grp.Fencing && ent.Report.Rank == rank) {
		return
	}
	names := make([]string, 0, len(grp.Members))
	for _, mbr := range grp.Members {
		names = append(names, mbr.VM)
	}
	sdr.startSend(ctx, mem, ent, backend.Order{
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

// orderRemoval orders a VM that is in no group to leave the group that it reports, so that a daemon with an old
// copy of the allocation sends it no requests and the VM can be assigned again. A VM whose fencing token is
// above the allocation's counter received it from a newer allocation than this copy, and gets no order.
func (sdr *orderSender) orderRemoval(ctx context.Context, vmc objects.VM, counter uint64) {
	ent, ok := sdr.reportTable.Lookup(vmc.Name)
	if !ok || ent.Report.Group == "" || ent.Report.Fencing > counter {
		return
	}
	mem := group.Member{
		VM:      vmc.Name,
		Address: vmc.Address,
	}
	sdr.startSend(ctx, mem, ent, backend.Order{
		Fencing: counter,
	})
}

// startSend sends an order in the background unless another order to the VM is in flight, or the report was
// requested before the last order ended.
func (sdr *orderSender) startSend(ctx context.Context, mem group.Member, ent vmreport.Entry, ord backend.Order) {
	sdr.mu.Lock()
	defer sdr.mu.Unlock()
	if sdr.inFlight[mem.VM] || !ent.AsOf.After(sdr.endedAt[mem.VM]) {
		return
	}
	ord.NotAfter = sdr.clock.Now().Add(sdr.config.OrderTimeout)
	sdr.inFlight[mem.VM] = true
	sdr.sending.Go(func() {
		err := sdr.sendIfValid(ctx, mem, ord)
		sdr.mu.Lock()
		sdr.inFlight[mem.VM] = false
		sdr.endedAt[mem.VM] = sdr.clock.Now()
		sdr.mu.Unlock()
		if err != nil {
			sdr.logger.Warn("order to an engine failed", zap.String("vm", mem.VM), zap.String("group", ord.Group), zap.Error(err))
		}
	})
}

// sendIfValid sends an order if, at the moment of sending, this daemon holds the lease and the order's deadline has not
// passed. The process may have been paused after it created the order.
func (sdr *orderSender) sendIfValid(ctx context.Context, mem group.Member, ord backend.Order) error {
	if !sdr.zoneLease.Held() || !sdr.clock.Now().Before(ord.NotAfter) {
		return errors.New("the zone lease was no longer held, or the order's deadline had expired before the order was sent")
	}
	return errors.Trace(sdr.send(ctx, mem.Address, ord))
}

// wait returns when no order is in flight.
func (sdr *orderSender) wait() {
	sdr.sending.Wait()
}
