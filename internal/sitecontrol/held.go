package sitecontrol

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/groupliveness"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

// heldGroup is a group that is not repaired although members are unregistered, because it is alive.
type heldGroup struct {
	group        group.Group
	unregistered int
	since        time.Time
	// released is set once the group is to be drained and repaired.
	released bool
}

// findHeld records the groups of a model with unregistered members that are alive, or whose next byte is still due. Their
// members do not count as lost.
func (sit *siteState) findHeld(lastByte func(server string, now time.Time) time.Time) {
	models := map[string]*route.Model{}
	for idx := range sit.svc.Engine.Models {
		models[sit.svc.Engine.Models[idx].Name] = &sit.svc.Engine.Models[idx]
	}
	for idx := range sit.domains {
		alc, _ := sit.inv.Allocation(sit.domains[idx].Name)
		for _, grp := range alc.Groups {
			if mod := models[grp.Model]; mod != nil && len(grp.Members) > 0 {
				sit.hold(grp, mod, lastByte)
			}
		}
	}
}

// hold records a group as held if it is alive with unregistered members.
func (sit *siteState) hold(grp group.Group, mod *route.Model, lastByte func(server string, now time.Time) time.Time) {
	own := membership(grp)
	ums := sit.reg.UnregisteredMembers(own)
	head, ok := sit.reg.Server(grp.Members[0].VM)
	if ums.Number == 0 || !ok || !head.Membership.SameGroup(own) {
		return
	}
	liv := groupliveness.Group{
		Members:      len(grp.Members),
		Registered:   sit.reg.ReadyMembers(own),
		Unregistered: ums.Number,
		RemovedAt:    ums.RemovedAt,
		HeadOpen: head.Membership.State == serverregistry.Open ||
			// A group that is released for repair completes its requests first.
			(head.Membership.State == serverregistry.Closing && sit.isReleased(grp)),
		Draining:   sit.reg.HasDrainingMember(own),
		LastByte:   func() time.Time { return lastByte(head.ID, sit.now) },
		MaxSilence: groupliveness.MaxSilence(sit.svc.Engine, mod),
	}
	ver := liv.Verdict(sit.now)
	if ver == groupliveness.Lost {
		return
	}
	sit.held[own] = heldGroup{
		group:        grp,
		unregistered: ums.Number,
		since:        sit.now,
	}
	if ver == groupliveness.Alive {
		sit.confirmed[own] = true
	}
}

// membership returns what the members of a group have in common.
func membership(grp group.Group) serverregistry.Membership {
	return serverregistry.Membership{
		Group: grp.Name,
		Epoch: grp.Fencing,
	}
}

// isHeld reports whether a group is alive with unregistered members.
func (sit *siteState) isHeld(grp group.Group) bool {
	_, ok := sit.held[membership(grp)]
	return ok
}

// heldMembers returns the unregistered members of the held groups as they were last registered, ordered by ID.
func (sit *siteState) heldMembers() []*serverregistry.Server {
	var srvs []*serverregistry.Server
	for _, hel := range sit.held {
		for _, mem := range hel.group.Members {
			if srv, ok := sit.reg.LastSeen(mem.VM); ok {
				srvs = append(srvs, srv)
			}
		}
	}
	slices.SortFunc(srvs, func(fst, snd *serverregistry.Server) int { return strings.Compare(fst.ID, snd.ID) })
	return srvs
}

// updateHeld records which groups are held, and logs each change with its cause. It reports the number of held groups.
func (ctr *Controller) updateHeld(sit *siteState) {
	held := ctr.obs.held[sit.svc.Name]
	for own, hel := range held {
		if _, ok := sit.held[own]; ok {
			continue
		}
		delete(held, own)
		fields := append(hel.fields(), zap.Duration("heldFor", sit.now.Sub(hel.since)))
		switch {
		case sit.isRegistered(hel.group):
			ctr.log.Info("all members of a held group are registered again", fields...)
		case hel.released:
			ctr.log.Info("a held group is drained; replacing its unregistered members", fields...)
		default:
			ctr.deps.ReportHeldLost()
			ctr.log.Info("a held group is lost: it sends nothing, or a member or the head left it", fields...)
		}
	}
	for own, hel := range sit.held {
		if _, ok := held[own]; ok || !sit.confirmed[own] {
			continue
		}
		held[own] = hel
		ctr.log.Info("holding a group: it sends tokens although members are not registered", hel.fields()...)
	}
	num := 0
	for _, grps := range ctr.obs.held {
		num += len(grps)
	}
	ctr.deps.ReportHeld(num)
}

// isRegistered reports whether all members of a group are registered as ready in it.
func (sit *siteState) isRegistered(grp group.Group) bool {
	return sit.reg.ReadyMembers(membership(grp)) >= len(grp.Members)
}

func (hel *heldGroup) fields() []zap.Field {
	return []zap.Field{
		zap.String("group", hel.group.Name),
		zap.Uint64("epoch", hel.group.Fencing),
		zap.String("model", hel.group.Model),
		zap.Int("unregistered", hel.unregistered),
	}
}
