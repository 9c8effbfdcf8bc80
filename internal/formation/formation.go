package formation

import (
	"slices"
	"time"

	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/roster"
)

const (
	// orderRetryInterval is the time after which an order without effect is given again: several times the way to an
	// engine and of its report through the store.
	orderRetryInterval = 1200 * time.Millisecond
	// drainTimeout is the time for which a closing group may complete its work before it is cut off: about that of a
	// long answer, and less than a VM that is leaving stays.
	drainTimeout = 6 * time.Second
	// prefetchBurst is the number of loads ahead of need that may start at once.
	prefetchBurst = 2
	// totalLoadBurst is the number of loads of any kind that may start at once: as many as the weight store tolerates
	// beyond its rate.
	totalLoadBurst = 3
	// stageTimeout is the time after which weights that a host does not hold are loaded anew: longer than a load.
	stageTimeout = 40 * time.Second
)

// View is what the orders follow from.
type View struct {
	Service     string
	Roster      *roster.View
	Allocations []group.Allocation
	// Spares holds what VMs without a group should hold ready, by VM.
	Spares map[string]Standby
	// HostModels holds the models whose weights hosts should hold, by VM.
	HostModels map[string]string
	// PrefetchRate is the number of loads ahead of need that may start per second, and MostLoads the number of loads in
	// progress above which none starts: more of them make each take longer.
	PrefetchRate float64
	MaxLoads     int
	// TotalLoadRate is the number of loads of any kind that may start per second, 0 for no limit.
	TotalLoadRate float64
	// InMemory holds the model whose weights a VM holds in memory, by VM; a VM that is missing may hold none.
	InMemory map[string]string
}

// Standby is what a spare VM holds ready.
type Standby struct {
	Model string
	// Epoch is the latest epoch of the VM's domain, so that any later group has a higher one.
	Epoch uint64
}

// standbyPrefix starts the name of the group that a spare VM forms by itself. It is never opened; a VM in it
// holds the weights in memory, so that it joins a group of the model in a fraction of the time.
const standbyPrefix = "standby-"

// IsStandby reports whether a VM is a spare that holds weights ready.
func IsStandby(srv *roster.Server) bool {
	return srv.Place.State != roster.Alone && srv.Place.Group == standbyPrefix+srv.ID
}

// Formation gives the orders of one controller.
type Formation struct {
	// stall is the time for which a group works on without a member, a margin included.
	stall      time.Duration
	lastOrders map[string]sentOrder
	// prefetchTokens is the number of loads ahead of need that may start now, as of loadsAt.
	prefetchTokens float64
	refilledAt     time.Time
	// loadTokens is the number of loads of any kind that may start now, as of loadsAt. It is 0 at first: the controller
	// before this one may have started as many as it could.
	loadTokens float64
	// joinBlockedUntil say until when a VM must not join: the head of its former group may still be open.
	joinBlockedUntil map[string]time.Time
	// staging holds the loads that hosts were told to do and have not reported, by VM.
	staging map[string]pendingStage
	// lastHeads holds the VM that was last seen as the head of a group.
	lastHeads map[roster.Place]observedHead
	// closingSince holds since when heads are asked to close.
	closingSince map[roster.Place]time.Time
}

// pendingStage is a load onto a host.
type pendingStage struct {
	model  string
	born   int64
	sentAt time.Time
}

type observedHead struct {
	server string
	at     time.Time
}

type sentOrder struct {
	order Order
	at    time.Time
}

// New returns a formation that has given no orders; stall is the time for which a group works on without a
// member, a margin included.
func New(stall time.Duration) *Formation {
	return &Formation{
		stall:            stall,
		lastOrders:       map[string]sentOrder{},
		joinBlockedUntil: map[string]time.Time{},
		staging:          map[string]pendingStage{},
		closingSince:     map[roster.Place]time.Time{},
		lastHeads:        map[roster.Place]observedHead{},
	}
}

// orderBuilder is the making of one list of orders.
type orderBuilder struct {
	frm     *Formation
	viw     View
	now     time.Time
	orders  []Order
	ordered map[string]bool
	// retries holds orders to load that were given before.
	retries []Order
	// loads is the number of loads in progress.
	loads int
}

// OrderFailed forgets an order that was not accepted, so that a load that did not begin is not waited for.
func (frm *Formation) OrderFailed(ord Order) {
	if ord.Verb == Stage {
		delete(frm.staging, ord.Server)
	}
}

// NextOrders returns the orders to give now.
func (frm *Formation) NextOrders(viw View, now time.Time) []Order {
	stp := &orderBuilder{
		frm:     frm,
		viw:     viw,
		now:     now,
		ordered: map[string]bool{},
	}
	if !frm.refilledAt.IsZero() {
		frm.loadTokens = min(frm.loadTokens+viw.TotalLoadRate*now.Sub(frm.refilledAt).Seconds(), totalLoadBurst)
	}
	frm.prefetchTokens = min(frm.prefetchTokens+viw.PrefetchRate*now.Sub(frm.refilledAt).Seconds(), max(prefetchBurst, viw.PrefetchRate))
	frm.refilledAt = now
	frm.expireStaging(viw, now)
	stp.loads = frm.loadsInProgress(viw)
	frm.recordHeads(viw, now)
	members := map[string]bool{}
	for _, alc := range viw.Allocations {
		for _, grp := range alc.Groups {
			for _, mem := range grp.Members {
				members[mem.VM] = true
			}
			stp.formGroup(grp)
		}
	}
	stp.retryLoads()
	srvs := viw.Roster.Service(viw.Service)
	for _, srv := range srvs {
		if !members[srv.ID] {
			stp.handleUnallocated(srv)
		}
	}
	for _, srv := range srvs {
		stp.stageOnHost(srv)
	}
	frm.expireState(now)
	return stp.orders
}

// formGroup gives the orders for an allocated group.
func (stp *orderBuilder) formGroup(grp group.Group) {
	if len(grp.Members) == 0 {
		return
	}
	want := roster.Place{
		Group: grp.Name,
		Epoch: grp.Fencing,
	}
	head, ok := stp.viw.Roster.Server(grp.Members[0].VM)
	if ok && grp.Draining {
		if head.Place.Same(want) {
			stp.headClosed(head.Place, true)
		}
		return
	}
	ready := 0
	for rnk, mem := range grp.Members {
		srv, ok := stp.viw.Roster.Server(mem.VM)
		if !ok {
			continue
		}
		if srv.Place.Same(want) && srv.Place.State != roster.Alone && srv.Place.Rank == rnk {
			if srv.Place.State != roster.Joining {
				ready++
			}
			continue
		}
		if head != nil && head.Place.Same(want) && head.Place.State == roster.Open {
			// The group is broken; it is formed anew with a new epoch.
			continue
		}
		stp.join(grp, srv)
	}
	if ok && ready == len(grp.Members) && head.Place.State == roster.Ready {
		stp.addOrder(Order{
			Verb:    Open,
			Server:  head.ID,
			Address: head.Address,
			Group:   grp.Name,
			Epoch:   grp.Fencing,
		})
	}
}

// join orders a VM into a group once it is free of its former one.
func (stp *orderBuilder) join(grp group.Group, srv *roster.Server) {
	if !stp.readyToJoin(srv) {
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
	last, again := stp.frm.lastOrders[srv.ID]
	switch {
	case slices.Contains(srv.Staged, grp.Model) || stp.viw.InMemory[srv.ID] == grp.Model:
		stp.addOrder(ord)
	case again && last.order.equivalent(&ord):
		stp.retries = append(stp.retries, ord)
	default:
		stp.startLoad(ord)
	}
}

// startLoad gives an order that makes a VM load weights, as far as the weight store's rate permits.
func (stp *orderBuilder) startLoad(ord Order) {
	if stp.hasLoadToken() && stp.addOrder(ord) {
		stp.takeLoadToken()
	}
}

// retryLoads repeats orders to load that were perhaps lost, the oldest first. They come after all others: the VMs that
// they are for may be out of reach for long.
func (stp *orderBuilder) retryLoads() {
	slices.SortFunc(stp.retries, func(one, two Order) int {
		return stp.frm.lastOrders[one.Server].at.Compare(stp.frm.lastOrders[two.Server].at)
	})
	for _, ord := range stp.retries {
		stp.startLoad(ord)
	}
}

// readyToJoin reports whether a VM may join another group, and orders what is missing for it.
func (stp *orderBuilder) readyToJoin(srv *roster.Server) bool {
	if until, ok := stp.frm.joinBlockedUntil[srv.ID]; ok && stp.now.Before(until) {
		return false
	}
	if srv.Place.State == roster.Alone {
		return true
	}
	if srv.Place.Rank == 0 {
		return stp.headClosed(srv.Place, false)
	}
	if head, ok := stp.viw.Roster.Head(stp.viw.Service, srv.Place); ok {
		return stp.headClosed(srv.Place, false) && stp.cannotReopen(head)
	}
	if old, ok := stp.frm.lastHeads[srv.Place.Identity()]; ok {
		if _, ok := stp.viw.Roster.Server(old.server); ok {
			// The head is registered and in another group now.
			return true
		}
	}
	// The head is out of sight but may still be open. Without this member its group stops working.
	stp.frm.joinBlockedUntil[srv.ID] = stp.now.Add(stp.frm.stall)
	stp.leave(srv)
	return false
}

// headClosed reports whether the head of a group is neither open nor closing, and orders it to close.
func (stp *orderBuilder) headClosed(plc roster.Place, finish bool) bool {
	head, ok := stp.viw.Roster.Head(stp.viw.Service, plc)
	if !ok || (head.Place.State != roster.Open && head.Place.State != roster.Closing) {
		return true
	}
	since, ok := stp.frm.closingSince[head.Place.Identity()]
	if !ok {
		since = stp.now
		stp.frm.closingSince[head.Place.Identity()] = since
	}
	if finish && stp.now.Sub(since) > drainTimeout {
		finish = false
	}
	if head.Place.State == roster.Closing && finish {
		return false
	}
	stp.addOrder(Order{
		Verb:    Close,
		Server:  head.ID,
		Address: head.Address,
		Group:   plc.Group,
		Epoch:   plc.Epoch,
		Finish:  finish,
	})
	return false
}

// cannotReopen reports whether a head that is not open can never be opened again in its group: it is broken, or has gone
// on. While it is merely closed, an earlier order to open it may still arrive.
func (stp *orderBuilder) cannotReopen(head *roster.Server) bool {
	if head.Place.State == roster.Broken {
		return true
	}
	stp.leave(head)
	return false
}

func (stp *orderBuilder) leave(srv *roster.Server) {
	stp.addOrder(Order{
		Verb:    Leave,
		Server:  srv.ID,
		Address: srv.Address,
		Group:   srv.Place.Group,
		Epoch:   srv.Place.Epoch,
	})
}

// handleUnallocated takes a VM that is in no allocated group out of the group that it reports, and makes it hold ready what
// its domain may need.
func (stp *orderBuilder) handleUnallocated(srv *roster.Server) {
	if IsStandby(srv) || srv.Draining {
		return
	}
	if srv.Place.State != roster.Alone {
		if stp.readyToJoin(srv) {
			stp.leave(srv)
		}
		return
	}
	spare, ok := stp.viw.Spares[srv.ID]
	loads := !slices.Contains(srv.Staged, spare.Model)
	if !ok || (loads && !stp.mayPrefetch()) {
		return
	}
	if stp.addOrder(Order{
		Verb:    Join,
		Server:  srv.ID,
		Address: srv.Address,
		Group:   standbyPrefix + srv.ID,
		Epoch:   spare.Epoch,
		Model:   spare.Model,
		Members: []string{srv.ID},
	}) && loads {
		stp.frm.prefetchTokens--
		stp.takeLoadToken()
		stp.loads++
	}
}

// mayPrefetch reports whether a load ahead of need may start now.
func (stp *orderBuilder) mayPrefetch() bool {
	return stp.frm.prefetchTokens >= 1 && stp.hasLoadToken() && stp.loads < stp.viw.MaxLoads
}

// hasLoadToken reports whether the weight store's rate permits another load now.
func (stp *orderBuilder) hasLoadToken() bool {
	return stp.viw.TotalLoadRate == 0 || stp.frm.loadTokens >= 1
}

// takeLoadToken counts a load against the weight store's rate while there is one.
func (stp *orderBuilder) takeLoadToken() {
	if stp.viw.TotalLoadRate > 0 {
		stp.frm.loadTokens--
	}
}

// expireStaging forgets the loads onto hosts that are done or were perhaps lost, so that weights which a host drops later are
// loaded again.
func (frm *Formation) expireStaging(viw View, now time.Time) {
	for id, stg := range frm.staging {
		srv, ok := viw.Roster.Server(id)
		if now.Sub(stg.sentAt) > stageTimeout || (ok && (stg.born != srv.Born || slices.Contains(srv.Staged, stg.model))) {
			delete(frm.staging, id)
		}
	}
}

// loadsInProgress returns the number of loads in progress: of VMs that join without weights at hand, and onto hosts.
func (frm *Formation) loadsInProgress(viw View) int {
	num := 0
	for _, srv := range viw.Roster.Service(viw.Service) {
		_, told := frm.staging[srv.ID]
		if told || (srv.Place.State == roster.Joining && len(srv.Staged) == 0) {
			num++
		}
	}
	return num
}

// stageOnHost loads weights onto the host of a VM that works, for the next group that it may be in.
func (stp *orderBuilder) stageOnHost(srv *roster.Server) {
	model := stp.viw.HostModels[srv.ID]
	settled := srv.Place.State == roster.Ready || srv.Place.State == roster.Open || srv.Place.State == roster.Alone
	if model == "" || !settled || srv.Draining || slices.Contains(srv.Staged, model) || !stp.mayPrefetch() {
		return
	}
	if _, ok := stp.frm.staging[srv.ID]; ok {
		return
	}
	if stp.addOrder(Order{
		Verb:    Stage,
		Server:  srv.ID,
		Address: srv.Address,
		Model:   model,
	}) {
		stp.frm.staging[srv.ID] = pendingStage{
			model:  model,
			born:   srv.Born,
			sentAt: stp.now,
		}
		stp.frm.prefetchTokens--
		stp.takeLoadToken()
		stp.loads++
	}
}

// addOrder adds an order unless the engine was given the same a short time ago or another one in this step.
func (stp *orderBuilder) addOrder(ord Order) bool {
	if stp.ordered[ord.Server] {
		return false
	}
	last, ok := stp.frm.lastOrders[ord.Server]
	if ok && last.order.equivalent(&ord) && stp.now.Sub(last.at) < orderRetryInterval {
		return false
	}
	stp.ordered[ord.Server] = true
	stp.frm.lastOrders[ord.Server] = sentOrder{
		order: ord,
		at:    stp.now,
	}
	stp.orders = append(stp.orders, ord)
	return true
}

// recordHeads remembers the heads of groups, so that one that went on to another group is not waited for.
func (frm *Formation) recordHeads(viw View, now time.Time) {
	for _, srv := range viw.Roster.Service(viw.Service) {
		if srv.Place.State != roster.Alone && srv.Place.Rank == 0 {
			frm.lastHeads[srv.Place.Identity()] = observedHead{
				server: srv.ID,
				at:     now,
			}
		}
	}
}

// stateRetention is the time for which given orders are remembered; it exceeds all waits above.
const stateRetention = 2 * time.Minute

func (frm *Formation) expireState(now time.Time) {
	for id, giv := range frm.lastOrders {
		if now.Sub(giv.at) > stateRetention {
			delete(frm.lastOrders, id)
		}
	}
	for id, until := range frm.joinBlockedUntil {
		if now.Sub(until) > stateRetention {
			delete(frm.joinBlockedUntil, id)
		}
	}
	for plc, hed := range frm.lastHeads {
		if now.Sub(hed.at) > stateRetention {
			delete(frm.lastHeads, plc)
		}
	}
	for plc, since := range frm.closingSince {
		if now.Sub(since) > stateRetention {
			delete(frm.closingSince, plc)
		}
	}
}
