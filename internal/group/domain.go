package group

import (
	"slices"
	"sort"
)

// domain is the working copy of one fabric domain's allocation.
type domain struct {
	alc     Allocation
	changed bool
	// localWeightsOnly is that of the view.
	localWeightsOnly bool
	vms              map[string]VMView
	// assigned are the members of groups.
	assigned map[string]bool
	// releaseDelayed are VMs that left a group and that a late order may still reach.
	releaseDelayed map[string]bool
}

// nextCounter returns the counter of the next write. It exceeds every number that a VM of the domain reports,
// so that orders are not refused as old when the object had to be created anew.
func (dom *domain) nextCounter() uint64 {
	most := dom.alc.Counter
	for _, vmv := range dom.vms {
		most = max(most, vmv.Fencing)
	}
	return most + 1
}

func (dom *domain) group(name string) *Group {
	for idx := range dom.alc.Groups {
		if dom.alc.Groups[idx].Name == name {
			return &dom.alc.Groups[idx]
		}
	}
	return nil
}

func (dom *domain) groupPlace(name string) Place {
	return Place{
		FabricDomain: dom.alc.FabricDomain,
		Group:        name,
	}
}

// lostCount returns the number of members of a group that are lost.
func (dom *domain) lostCount(grp Group) int {
	return len(dom.ranks(grp, func(vmv VMView) bool { return vmv.Lost }))
}

// ranks returns the ranks of the members that match; a VM that nothing is known of counts as lost.
func (dom *domain) ranks(grp Group, match func(vmv VMView) bool) []int {
	var rnks []int
	for rnk, mem := range grp.Members {
		vmv, ok := dom.vms[mem.VM]
		if !ok {
			vmv = VMView{
				Lost: true,
			}
		}
		if match(vmv) {
			rnks = append(rnks, rnk)
		}
	}
	return rnks
}

// sparesFor returns the VMs of the domain that can be assigned to a group of a model: those that have its weights at hand
// before others, stragglers last, else by name.
func (dom *domain) sparesFor(model string) []VMView {
	var vws []VMView
	for _, vmv := range dom.vms {
		if dom.localWeightsOnly && vmv.ModelInMemory != model && !slices.Contains(vmv.Staged, model) {
			continue
		}
		if vmv.Usable && !vmv.Lost && !vmv.Leaving && !dom.assigned[vmv.Name] && !dom.releaseDelayed[vmv.Name] {
			vws = append(vws, vmv)
		}
	}
	sort.Slice(vws, func(fst, snd int) bool {
		if vws[fst].Straggler != vws[snd].Straggler {
			return vws[snd].Straggler
		}
		if one, two := vws[fst].readiness(model), vws[snd].readiness(model); one != two {
			return one > two
		}
		if one, two := vws[fst].otherModels(model), vws[snd].otherModels(model); one != two {
			return one < two
		}
		if vws[fst].Busy != vws[snd].Busy {
			return vws[snd].Busy
		}
		return vws[fst].Name < vws[snd].Name
	})
	return vws
}

// readiness ranks a VM for a model: by the time until it can serve it, and after that so that weights of other
// models in memory are kept.
func (vmv VMView) readiness(model string) int {
	switch {
	case vmv.ModelInMemory == model:
		return 4
	case slices.Contains(vmv.Staged, model) && vmv.ModelInMemory == "":
		return 3
	case slices.Contains(vmv.Staged, model):
		return 2
	case vmv.ModelInMemory == "":
		return 1
	default:
		return 0
	}
}

// otherModels returns the number of other models whose weights a VM's host holds: such a VM is left to them if it can be.
func (vmv VMView) otherModels(model string) int {
	num := 0
	for _, name := range vmv.Staged {
		if name != model {
			num++
		}
	}
	return num
}

// healthySpares returns the number of spare VMs for a model that are no stragglers.
func (dom *domain) healthySpares(model string) int {
	num := 0
	for _, vmv := range dom.sparesFor(model) {
		if !vmv.Straggler {
			num++
		}
	}
	return num
}

// assignSpares assigns the first num spare VMs, those that hold the weights of the model first.
func (dom *domain) assignSpares(num int, model string) []Member {
	var mems []Member
	for _, vmv := range dom.sparesFor(model)[:num] {
		dom.assigned[vmv.Name] = true
		dom.alc.Released = slices.DeleteFunc(dom.alc.Released, func(rel ReleasedVM) bool { return rel.VM == vmv.Name })
		mems = append(mems, Member{
			VM:      vmv.Name,
			Address: vmv.Address,
		})
	}
	return mems
}

// releaseMember notes that a VM left its group.
func (dom *domain) releaseMember(mem Member) {
	dom.changed = true
	delete(dom.assigned, mem.VM)
	dom.releaseDelayed[mem.VM] = true
	dom.alc.Released = append(dom.alc.Released, ReleasedVM{
		VM:      mem.VM,
		Counter: dom.nextCounter(),
	})
}

// dissolve removes a group and releases its members.
func (dom *domain) dissolve(name string) {
	grp := dom.group(name)
	for _, mem := range grp.Members {
		dom.releaseMember(mem)
	}
	dom.alc.Groups = slices.DeleteFunc(dom.alc.Groups, func(oth Group) bool { return oth.Name == name })
}

// replace puts spare VMs in place of the members at some ranks and gives the group a new number.
func (dom *domain) replace(grp *Group, rnks []int, want desiredGroup) {
	mems := dom.assignSpares(len(rnks), want.model.Name)
	grp.Members = slices.Clone(grp.Members)
	for idx, rnk := range rnks {
		dom.releaseMember(grp.Members[rnk])
		grp.Members[rnk] = mems[idx]
	}
	dom.applyModel(grp, want)
}

// applyModel gives a group the model that the document asks for under a new number, which makes every member
// load it again.
func (dom *domain) applyModel(grp *Group, want desiredGroup) {
	dom.changed = true
	grp.Model = want.model.Name
	grp.Version = want.model.Version
	grp.Adapters = want.model.Adapters
	grp.ColdLimit = want.model.ColdLimit
	grp.WarmLimit = want.model.WarmLimit
	grp.Draining = false
	grp.Fencing = dom.nextCounter()
}

// pruneReleased drops the released VMs whose delay has passed.
func (dom *domain) pruneReleased(settled map[ReleasedVM]bool) {
	dom.alc.Released = slices.DeleteFunc(dom.alc.Released, func(rel ReleasedVM) bool { return settled[rel] })
}
