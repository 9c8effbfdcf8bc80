package orderplan

import (
	"slices"
	"time"

	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

const (
	// orderRetryInterval is the time after which an order without visible effect is repeated: several times the latency of
	// an order to an engine plus that of the engine's report through the store.
	orderRetryInterval = 1200 * time.Millisecond
	// drainTimeout is the time for which a draining group may complete its requests before they are aborted: about the
	// duration of a long response, and less than the notice that a leaving VM has.
	drainTimeout = 6 * time.Second
	// prefetchBurst is the number of prefetches (loads of weights that no group needs yet) that may start at once.
	prefetchBurst = 2
	// totalLoadBurst is the number of loads of any kind that may start at once: the burst that the weight store tolerates
	// beyond its rate.
	totalLoadBurst = 3
	// stageTimeout is the time after which a Stage order without effect is repeated: longer than a load takes.
	stageTimeout = 40 * time.Second
)

// View is the input from which the orders of a service are computed.
type View struct {
	Service       string
	Registrations *serverregistry.View
	Allocations   []group.Allocation
	// Standbys holds the standby model of VMs without a group, by VM.
	Standbys map[string]Standby
	// HostModels holds the model whose weights the host of a VM should hold, by VM.
	HostModels map[string]string
	// PrefetchRate is the number of prefetches that may start per second. MaxLoads is the number of loads in progress at
	// which no prefetch starts, since concurrent loads slow each other down.
	PrefetchRate float64
	MaxLoads     int
	// TotalLoadRate is the number of loads of any kind that may start per second, 0 for no limit.
	TotalLoadRate float64
	// InMemory holds the model whose weights a VM holds in memory, by VM. A VM without an entry may hold none.
	InMemory map[string]string
}

// Standby is the model whose weights a spare VM keeps in memory.
type Standby struct {
	Model string
	// Epoch is the latest epoch of the VM's fabric domain; every later group of the domain has a higher one.
	Epoch uint64
}

// standbyPrefix is the prefix of the name of a standby group, which has one spare VM as its only member and is never
// opened. The VM holds the weights in memory, so that it joins a group of the model in a fraction of the time.
const standbyPrefix = "standby-"

// IsStandby reports whether a VM is a spare in its standby group.
func IsStandby(srv *serverregistry.Server) bool {
	return srv.Membership.State != serverregistry.NoGroup && srv.Membership.Group == standbyPrefix+srv.ID
}

// Planner computes the orders of one controller and remembers them. It is not safe for concurrent use.
type Planner struct {
	// stallTime is the time for which a group keeps working without a member, including a margin.
	stallTime  time.Duration
	lastOrders map[string]sentOrder
	// prefetchTokens is the content of the token bucket for prefetches at refilledAt.
	prefetchTokens float64
	refilledAt     time.Time
	// loadTokens is the content of the token bucket for loads of any kind at refilledAt. It starts empty, because the
	// previous lease holder may have just used up the burst.
	loadTokens float64
	// joinBlockedUntil is the time until which a VM must not join a group, because the head of its former group may still
	// be open.
	joinBlockedUntil map[string]time.Time
	// staging holds the Stage orders whose result the host has not reported yet, by VM.
	staging map[string]pendingStage
	// lastHeads holds the VM that last reported to be the head of a group.
	lastHeads map[serverregistry.Membership]observedHead
	// closingSince is the time since which the head of a group has been found open or closing although it must be
	// closed. drainTimeout counts from it.
	closingSince map[serverregistry.Membership]time.Time
}

// pendingStage is a Stage order whose weights the host has not reported yet.
type pendingStage struct {
	model     string
	startTime int64
	sentAt    time.Time
}

// observedHead is the VM that was the head of a group at a time.
type observedHead struct {
	server string
	at     time.Time
}

// sentOrder is the last order to a VM and when it was returned.
type sentOrder struct {
	order Order
	at    time.Time
}

// New returns a Planner that has returned no orders yet; stall is the time for which a group keeps working without
// a member, including a margin.
func New(stall time.Duration) *Planner {
	return &Planner{
		stallTime:        stall,
		lastOrders:       map[string]sentOrder{},
		joinBlockedUntil: map[string]time.Time{},
		staging:          map[string]pendingStage{},
		closingSince:     map[serverregistry.Membership]time.Time{},
		lastHeads:        map[serverregistry.Membership]observedHead{},
	}
}

// orderBuilder collects the orders of one call of NextOrders.
type orderBuilder struct {
	pln      *Planner
	viw      View
	now      time.Time
	orders   []Order
	hasOrder map[string]bool
	// retries holds the orders that make a VM load weights and were already returned before.
	retries []Order
	// loads is the number of loads in progress.
	loads int
}

// OrderFailed reports that an engine did not accept an order. A Stage order is then no longer pending, so that it is
// repeated without a wait for its timeout.
func (pln *Planner) OrderFailed(ord Order) {
	if ord.Verb == Stage {
		delete(pln.staging, ord.Server)
	}
}

// NextOrders returns the orders to send now, at most one for each engine.
func (pln *Planner) NextOrders(viw View, now time.Time) []Order {
	bld := &orderBuilder{
		pln:      pln,
		viw:      viw,
		now:      now,
		hasOrder: map[string]bool{},
	}
	if !pln.refilledAt.IsZero() {
		pln.loadTokens = min(pln.loadTokens+viw.TotalLoadRate*now.Sub(pln.refilledAt).Seconds(), totalLoadBurst)
	}
	pln.prefetchTokens = min(pln.prefetchTokens+viw.PrefetchRate*now.Sub(pln.refilledAt).Seconds(), max(prefetchBurst, viw.PrefetchRate))
	pln.refilledAt = now
	pln.expireStaging(viw, now)
	bld.loads = pln.loadsInProgress(viw)
	pln.recordHeads(viw, now)
	members := map[string]bool{}
	for _, alc := range viw.Allocations {
		for _, grp := range alc.Groups {
			for _, mem := range grp.Members {
				members[mem.VM] = true
			}
			bld.formGroup(grp)
		}
	}
	bld.retryLoads()
	srvs := viw.Registrations.Service(viw.Service)
	for _, srv := range srvs {
		if !members[srv.ID] {
			bld.handleUnallocated(srv)
		}
	}
	for _, srv := range srvs {
		bld.stageOnHost(srv)
	}
	pln.expireState(now)
	return bld.orders
}

// formGroup adds the orders that form and open an allocated group, or close a draining one.
func (bld *orderBuilder) formGroup(grp group.Group) {
	if len(grp.Members) == 0 {
		return
	}
	target := serverregistry.Membership{
		Group: grp.Name,
		Epoch: grp.Fencing,
	}
	head, ok := bld.viw.Registrations.Server(grp.Members[0].VM)
	if ok && grp.Draining {
		if head.Membership.SameGroup(target) {
			bld.headClosed(head.Membership, true)
		}
		return
	}
	delete(bld.pln.closingSince, target)
	ready := 0
	for rnk, mem := range grp.Members {
		srv, ok := bld.viw.Registrations.Server(mem.VM)
		if !ok {
			continue
		}
		if srv.Membership.SameGroup(target) && srv.Membership.State != serverregistry.NoGroup && srv.Membership.Rank == rnk {
			if srv.Membership.State != serverregistry.Joining {
				ready++
			}
			continue
		}
		if head != nil && head.Membership.SameGroup(target) && head.Membership.State == serverregistry.Open {
			// The head is open but a member is not in the group: the group is broken and must be formed again under a new epoch.
			continue
		}
		bld.join(grp, srv)
	}
	if ok && ready == len(grp.Members) && head.Membership.State == serverregistry.Ready {
		bld.addOrder(Order{
			Verb:    Open,
			Server:  head.ID,
			Address: head.Address,
			Group:   grp.Name,
			Epoch:   grp.Fencing,
		})
	}
}

// join adds an order for a VM to join a group once its former group has ended.
func (bld *orderBuilder) join(grp group.Group, srv *serverregistry.Server) {
	if !bld.readyToJoin(srv) {
		return
	}
	ids := make([]string, 0, len(grp.Members))
	for _, mem := range grp.Members {
		ids = append(ids, mem.VM)
	}
	ord := Order{
		Verb:    Join,
		Server:  srv.ID,
		Address: srv.Address,
		Group:   grp.Name,
		Epoch:   grp.Fencing,
		Model:   grp.Model,
		Members: ids,
	}
	last, again := bld.pln.lastOrders[srv.ID]
	switch {
	case slices.Contains(srv.StagedModels, grp.Model) || bld.viw.InMemory[srv.ID] == grp.Model:
		bld.addOrder(ord)
	case again && last.order.equivalent(&ord):
		bld.retries = append(bld.retries, ord)
	default:
		bld.startLoad(ord)
	}
}

// startLoad adds an order that makes a VM load weights if the weight store's rate limit permits.
func (bld *orderBuilder) startLoad(ord Order) {
	if bld.hasLoadToken() && bld.addOrder(ord) {
		bld.takeLoadToken()
	}
}

// retryLoads repeats orders to load that may have been lost, the oldest first. They come after the first orders for all
// allocated groups, because their VMs may be unreachable for a long time and must not use up the rate. Prefetches
// follow after them.
func (bld *orderBuilder) retryLoads() {
	slices.SortFunc(bld.retries, func(one, two Order) int {
		return bld.pln.lastOrders[one.Server].at.Compare(bld.pln.lastOrders[two.Server].at)
	})
	for _, ord := range bld.retries {
		bld.startLoad(ord)
	}
}

// readyToJoin reports whether a VM may join another group. If not, it adds the order that is needed first.
func (bld *orderBuilder) readyToJoin(srv *serverregistry.Server) bool {
	if until, ok := bld.pln.joinBlockedUntil[srv.ID]; ok && bld.now.Before(until) {
		return false
	}
	if srv.Membership.State == serverregistry.NoGroup {
		return true
	}
	if srv.Membership.Rank == 0 {
		return bld.headClosed(srv.Membership, false)
	}
	if head, ok := bld.viw.Registrations.RankZero(bld.viw.Service, srv.Membership); ok {
		return bld.headClosed(srv.Membership, false) && bld.cannotReopen(head)
	}
	if old, ok := bld.pln.lastHeads[srv.Membership.GroupEpoch()]; ok {
		if _, ok := bld.viw.Registrations.Server(old.server); ok {
			// The head is registered and has moved to another group.
			return true
		}
	}
	// The head is not registered but may still be open. Its group stops working within stallTime after this member leaves.
	bld.pln.joinBlockedUntil[srv.ID] = bld.now.Add(bld.pln.stallTime)
	bld.leave(srv)
	return false
}

// headClosed reports whether the head of a group is neither open nor closing. If the head is open or closing,
// headClosed returns false and adds an order to close it. With finish set, the group may complete its requests in
// flight for up to drainTimeout, and a head that is already closing gets no further order until then.
func (bld *orderBuilder) headClosed(mbs serverregistry.Membership, finish bool) bool {
	head, ok := bld.viw.Registrations.RankZero(bld.viw.Service, mbs)
	if !ok || (head.Membership.State != serverregistry.Open && head.Membership.State != serverregistry.Closing) {
		return true
	}
	since, ok := bld.pln.closingSince[head.Membership.GroupEpoch()]
	if !ok {
		since = bld.now
		bld.pln.closingSince[head.Membership.GroupEpoch()] = since
	}
	if finish && bld.now.Sub(since) > drainTimeout {
		finish = false
	}
	if head.Membership.State == serverregistry.Closing && finish {
		return false
	}
	bld.addOrder(Order{
		Verb:    Close,
		Server:  head.ID,
		Address: head.Address,
		Group:   mbs.Group,
		Epoch:   mbs.Epoch,
		Finish:  finish,
	})
	return false
}

// cannotReopen reports whether a head that is not open is broken, so that it can never be opened again in its group.
// While a head is only closed, an earlier Open order may still arrive; it is ordered to leave the group first.
func (bld *orderBuilder) cannotReopen(head *serverregistry.Server) bool {
	if head.Membership.State == serverregistry.Broken {
		return true
	}
	bld.leave(head)
	return false
}

func (bld *orderBuilder) leave(srv *serverregistry.Server) {
	bld.addOrder(Order{
		Verb:    Leave,
		Server:  srv.ID,
		Address: srv.Address,
		Group:   srv.Membership.Group,
		Epoch:   srv.Membership.Epoch,
	})
}

// handleUnallocated takes a VM without an allocated group out of the group that it reports, then makes it load the
// model of its Standby into memory.
func (bld *orderBuilder) handleUnallocated(srv *serverregistry.Server) {
	if IsStandby(srv) || srv.Draining {
		return
	}
	if srv.Membership.State != serverregistry.NoGroup {
		if bld.readyToJoin(srv) {
			bld.leave(srv)
		}
		return
	}
	spare, ok := bld.viw.Standbys[srv.ID]
	loads := !slices.Contains(srv.StagedModels, spare.Model)
	if !ok || (loads && !bld.mayPrefetch()) {
		return
	}
	if bld.addOrder(Order{
		Verb:    Join,
		Server:  srv.ID,
		Address: srv.Address,
		Group:   standbyPrefix + srv.ID,
		Epoch:   spare.Epoch,
		Model:   spare.Model,
		Members: []string{srv.ID},
	}) && loads {
		bld.pln.prefetchTokens--
		bld.takeLoadToken()
		bld.loads++
	}
}

// mayPrefetch reports whether a prefetch may start now.
func (bld *orderBuilder) mayPrefetch() bool {
	return bld.pln.prefetchTokens >= 1 && bld.hasLoadToken() && bld.loads < bld.viw.MaxLoads
}

// hasLoadToken reports whether the weight store's rate limit permits another load now.
func (bld *orderBuilder) hasLoadToken() bool {
	return bld.viw.TotalLoadRate == 0 || bld.pln.loadTokens >= 1
}

// takeLoadToken counts a load against the weight store's rate limit, if one is set.
func (bld *orderBuilder) takeLoadToken() {
	if bld.viw.TotalLoadRate > 0 {
		bld.pln.loadTokens--
	}
}

// expireStaging removes Stage orders that are done, timed out or were sent to an earlier process, so that weights that
// a host drops later are loaded again.
func (pln *Planner) expireStaging(viw View, now time.Time) {
	for id, pst := range pln.staging {
		srv, ok := viw.Registrations.Server(id)
		if now.Sub(pst.sentAt) > stageTimeout || (ok && (pst.startTime != srv.StartTime || slices.Contains(srv.StagedModels, pst.model))) {
			delete(pln.staging, id)
		}
	}
}

// loadsInProgress returns the number of loads in progress: VMs that join a group without weights on their host, and
// pending Stage orders.
func (pln *Planner) loadsInProgress(viw View) int {
	num := 0
	for _, srv := range viw.Registrations.Service(viw.Service) {
		_, pending := pln.staging[srv.ID]
		if pending || (srv.Membership.State == serverregistry.Joining && len(srv.StagedModels) == 0) {
			num++
		}
	}
	return num
}

// stageOnHost prefetches weights onto the host of a VM, for the next group that the VM may join.
func (bld *orderBuilder) stageOnHost(srv *serverregistry.Server) {
	model := bld.viw.HostModels[srv.ID]
	stableState := srv.Membership.State == serverregistry.Ready || srv.Membership.State == serverregistry.Open || srv.Membership.State == serverregistry.NoGroup
	if model == "" || !stableState || srv.Draining || slices.Contains(srv.StagedModels, model) || !bld.mayPrefetch() {
		return
	}
	if _, ok := bld.pln.staging[srv.ID]; ok {
		return
	}
	if bld.addOrder(Order{
		Verb:    Stage,
		Server:  srv.ID,
		Address: srv.Address,
		Model:   model,
	}) {
		bld.pln.staging[srv.ID] = pendingStage{
			model:     model,
			startTime: srv.StartTime,
			sentAt:    bld.now,
		}
		bld.pln.prefetchTokens--
		bld.takeLoadToken()
		bld.loads++
	}
}

// addOrder adds an order and returns true, unless the engine already has an order in this call or received the same one
// less than orderRetryInterval ago.
func (bld *orderBuilder) addOrder(ord Order) bool {
	if bld.hasOrder[ord.Server] {
		return false
	}
	last, ok := bld.pln.lastOrders[ord.Server]
	if ok && last.order.equivalent(&ord) && bld.now.Sub(last.at) < orderRetryInterval {
		return false
	}
	bld.hasOrder[ord.Server] = true
	bld.pln.lastOrders[ord.Server] = sentOrder{
		order: ord,
		at:    bld.now,
	}
	bld.orders = append(bld.orders, ord)
	return true
}

// recordHeads remembers the head of each group, so that members do not wait for a head that has moved to another group.
func (pln *Planner) recordHeads(viw View, now time.Time) {
	for _, srv := range viw.Registrations.Service(viw.Service) {
		if srv.Membership.State != serverregistry.NoGroup && srv.Membership.Rank == 0 {
			pln.lastHeads[srv.Membership.GroupEpoch()] = observedHead{
				server: srv.ID,
				at:     now,
			}
		}
	}
}

// stateRetention is the time for which orders and heads are remembered; it exceeds all timeouts of this package.
const stateRetention = 2 * time.Minute

func (pln *Planner) expireState(now time.Time) {
	for id, snt := range pln.lastOrders {
		if now.Sub(snt.at) > stateRetention {
			delete(pln.lastOrders, id)
		}
	}
	for id, until := range pln.joinBlockedUntil {
		if now.Sub(until) > stateRetention {
			delete(pln.joinBlockedUntil, id)
		}
	}
	for mbs, obh := range pln.lastHeads {
		if now.Sub(obh.at) > stateRetention {
			delete(pln.lastHeads, mbs)
		}
	}
	for mbs, since := range pln.closingSince {
		if now.Sub(since) > stateRetention {
			delete(pln.closingSince, mbs)
		}
	}
}
