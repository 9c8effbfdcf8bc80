package group

import (
	"slices"
	"strconv"

	"github.com/cumintally/cumintally/pkg/document"
)

// applyPlannedChanges makes the planned changes of groups without lost members. A group is drained before it is
// changed, so that no request in flight is interrupted; only a group that has stopped working and has no leaving member
// is formed again without draining. If the reason for draining disappears, the group accepts requests again.
func (pln *planner) applyPlannedChanges() {
	for _, name := range sortedKeys(pln.domains) {
		dom := pln.domains[name]
		for _, grp := range slices.Clone(dom.alc.Groups) {
			if dom.lostCount(grp) == 0 {
				pln.changeGroup(dom, dom.group(grp.Name))
			}
		}
	}
}

func (pln *planner) changeGroup(dom *domain, grp *Group) {
	des, ok := pln.desiredIn(dom, *grp)
	if !ok {
		if pln.drain(dom, grp) {
			dom.dissolve(grp.Name)
		}
		return
	}
	leaving := dom.ranks(*grp, func(vmv VMView) bool { return vmv.Leaving })
	slow := dom.ranks(*grp, func(vmv VMView) bool { return vmv.Straggler })
	switch {
	case pln.viw.Broken[dom.groupKey(grp.Name)] && len(leaving) == 0:
		dom.applyModel(grp, des)
	case len(leaving) > 0:
		pln.unmet[grp.Name] = "a member is leaving"
		if pln.drain(dom, grp) {
			pln.replaceLeaving(dom, grp, leaving, des)
		}
	case len(grp.Members) != des.model.VMsPerGroup && !pln.fits(des.model):
		pln.unmet[grp.Name] = "no fabric domain has " + strconv.Itoa(des.model.VMsPerGroup) + " VMs for it; its present size is kept"
		// The limits of the document are those of the other size.
		dom.changed = dom.changed || grp.Draining
		grp.Draining = false
	case len(grp.Members) != des.model.VMsPerGroup:
		if pln.mayDrain(dom, grp) && pln.drain(dom, grp) {
			// grp points into the slice that dissolve shortens, so its name is read first.
			delete(pln.placed, grp.Name)
			dom.dissolve(grp.Name)
		}
	case !sameModel(*grp, des):
		if pln.mayDrain(dom, grp) && pln.drain(dom, grp) {
			dom.applyModel(grp, des)
		}
	case len(slow) > 0 && dom.healthySpares(des.model.Name) >= len(slow):
		if pln.mayDrain(dom, grp) && pln.drain(dom, grp) {
			dom.replace(grp, slow, des)
		}
	default:
		pln.updateLimits(dom, grp, des)
	}
}

// fits reports whether some domain has enough VMs for a group of a model, counting those of its groups of another size. A group that
// serves is not dissolved for one that cannot be formed.
func (pln *planner) fits(model document.Model) bool {
	for _, dom := range pln.domains {
		num := len(dom.sparesFor(model.Name)) + dom.delayedSpares()
		for _, grp := range dom.alc.Groups {
			if grp.Model == model.Name && len(grp.Members) != model.VMsPerGroup {
				num += len(dom.ranks(grp, func(vmv VMView) bool { return !vmv.Lost && !vmv.Leaving }))
			}
		}
		if num >= model.VMsPerGroup {
			return true
		}
	}
	return false
}

// replaceLeaving replaces members that are leaving, or waits if the domain has enough spare VMs only after a release
// delay. If it has too few even then, or if the group's size is no longer that of its model, it dissolves the group.
func (pln *planner) replaceLeaving(dom *domain, grp *Group, rnks []int, des desiredGroup) {
	if len(grp.Members) == des.model.VMsPerGroup && len(dom.sparesFor(des.model.Name)) >= len(rnks) {
		dom.replace(grp, rnks, des)
		delete(pln.unmet, grp.Name)
		return
	}
	if len(grp.Members) == des.model.VMsPerGroup && len(dom.sparesFor(des.model.Name))+dom.delayedSpares() >= len(rnks) {
		return
	}
	delete(pln.placed, grp.Name)
	delete(pln.unmet, grp.Name)
	dom.dissolve(grp.Name)
}

// drain starts to drain a group and reports whether the group is drained.
func (pln *planner) drain(dom *domain, grp *Group) bool {
	if !grp.Draining {
		grp.Draining = true
		dom.changed = true
		return false
	}
	return pln.viw.Drained[dom.groupKey(grp.Name)]
}

// mayDrain reports whether a group may be drained for a planned change: only one group of a model at a time, and only
// if the groups that were changed before are serving. This keeps capacity and stops the rollout of a version that does
// not load. A group that still has the old version and does not serve does not block the rollout.
func (pln *planner) mayDrain(own *domain, grp *Group) bool {
	if grp.Draining {
		return true
	}
	for _, dom := range pln.domains {
		for _, oth := range dom.alc.Groups {
			if (dom == own && oth.Name == grp.Name) || oth.Model != grp.Model || dom.lostCount(oth) > 0 {
				continue
			}
			des, ok := pln.desiredIn(dom, oth)
			// A group that this plan changed is about to load, so its earlier report does not count.
			serving := pln.viw.Serving[dom.groupKey(oth.Name)] && oth.Fencing != dom.nextCounter()
			if oth.Draining || (ok && sameModel(oth, des) && !serving) {
				return false
			}
		}
	}
	return true
}

// updateLimits applies the changes that need no reload: the limits, and the end of draining.
func (pln *planner) updateLimits(dom *domain, grp *Group, des desiredGroup) {
	if grp.Draining || grp.ColdLimit != des.model.ColdLimit || grp.WarmLimit != des.model.WarmLimit {
		grp.Draining = false
		grp.ColdLimit = des.model.ColdLimit
		grp.WarmLimit = des.model.WarmLimit
		dom.changed = true
	}
}

func sameModel(grp Group, des desiredGroup) bool {
	return grp.Model == des.model.Name && grp.Version == des.model.Version && slices.Equal(grp.Adapters, des.model.Adapters)
}
