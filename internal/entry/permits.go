package entry

import (
	"context"
	"time"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/permit"
)

// kindPermit is the kind of the call that requests slots from the owner of groups.
const kindPermit = "Permit"

// Policies that serve as baselines in benchmarks of the shared limits.
const (
	// policyPerRequest calls the group's owner for each request.
	policyPerRequest = "PerRequest"
	// policyStatic gives each daemon an equal share of each limit without calls between daemons.
	policyStatic = "Static"
)

// Run renews the daemon's slots and passes the reports of the groups that it owns to the limiter, until
// ctx ends.
func (lms *limits) Run(ctx context.Context) {
	go lms.watch(ctx)
	for ctx.Err() == nil {
		lms.renew(ctx, lms.groupNames())
		due := lms.clock.After(lms.settings.Limits.Renew)
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return
			case <-due:
				waiting = false
			case name := <-lms.renewals:
				lms.renew(ctx, lms.collectRenewals(name))
			}
		}
	}
}

// watch refreshes the limiter's view ten times within ValidFor, because the limiter assumes after a gap of
// more than half of ValidFor that the daemon was paused.
func (lms *limits) watch(ctx context.Context) {
	for ctx.Err() == nil {
		lms.refresh()
		select {
		case <-ctx.Done():
		case <-lms.clock.After(lms.settings.Limits.ValidFor / 10):
		}
	}
}

// collectRenewals returns name and the groups of all pending renewals, so that several requested renewals
// need one call.
func (lms *limits) collectRenewals(name string) []string {
	names := map[string]bool{name: true}
	for len(lms.renewals) > 0 {
		names[<-lms.renewals] = true
	}
	list := make([]string, 0, len(names))
	for name := range names {
		list = append(list, name)
	}
	return list
}

func (lms *limits) groupNames() []string {
	lms.mu.Lock()
	defer lms.mu.Unlock()
	list := make([]string, 0, len(lms.queues))
	for name := range lms.queues {
		list = append(list, name)
	}
	return list
}

// refresh passes the current membership, allocations and reports to the limiter and the queues.
func (lms *limits) refresh() {
	now := lms.clock.Now()
	names := daemonNames(lms.membership.Alive())
	if lms.settings.Limits.Policy == policyStatic {
		lms.limiter.UpdateView([]string{lms.settings.Entry.Name}, []string{lms.settings.Entry.Name}, 1, now)
	} else {
		lms.limiter.UpdateView(names, daemonNames(lms.membership.WithSameView()), max(lms.membership.KnownCount(), lms.listedDaemons()), now)
	}
	dissolved := map[string]bool{}
	for _, name := range lms.groupNames() {
		dissolved[name] = true
	}
	defer func() {
		for name := range dissolved {
			lms.limiter.DropGroup(name)
		}
	}()
	for _, alc := range lms.inventory.Allocations(lms.settings.Entry.AvailabilityZone) {
		for _, grp := range alc.Groups {
			if len(grp.Members) == 0 {
				continue
			}
			delete(dissolved, grp.Name)
			if lms.queue(grp.Name).RecordReport(lms.latestReport(grp)) {
				lms.router.ForgetReplica(grp.Name)
			}
			lms.observeGroup(grp, names, now)
		}
	}
}

func daemonNames(ids []peer.Identity) []string {
	names := make([]string, len(ids))
	for idx, ide := range ids {
		names[idx] = ide.Name
	}
	return names
}

// listedDaemons returns the number of live entry VMs of the zone in the platform's list, this one included.
// A daemon that has just started thereby counts those that it cannot reach.
func (lms *limits) listedDaemons() int {
	vms := lms.inventory.VMs()
	num := 1
	for _, vmc := range vms {
		if vmc.Role == objects.RoleEntry && vmc.AvailabilityZone == lms.settings.Entry.AvailabilityZone &&
			vmc.State == objects.VMLive && vmc.Name != lms.settings.Entry.Name {
			num++
		}
	}
	return num
}

func (lms *limits) owner(name string) peer.Identity {
	if lms.settings.Limits.Policy == policyStatic {
		return lms.mesh.Self()
	}
	return lms.membership.Owner("Permit/" + name)
}

// observeGroup passes the report of a group's rank 0 to the limiter if this daemon owns the group.
func (lms *limits) observeGroup(grp group.Group, alive []string, now time.Time) {
	if lms.owner(grp.Name).Name != lms.settings.Entry.Name {
		lms.limiter.DropGroup(grp.Name)
		return
	}
	ent, ok := lms.reports.Lookup(grp.Members[0].VM)
	if !ok || ent.Report.Group != grp.Name {
		return
	}
	cold := grp.ColdLimit
	if ent.Report.ColdLimit > 0 {
		cold = min(cold, ent.Report.ColdLimit)
	}
	rep := permit.GroupReport{
		Group:       grp.Name,
		Fencing:     ent.Report.Fencing,
		Incarnation: ent.Report.Incarnation,
		Cold:        ent.Report.State != backend.StateReady,
		ColdLimit:   cold,
		WarmLimit:   grp.WarmLimit,
		Running:     ent.Report.Running + ent.Report.Queued,
		AsOf:        ent.AsOf,
		Loading:     ent.Report.State == backend.StateLoading || ent.Report.State == backend.StateIdle,
	}
	if lms.settings.Limits.Policy == policyStatic {
		rep.ColdLimit = lms.staticShare(rep.ColdLimit, alive)
		rep.WarmLimit = lms.staticShare(rep.WarmLimit, alive)
	}
	lms.limiter.RecordReport(rep, now)
}

// staticShare returns this daemon's equal share of a limit. The remainder goes to the first daemons by name.
func (lms *limits) staticShare(limit int, alive []string) int {
	num := max(1, len(alive))
	share := limit / num
	for idx, name := range alive {
		if name == lms.settings.Entry.Name && idx < limit%num {
			share++
		}
	}
	return share
}

// renew requests slots for groups from their owners, with one call for each owner.
func (lms *limits) renew(ctx context.Context, names []string) {
	byOwner := map[peer.Identity]*permit.Request{}
	now := lms.clock.Now()
	for _, name := range names {
		ask, due := lms.queue(name).NextSlotRequest(name, now)
		if !due {
			continue
		}
		own := lms.owner(name)
		req, ok := byOwner[own]
		if !ok {
			req = &permit.Request{
				Instance: lms.instance,
			}
			byOwner[own] = req
		}
		req.SlotRequests = append(req.SlotRequests, ask)
	}
	lms.adoptCompleteView(ctx)
	for own, req := range byOwner {
		if own.Name == lms.settings.Entry.Name {
			lms.applyGrants(req, lms.grantSlots(own.Name, *req), now)
			continue
		}
		go lms.requestGrants(ctx, own, req)
	}
}

func (lms *limits) requestGrants(ctx context.Context, own peer.Identity, req *permit.Request) {
	// A later response would be of little use, since grants expire, and during the call the queue holds
	// back slots.
	ctx, cancel := context.WithTimeout(ctx, lms.settings.Limits.ValidFor/4)
	defer cancel()
	sentAt := lms.clock.Now()
	lms.metrics.calls.Inc(1)
	lms.metrics.requestedGroups.Inc(int64(len(req.SlotRequests)))
	var rsp permit.Response
	if err := lms.mesh.Call(ctx, own.Address, kindPermit, req, &rsp); err != nil {
		rsp = permit.Response{}
	}
	lms.applyGrants(req, rsp, sentAt)
}

// applyGrants passes the grants of an owner's answer to the queues. A queue whose group is not in the
// answer gets a nil grant.
func (lms *limits) applyGrants(req *permit.Request, rsp permit.Response, sentAt time.Time) {
	grants := make(map[string]*permit.Grant, len(rsp.Grants))
	for idx := range rsp.Grants {
		grants[rsp.Grants[idx].Group] = &rsp.Grants[idx]
	}
	now := lms.clock.Now()
	for _, ask := range req.SlotRequests {
		if more := lms.queue(ask.Group).ApplyGrant(grants[ask.Group], sentAt, now); more {
			lms.clock.AfterFunc(coldRenewDelay, func() { lms.requestRenewal(ask.Group) })
		}
	}
}

// coldRenewDelay is the time until the next call for a queue that waits at a cold replica. Such a replica
// has few slots, which move between daemons often.
const coldRenewDelay = 100 * time.Millisecond

// handlePermit answers a peer that requests slots of groups that this daemon owns.
func (lms *limits) handlePermit(_ context.Context, from peer.Identity, body []byte) (any, error) {
	var req permit.Request
	if err := peer.Decode(body, &req); err != nil {
		return nil, err
	}
	rsp := lms.grantSlots(from.Name, req)
	if req.IncludeCompleteView {
		rsp.LastCompleteView = lms.limiter.LastCompleteView()
	}
	return rsp, nil
}

func (lms *limits) grantSlots(holder string, req permit.Request) permit.Response {
	now := lms.clock.Now()
	var rsp permit.Response
	for _, ask := range req.SlotRequests {
		if grt, ok := lms.limiter.Grant(holder, req.Instance, ask, now); ok {
			rsp.Grants = append(rsp.Grants, grt)
		}
	}
	return rsp
}

// adoptCompleteView asks the peers for their last complete view of the zone while this daemon has none. Limits
// are divided by the daemons of that view while the current view is incomplete.
func (lms *limits) adoptCompleteView(ctx context.Context) {
	if lms.settings.Limits.Policy == policyStatic || len(lms.limiter.LastCompleteView()) > 0 {
		return
	}
	for _, ide := range lms.membership.Alive() {
		if ide.Name == lms.settings.Entry.Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, lms.settings.Limits.ValidFor/4)
			defer cancel()
			var rsp permit.Response
			req := permit.Request{
				Instance:            lms.instance,
				IncludeCompleteView: true,
			}
			if err := lms.mesh.Call(ctx, ide.Address, kindPermit, req, &rsp); err == nil {
				lms.limiter.AdoptCompleteView(rsp.LastCompleteView)
			}
		}()
	}
}
