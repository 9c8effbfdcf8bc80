package sitecontrol

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/orderplan"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

const (
	// releaseDelay is the time for which a group is held before it is repaired: twice the time until a registration
	// expires, since engines that were cut off from the store for a short time register again sooner.
	releaseDelay = 2 * serverregistry.ExpiryTime
	// maxUtilization is the share of the VMs of the remaining groups that the measured work may keep busy when more than
	// one group of a model is repaired at a time. The rest is for variations of the load.
	maxUtilization = 0.75
)

// releaseHeld releases groups that have been held for releaseDelay for repair: they are drained, then their unregistered
// members are replaced by spares that have the weights at hand. It releases one group of a model at a time, and more only
// while the remaining ones carry the measured work.
func (ctr *Controller) releaseHeld(sit *siteState) {
	held := ctr.obs.held[sit.svc.Name]
	for idx := range sit.svc.Engine.Models {
		mod := &sit.svc.Engine.Models[idx]
		serving, inRepair := sit.countGroups(mod.Name)
		for _, own := range sit.releasable(held, mod) {
			remaining := float64((serving-1)*mod.VMs) * maxUtilization
			if inRepair > 0 && sit.demand[mod.Name] > remaining {
				break
			}
			serving--
			inRepair++
			hel := held[own]
			hel.released = true
			held[own] = hel
			ctr.log.Info("releasing a held group for repair by spares",
				append(hel.fields(), zap.Duration("heldFor", sit.now.Sub(hel.since)), zap.Float64("busyVMs", sit.demand[mod.Name]))...)
		}
	}
}

// countGroups returns how many groups of a model serve, and how many are being formed, repaired or dissolved.
func (sit *siteState) countGroups(model string) (serving, others int) {
	for idx := range sit.domains {
		alc, _ := sit.inv.Allocation(sit.domains[idx].Name)
		for _, grp := range alc.Groups {
			switch {
			case grp.Model != model:
			case sit.serves(grp) && !sit.isReleased(grp):
				serving++
			default:
				others++
			}
		}
	}
	return serving, others
}

// releasable returns the held groups of a model that have been held for releaseDelay and whose domains have spares for
// their unregistered members, those held longest first.
func (sit *siteState) releasable(held map[serverregistry.Membership]heldGroup, mod *route.Model) []serverregistry.Membership {
	var owns []serverregistry.Membership
	for own, hel := range held {
		if hel.group.Model == mod.Name && !hel.released && sit.now.Sub(hel.since) >= releaseDelay {
			owns = append(owns, own)
		}
	}
	slices.SortFunc(owns, func(fst, snd serverregistry.Membership) int {
		return cmp.Or(held[fst].since.Compare(held[snd].since), cmp.Compare(fst.Group, snd.Group))
	})
	spares := sit.sparesByDomain(mod.Name)
	return slices.DeleteFunc(owns, func(own serverregistry.Membership) bool {
		hel := held[own]
		head, ok := sit.reg.Server(hel.group.Members[0].VM)
		if !ok || spares[head.FabricDomain] < hel.unregistered {
			return true
		}
		spares[head.FabricDomain] -= hel.unregistered
		return false
	})
}

// sparesByDomain returns the number of VMs in no group that have the weights of a model at hand, by domain.
func (sit *siteState) sparesByDomain(model string) map[string]int {
	members := sit.memberModels()
	spares := map[string]int{}
	for _, srv := range sit.reg.Service(sit.svc.Name) {
		free := srv.Membership.State == serverregistry.NoGroup || orderplan.IsStandby(srv)
		if free && !srv.Draining && members[srv.ID] == "" && slices.Contains(sit.localModels(srv), model) {
			spares[srv.FabricDomain]++
		}
	}
	return spares
}

// isReleased reports whether a held group is released for repair.
func (sit *siteState) isReleased(grp group.Group) bool {
	return sit.obs.held[sit.svc.Name][membership(grp)].released
}
