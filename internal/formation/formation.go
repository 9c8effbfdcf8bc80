package formation

import (
	"slices"
	"time"

	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/roster"
)

const (
	// againAfter is the time after which an order without effect is given again: several times the way to an
	// engine and of its report through the store.
	againAfter = 1200 * time.Millisecond
	// finishFor is the time for which a closing group may complete its work before it is cut off: about that of a
	// long answer, and less than a VM that is leaving stays.
	finishFor = 6 * time.Second
	// loadBurst is the number of loads ahead of need that may start at once.
	loadBurst = 2
	// startBurst is the number of loads of any kind that may start at once: as many as the weight store tolerates
	// beyond its rate.
	startBurst = 3
	// stageAgain is the time after which weights that a host does not hold are loaded anew: longer than a load.
	stageAgain = 40 * time.Second
)

// View is what the orders follow from.
type View struct {
	Service     string
	Roster      *roster.View
	Allocations []group.Allocation
	// Spares holds what VMs without a group should hold ready, by VM.
	Spares map[string]Standby
	// Stages holds the models whose weights hosts should hold, by VM.
	Stages map[string]string
	// LoadRate is the number of loads ahead of need that may start per second, and MostLoads the number of loads in
	// progress above which none starts: more of them make each take longer.
	LoadRate  float64
	MostLoads int
	// StartRate is the number of loads of any kind that may start per second, 0 for no limit.
	StartRate float64
	// Memory holds the model whose weights a VM holds in memory, by VM; a VM that is missing may hold none.
	Memory map[string]string
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
	stall time.Duration
	given map[string]givenOrder
	// loads is the number of loads ahead of need that may start now, as of loadsAt.
	loads   float64
	loadsAt time.Time
	// starts is the number of loads of any kind that may start now, as of loadsAt. It is 0 at first: the controller
	// before this one may have started as many as it could.
	starts float64
	// holds say until when a VM must not join: the head of its former group may still be open.
	holds map[string]time.Time
	// staging holds the loads that hosts were told to do and have not reported, by VM.
	staging map[string]staging
	// heads holds the VM that was last seen as the head of a group.
	heads map[roster.Place]seenHead
	// closing holds since when heads are asked to close.
	closing map[roster.Place]time.Time
}

// staging is a load onto a host.
type staging struct {
	model string
	born  int64
	at    time.Time
}

type seenHead struct {
	server string
	at     time.Time
}

type givenOrder struct {
	order Order
	at    time.Time
}

// New returns a formation that has given no orders; stall is the time for which a group works on without a
// member, a margin included.
func New(stall time.Duration) *Formation {
	return &Formation{
		stall:   stall,
		given:   map[string]givenOrder{},
		holds:   map[string]time.Time{},
		staging: map[string]staging{},
		closing: map[roster.Place]time.Time{},
		heads:   map[roster.Place]seenHead{},
	}
}

// step is the making of one list of orders.
type step struct {
	frm    *Formation
	viw    View
	now    time.Time
	orders []Order
	asked  map[string]bool
	// again holds orders to load that were given before.
	again []Order
	// loading is the number of loads in progress.
	loading int
}

// Failed forgets an order that was not accepted, so that a load that did not begin is not waited for.
func (frm *Formation) Failed(ord Order) {
	if ord.Verb == Stage {
		delete(frm.staging, ord.Server)
	}
}

// Next returns the orders to give now.
func (frm *Formation) Next(viw View, now time.Time) []Order {
	stp := &step{
		frm:   frm,
		viw:   viw,
		now:   now,
		asked: map[string]bool{},
	}
	if !frm.loadsAt.IsZero() {
		frm.starts = min(frm.starts+viw.StartRate*now.Sub(frm.loadsAt).Seconds(), startBurst)
	}
	frm.loads = min(frm.loads+viw.LoadRate*now.Sub(frm.loadsAt).Seconds(), max(loadBurst, viw.LoadRate))
	frm.loadsAt = now
	frm.noteLoads(viw, now)
	stp.loading = frm.loading(viw)
	frm.noteHeads(viw, now)
	members := map[string]bool{}
	for _, alc := range viw.Allocations {
		for _, grp := range alc.Groups {
			for _, mem := range grp.Members {
				members[mem.VM] = true
			}
			stp.form(grp)
		}
	}
	stp.loadAgain()
	srvs := viw.Roster.Service(viw.Service)
	for _, srv := range srvs {
		if !members[srv.ID] {
			stp.free(srv)
		}
	}
	for _, srv := range srvs {
		stp.stage(srv)
	}
	frm.forget(now)
	return stp.orders
}

// form gives the orders for an allocated group.
func (stp *step) form(grp group.Group) {
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
			stp.cleared(head.Place, true)
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
		stp.give(Order{
			Verb:    Open,
			Server:  head.ID,
			Address: head.Address,
			Group:   grp.Name,
			Epoch:   grp.Fencing,
		})
	}
}

// join orders a VM into a group once it is free of its former one.
func (stp *step) join(grp group.Group, srv *roster.Server) {
	if !stp.freed(srv) {
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
	last, again := stp.frm.given[srv.ID]
	switch {
	case slices.Contains(srv.Staged, grp.Model) || stp.viw.Memory[srv.ID] == grp.Model:
		stp.give(ord)
	case again && last.order.same(&ord):
		stp.again = append(stp.again, ord)
	default:
		stp.load(ord)
	}
}

// load gives an order that makes a VM load weights, as far as the weight store's rate permits.
func (stp *step) load(ord Order) {
	if stp.mayStart() && stp.give(ord) {
		stp.start()
	}
}

// loadAgain repeats orders to load that were perhaps lost, the oldest first. They come after all others: the VMs that
// they are for may be out of reach for long.
func (stp *step) loadAgain() {
	slices.SortFunc(stp.again, func(one, two Order) int {
		return stp.frm.given[one.Server].at.Compare(stp.frm.given[two.Server].at)
	})
	for _, ord := range stp.again {
		stp.load(ord)
	}
}

// freed reports whether a VM may join another group, and orders what is missing for it.
func (stp *step) freed(srv *roster.Server) bool {
	if until, ok := stp.frm.holds[srv.ID]; ok && stp.now.Before(until) {
		return false
	}
	if srv.Place.State == roster.Alone {
		return true
	}
	if srv.Place.Rank == 0 {
		return stp.cleared(srv.Place, false)
	}
	if head, ok := stp.viw.Roster.Head(stp.viw.Service, srv.Place); ok {
		return stp.cleared(srv.Place, false) && stp.dissolved(head)
	}
	if old, ok := stp.frm.heads[srv.Place.Identity()]; ok {
		if _, ok := stp.viw.Roster.Server(old.server); ok {
			// The head is registered and in another group now.
			return true
		}
	}
	// The head is out of sight but may still be open. Without this member its group stops working.
	stp.frm.holds[srv.ID] = stp.now.Add(stp.frm.stall)
	stp.leave(srv)
	return false
}

// cleared reports whether the head of a group is neither open nor closing, and orders it to close.
func (stp *step) cleared(plc roster.Place, finish bool) bool {
	head, ok := stp.viw.Roster.Head(stp.viw.Service, plc)
	if !ok || (head.Place.State != roster.Open && head.Place.State != roster.Closing) {
		return true
	}
	since, ok := stp.frm.closing[head.Place.Identity()]
	if !ok {
		since = stp.now
		stp.frm.closing[head.Place.Identity()] = since
	}
	if finish && stp.now.Sub(since) > finishFor {
		finish = false
	}
	if head.Place.State == roster.Closing && finish {
		return false
	}
	stp.give(Order{
		Verb:    Close,
		Server:  head.ID,
		Address: head.Address,
		Group:   plc.Group,
		Epoch:   plc.Epoch,
		Finish:  finish,
	})
	return false
}

// dissolved reports whether a head that is not open can never be opened again in its group: it is broken, or has gone
// on. While it is merely closed, an earlier order to open it may still arrive.
func (stp *step) dissolved(head *roster.Server) bool {
	if head.Place.State == roster.Broken {
		return true
	}
	stp.leave(head)
	return false
}

func (stp *step) leave(srv *roster.Server) {
	stp.give(Order{
		Verb:    Leave,
		Server:  srv.ID,
		Address: srv.Address,
		Group:   srv.Place.Group,
		Epoch:   srv.Place.Epoch,
	})
}

// free takes a VM that is in no allocated group out of the group that it reports, and makes it hold ready what
// its domain may need.
func (stp *step) free(srv *roster.Server) {
	if IsStandby(srv) || srv.Draining {
		return
	}
	if srv.Place.State != roster.Alone {
		if stp.freed(srv) {
			stp.leave(srv)
		}
		return
	}
	spare, ok := stp.viw.Spares[srv.ID]
	loads := !slices.Contains(srv.Staged, spare.Model)
	if !ok || (loads && !stp.mayLoad()) {
		return
	}
	if stp.give(Order{
		Verb:    Join,
		Server:  srv.ID,
		Address: srv.Address,
		Group:   standbyPrefix + srv.ID,
		Epoch:   spare.Epoch,
		Model:   spare.Model,
		Members: []string{srv.ID},
	}) && loads {
		stp.frm.loads--
		stp.start()
		stp.loading++
	}
}

// mayLoad reports whether a load ahead of need may start now.
func (stp *step) mayLoad() bool {
	return stp.frm.loads >= 1 && stp.mayStart() && stp.loading < stp.viw.MostLoads
}

// mayStart reports whether the weight store's rate permits another load now.
func (stp *step) mayStart() bool {
	return stp.viw.StartRate == 0 || stp.frm.starts >= 1
}

// start counts a load against the weight store's rate while there is one.
func (stp *step) start() {
	if stp.viw.StartRate > 0 {
		stp.frm.starts--
	}
}

// noteLoads forgets the loads onto hosts that are done or were perhaps lost, so that weights which a host drops later are
// loaded again.
func (frm *Formation) noteLoads(viw View, now time.Time) {
	for id, stg := range frm.staging {
		srv, ok := viw.Roster.Server(id)
		if now.Sub(stg.at) > stageAgain || (ok && (stg.born != srv.Born || slices.Contains(srv.Staged, stg.model))) {
			delete(frm.staging, id)
		}
	}
}

// loading returns the number of loads in progress: of VMs that join without weights at hand, and onto hosts.
func (frm *Formation) loading(viw View) int {
	num := 0
	for _, srv := range viw.Roster.Service(viw.Service) {
		_, told := frm.staging[srv.ID]
		if told || (srv.Place.State == roster.Joining && len(srv.Staged) == 0) {
			num++
		}
	}
	return num
}

// stage loads weights onto the host of a VM that works, for the next group that it may be in.
func (stp *step) stage(srv *roster.Server) {
	model := stp.viw.Stages[srv.ID]
	settled := srv.Place.State == roster.Ready || srv.Place.State == roster.Open || srv.Place.State == roster.Alone
	if model == "" || !settled || srv.Draining || slices.Contains(srv.Staged, model) || !stp.mayLoad() {
		return
	}
	if _, ok := stp.frm.staging[srv.ID]; ok {
		return
	}
	if stp.give(Order{
		Verb:    Stage,
		Server:  srv.ID,
		Address: srv.Address,
		Model:   model,
	}) {
		stp.frm.staging[srv.ID] = staging{
			model: model,
			born:  srv.Born,
			at:    stp.now,
		}
		stp.frm.loads--
		stp.start()
		stp.loading++
	}
}

// give adds an order unless the engine was given the same a short time ago or another one in this step.
func (stp *step) give(ord Order) bool {
	if stp.asked[ord.Server] {
		return false
	}
	last, ok := stp.frm.given[ord.Server]
	if ok && last.order.same(&ord) && stp.now.Sub(last.at) < againAfter {
		return false
	}
	stp.asked[ord.Server] = true
	stp.frm.given[ord.Server] = givenOrder{
		order: ord,
		at:    stp.now,
	}
	stp.orders = append(stp.orders, ord)
	return true
}

// noteHeads remembers the heads of groups, so that one that went on to another group is not waited for.
func (frm *Formation) noteHeads(viw View, now time.Time) {
	for _, srv := range viw.Roster.Service(viw.Service) {
		if srv.Place.State != roster.Alone && srv.Place.Rank == 0 {
			frm.heads[srv.Place.Identity()] = seenHead{
				server: srv.ID,
				at:     now,
			}
		}
	}
}

// memory is the time for which given orders are remembered; it exceeds all waits above.
const memory = 2 * time.Minute

func (frm *Formation) forget(now time.Time) {
	for id, giv := range frm.given {
		if now.Sub(giv.at) > memory {
			delete(frm.given, id)
		}
	}
	for id, until := range frm.holds {
		if now.Sub(until) > memory {
			delete(frm.holds, id)
		}
	}
	for plc, hed := range frm.heads {
		if now.Sub(hed.at) > memory {
			delete(frm.heads, plc)
		}
	}
	for plc, since := range frm.closing {
		if now.Sub(since) > memory {
			delete(frm.closing, plc)
		}
	}
}
