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

// kindPermit is the kind of the call that asks the owner of groups for slots.
const kindPermit = "Permit"

// Baselines that the shared limits are measured against.
const (
	// policyPerRequest asks the owner for each request.
	policyPerRequest = "PerRequest"
	// policyStatic gives each daemon an equal share of each limit, without any call.
	policyStatic = "Static"
)

// Run renews the daemon's slots and follows the groups that it owns, until ctx ends.
func (lms *limits) Run(ctx context.Context) {
	go lms.watch(ctx)
	for ctx.Err() == nil {
		lms.renew(ctx, lms.names())
		due := lms.clk.After(lms.set.Limits.Renew)
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return
			case <-due:
				waiting = false
			case name := <-lms.kicks:
				lms.renew(ctx, lms.kicked(name))
			}
		}
	}
}

// watch keeps the limiter's view young: after a gap it takes the daemon for one that was paused.
func (lms *limits) watch(ctx context.Context) {
	for ctx.Err() == nil {
		lms.refresh()
		select {
		case <-ctx.Done():
		case <-lms.clk.After(lms.set.Limits.ValidFor / 10):
		}
	}
}

// kicked returns the groups to ask for now, so that several kicks make one call.
func (lms *limits) kicked(name string) []string {
	names := map[string]bool{name: true}
	for len(lms.kicks) > 0 {
		names[<-lms.kicks] = true
	}
	list := make([]string, 0, len(names))
	for name := range names {
		list = append(list, name)
	}
	return list
}

func (lms *limits) names() []string {
	lms.mu.Lock()
	defer lms.mu.Unlock()
	list := make([]string, 0, len(lms.queues))
	for name := range lms.queues {
		list = append(list, name)
	}
	return list
}

// refresh tells the limiter and the queues what the daemon knows now.
func (lms *limits) refresh() {
	now := lms.clk.Now()
	names := namesOf(lms.mbs.Alive())
	if lms.set.Limits.Policy == policyStatic {
		lms.lim.See([]string{lms.set.Entry.Name}, []string{lms.set.Entry.Name}, 1, now)
	} else {
		lms.lim.See(names, namesOf(lms.mbs.Agreeing()), max(lms.mbs.Known(), lms.listed()), now)
	}
	dissolved := map[string]bool{}
	for _, name := range lms.names() {
		dissolved[name] = true
	}
	defer func() {
		for name := range dissolved {
			lms.lim.Disown(name)
		}
	}()
	for _, alc := range lms.inv.Allocations(lms.set.Entry.AvailabilityZone) {
		for _, grp := range alc.Groups {
			if len(grp.Members) == 0 {
				continue
			}
			delete(dissolved, grp.Name)
			if lms.queue(grp.Name).See(lms.sight(grp)) {
				lms.rtr.Lost(grp.Name)
			}
			lms.observe(grp, names, now)
		}
	}
}

func namesOf(ids []peer.Identity) []string {
	names := make([]string, len(ids))
	for idx, ide := range ids {
		names[idx] = ide.Name
	}
	return names
}

// listed counts the zone's entry VMs on the platform's list, this one included, so that a daemon that
// has just started knows of those that it cannot reach.
func (lms *limits) listed() int {
	vms := lms.inv.VMs()
	num := 1
	for _, vmc := range vms {
		if vmc.Role == objects.RoleEntry && vmc.AvailabilityZone == lms.set.Entry.AvailabilityZone &&
			vmc.State == objects.VMLive && vmc.Name != lms.set.Entry.Name {
			num++
		}
	}
	return num
}

func (lms *limits) owner(name string) peer.Identity {
	if lms.set.Limits.Policy == policyStatic {
		return lms.msh.Self()
	}
	return lms.mbs.Owner("Permit/" + name)
}

// observe passes the report of a group's rank 0 to the limiter if the daemon owns the group.
func (lms *limits) observe(grp group.Group, alive []string, now time.Time) {
	if lms.owner(grp.Name).Name != lms.set.Entry.Name {
		lms.lim.Disown(grp.Name)
		return
	}
	ent, ok := lms.tab.Lookup(grp.Members[0].VM)
	if !ok || ent.Report.Group != grp.Name {
		return
	}
	cold := grp.ColdLimit
	if ent.Report.ColdLimit > 0 {
		cold = min(cold, ent.Report.ColdLimit)
	}
	obs := permit.Observation{
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
	if lms.set.Limits.Policy == policyStatic {
		obs.ColdLimit = lms.staticShare(obs.ColdLimit, alive)
		obs.WarmLimit = lms.staticShare(obs.WarmLimit, alive)
	}
	lms.lim.Observe(obs, now)
}

// staticShare divides a limit equally; the first daemons by name get what is left over.
func (lms *limits) staticShare(limit int, alive []string) int {
	num := max(1, len(alive))
	share := limit / num
	for idx, name := range alive {
		if name == lms.set.Entry.Name && idx < limit%num {
			share++
		}
	}
	return share
}

// renew asks the owners of some groups for slots, with one call for each owner.
func (lms *limits) renew(ctx context.Context, names []string) {
	byOwner := map[peer.Identity]*permit.Request{}
	now := lms.clk.Now()
	for _, name := range names {
		ask, due := lms.queue(name).Ask(name, now)
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
		req.Asks = append(req.Asks, ask)
	}
	lms.adoptRoll(ctx)
	for own, req := range byOwner {
		if own.Name == lms.set.Entry.Name {
			lms.take(req, lms.grant(own.Name, *req), now)
			continue
		}
		go lms.call(ctx, own, req)
	}
}

func (lms *limits) call(ctx context.Context, own peer.Identity, req *permit.Request) {
	// An answer that is later than this would be of little use, and the queue holds back slots meanwhile.
	ctx, cancel := context.WithTimeout(ctx, lms.set.Limits.ValidFor/4)
	defer cancel()
	sentAt := lms.clk.Now()
	lms.met.calls.Inc(1)
	lms.met.asks.Inc(int64(len(req.Asks)))
	var ans permit.Answer
	if err := lms.msh.Call(ctx, own.Address, kindPermit, req, &ans); err != nil {
		ans = permit.Answer{}
	}
	lms.take(req, ans, sentAt)
}

// take hands the grants of an answer to the queues.
func (lms *limits) take(req *permit.Request, ans permit.Answer, sentAt time.Time) {
	grants := make(map[string]*permit.Grant, len(ans.Grants))
	for idx := range ans.Grants {
		grants[ans.Grants[idx].Group] = &ans.Grants[idx]
	}
	now := lms.clk.Now()
	for _, ask := range req.Asks {
		if more := lms.queue(ask.Group).Take(grants[ask.Group], sentAt, now); more {
			lms.clk.AfterFunc(askAgain, func() { lms.kick(ask.Group) })
		}
	}
}

// askAgain spaces calls for a queue that waits at a cold replica, whose few slots change hands often.
const askAgain = 100 * time.Millisecond

// answer gives slots to a peer.
func (lms *limits) answer(_ context.Context, from peer.Identity, body []byte) (any, error) {
	var req permit.Request
	if err := peer.Decode(body, &req); err != nil {
		return nil, err
	}
	ans := lms.grant(from.Name, req)
	if req.WantRoll {
		ans.Roll = lms.lim.Roll()
	}
	return ans, nil
}

func (lms *limits) grant(holder string, req permit.Request) permit.Answer {
	now := lms.clk.Now()
	var ans permit.Answer
	for _, ask := range req.Asks {
		if grt, ok := lms.lim.Grant(holder, req.Instance, ask, now); ok {
			ans.Grants = append(ans.Grants, grt)
		}
	}
	return ans
}

// adoptRoll asks the peers for a roll while the daemon has none.
func (lms *limits) adoptRoll(ctx context.Context) {
	if lms.set.Limits.Policy == policyStatic || len(lms.lim.Roll()) > 0 {
		return
	}
	for _, ide := range lms.mbs.Alive() {
		if ide.Name == lms.set.Entry.Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, lms.set.Limits.ValidFor/4)
			defer cancel()
			var ans permit.Answer
			req := permit.Request{
				Instance: lms.instance,
				WantRoll: true,
			}
			if err := lms.msh.Call(ctx, ide.Address, kindPermit, req, &ans); err == nil {
				lms.lim.Adopt(ans.Roll)
			}
		}()
	}
}
