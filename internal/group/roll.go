package group

import "slices"

// applyPlannedChanges makes the planned changes of groups without lost members. Each change first drains the group, so
// that no request in progress is interrupted; a group whose reason to drain is gone takes work again.
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
	want, ok := pln.desiredIn(dom, *grp)
	if !ok {
		if pln.drain(dom, grp) {
			dom.dissolve(grp.Name)
		}
		return
	}
	leaving := dom.ranks(*grp, func(vmv VMView) bool { return vmv.Leaving })
	slow := dom.ranks(*grp, func(vmv VMView) bool { return vmv.Straggler })
	switch {
	case pln.viw.Broken[dom.groupPlace(grp.Name)] && len(leaving) == 0:
		dom.applyModel(grp, want)
	case len(leaving) > 0:
		pln.unmet[grp.Name] = "a member is leaving"
		if pln.drain(dom, grp) {
			pln.replaceLeaving(dom, grp, leaving, want)
		}
	case len(grp.Members) != want.model.VMsPerGroup:
		if pln.mayDrain(dom, grp) && pln.drain(dom, grp) {
			// grp points into the list that dissolve shortens.
			delete(pln.placed, grp.Name)
			dom.dissolve(grp.Name)
		}
	case !sameModel(*grp, want):
		if pln.mayDrain(dom, grp) && pln.drain(dom, grp) {
			dom.applyModel(grp, want)
		}
	case len(slow) > 0 && dom.healthySpares(want.model.Name) >= len(slow):
		if pln.mayDrain(dom, grp) && pln.drain(dom, grp) {
			dom.replace(grp, slow, want)
		}
	default:
		pln.updateLimits(dom, grp, want)
	}
}

// replaceLeaving replaces members that are leaving, or gives up a group that cannot be complete again.
func (pln *planner) replaceLeaving(dom *domain, grp *Group, rnks []int, want desiredGroup) {
	if len(grp.Members) == want.model.VMsPerGroup && len(dom.sparesFor(want.model.Name)) >= len(rnks) {
		dom.replace(grp, rnks, want)
		delete(pln.unmet, grp.Name)
		return
	}
	if len(grp.Members) == want.model.VMsPerGroup && len(dom.sparesFor(want.model.Name))+dom.delayedSpares() >= len(rnks) {
		return
	}
	delete(pln.placed, grp.Name)
	delete(pln.unmet, grp.Name)
	dom.dissolve(grp.Name)
}

// drain takes a group out of work and reports whether it is empty.
func (pln *planner) drain(dom *domain, grp *Group) bool {
	if !grp.Draining {
		grp.Draining = true
		dom.changed = true
		return false
	}
	return pln.viw.Drained[dom.groupPlace(grp.Name)]
}

// mayDrain reports whether a group may be out of work for a change: one group of a model at a time, and
// only when the group that was changed before serves, so that capacity remains and a version that does
// not load stops the change. A group that still has an old model and does not serve stops nothing.
func (pln *planner) mayDrain(own *domain, grp *Group) bool {
	if grp.Draining {
		return true
	}
	for _, dom := range pln.domains {
		for _, oth := range dom.alc.Groups {
			if (dom == own && oth.Name == grp.Name) || oth.Model != grp.Model || dom.lostCount(oth) > 0 {
				continue
			}
			want, ok := pln.desiredIn(dom, oth)
			// A group that this plan changed is about to load, whatever it reported before.
			serving := pln.viw.Serving[dom.groupPlace(oth.Name)] && oth.Fencing != dom.nextCounter()
			if oth.Draining || (ok && sameModel(oth, want) && !serving) {
				return false
			}
		}
	}
	return true
}

// updateLimits takes over what changes without a reload.
func (pln *planner) updateLimits(dom *domain, grp *Group, want desiredGroup) {
	if grp.Draining || grp.ColdLimit != want.model.ColdLimit || grp.WarmLimit != want.model.WarmLimit {
		grp.Draining = false
		grp.ColdLimit = want.model.ColdLimit
		grp.WarmLimit = want.model.WarmLimit
		dom.changed = true
	}
}

func sameModel(grp Group, want desiredGroup) bool {
	return grp.Model == want.model.Name && grp.Version == want.model.Version && slices.Equal(grp.Adapters, want.model.Adapters)
}
