package group

import (
	"slices"
	"sort"
)

// brokenGroup is a group with lost members. lost is their number and size that of all members.
type brokenGroup struct {
	dom  *domain
	name string
	lost int
	size int
}

// repairBroken replaces lost members by spare VMs of the same domain, starting with the groups with the fewest losses.
// A broken group that is not desired, or not with this size, is dissolved without draining, since its requests have
// already failed.
func (pln *planner) repairBroken() {
	for _, brk := range pln.brokenGroups() {
		grp := brk.dom.group(brk.name)
		des, ok := pln.desiredIn(brk.dom, *grp)
		if !ok || des.model.VMsPerGroup != brk.size {
			brk.dom.dissolve(brk.name)
			if ok {
				delete(pln.placed, brk.name)
			}
			continue
		}
		rnks := brk.dom.ranks(*grp, func(vmv VMView) bool { return vmv.Lost })
		spares := len(brk.dom.sparesFor(des.model.Name))
		if spares < len(rnks) {
			continue
		}
		// All members load the model again in any case, so leaving members are replaced at the same time.
		both := brk.dom.ranks(*grp, func(vmv VMView) bool { return vmv.Lost || vmv.Leaving })
		if spares >= len(both) {
			rnks = both
		}
		brk.dom.replace(grp, rnks, des)
	}
}

// moveBroken forms broken groups again in another domain that has enough spare VMs, smallest groups first.
func (pln *planner) moveBroken() {
	brks := pln.brokenGroups()
	sort.SliceStable(brks, func(fst, snd int) bool { return brks[fst].size < brks[snd].size })
	for _, brk := range brks {
		if pln.placeGroup(pln.desired[brk.name]) {
			brk.dom.dissolve(brk.name)
		}
	}
}

// dissolveForRepair records all groups that are still broken as unmet. In each domain it then dissolves the broken
// group with the most losses (the smallest of several) if the spare VMs alone are too few to repair the group with the
// fewest losses, but suffice together with the remaining members of the dissolved one. Otherwise all broken groups are
// kept, since their lost members may return.
func (pln *planner) dissolveForRepair() {
	brks := pln.brokenGroups()
	for _, brk := range brks {
		pln.unmet[brk.name] = "a member is lost and fabric domain " + brk.dom.alc.FabricDomain + " has no spare VM for it"
	}
	for _, name := range sortedKeys(pln.domains) {
		dom := pln.domains[name]
		own := slices.DeleteFunc(slices.Clone(brks), func(brk brokenGroup) bool { return brk.dom != dom })
		if len(own) < 2 {
			continue
		}
		best, last := own[0], own[len(own)-1]
		free := len(dom.sparesFor(dom.group(best.name).Model)) + dom.delayedSpares()
		if free >= best.lost || free+last.size-last.lost < best.lost {
			continue
		}
		dom.dissolve(last.name)
		delete(pln.placed, last.name)
		delete(pln.unmet, last.name)
	}
}

// delayedSpares returns the number of released VMs that can be assigned after their delay.
func (dom *domain) delayedSpares() int {
	num := 0
	for name := range dom.releaseDelayed {
		vmv, ok := dom.vms[name]
		if ok && !vmv.Lost && !vmv.Leaving {
			num++
		}
	}
	return num
}

// brokenGroups returns the groups with lost members, by ascending number of losses, then by descending size.
func (pln *planner) brokenGroups() []brokenGroup {
	var brks []brokenGroup
	for _, name := range sortedKeys(pln.domains) {
		dom := pln.domains[name]
		for _, grp := range dom.alc.Groups {
			if num := dom.lostCount(grp); num > 0 {
				brks = append(brks, brokenGroup{
					dom:  dom,
					name: grp.Name,
					lost: num,
					size: len(grp.Members),
				})
			}
		}
	}
	sort.SliceStable(brks, func(fst, snd int) bool {
		if brks[fst].lost != brks[snd].lost {
			return brks[fst].lost < brks[snd].lost
		}
		return brks[fst].size > brks[snd].size
	})
	return brks
}
