package group

import (
	"slices"
	"sort"
)

// domain is the working copy of one fabric domain's allocation.
type domain struct {
	alc     Allocation
	changed bool
	// localWeightsOnly is View.LocalWeightsOnly.
	localWeightsOnly bool
	// minCounter is View.MinCounter.
	minCounter uint64
	vms        map[string]VMView
	// assigned holds the members of groups.
	assigned map[string]bool
	// releaseDelayed holds VMs that left a group and that a late order may still reach.
	releaseDelayed map[string]bool
}

// nextCounter returns the counter of the next write. It exceeds every fencing token that a VM of the domain reports, so
// that engines do not reject orders as stale after the object had to be created again, and all counters that were lost,
// so that no two groups have the same epoch.
func (dom *domain) nextCounter() uint64 {
	most := max(dom.alc.Counter, dom.minCounter)
	for _, vmv := range dom.vms {
		most = max(most, vmv.FencingToken)
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

func (dom *domain) groupKey(name string) Key {
	return Key{
		FabricDomain: dom.alc.FabricDomain,
		Group:        name,
	}
}

// lostCount returns the number of lost members of a group.
func (dom *domain) lostCount(grp Group) int {
	return len(dom.ranks(grp, func(vmv VMView) bool { return vmv.Lost }))
}

// ranks returns the ranks of the members that match. An unknown VM counts as lost.
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

// sparesFor returns the VMs of the domain that can be assigned to a group of a model, in the order in which they should
// be: stragglers last, then by readiness, by the number of other models on their hosts, idle VMs before busy ones, and
// by name.
func (dom *domain) sparesFor(model string) []VMView {
	var vws []VMView
	for _, vmv := range dom.vms {
		if dom.localWeightsOnly && vmv.ModelInMemory != model && !slices.Contains(vmv.StagedModels, model) {
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

// readiness rates how soon a VM can serve a model; higher is sooner. Between VMs that load the weights from the same
// place, those without another model in memory rate higher, so that weights in memory are kept.
func (vmv VMView) readiness(model string) int {
	switch {
	case vmv.ModelInMemory == model:
		return 4
	case slices.Contains(vmv.StagedModels, model) && vmv.ModelInMemory == "":
		return 3
	case slices.Contains(vmv.StagedModels, model):
		return 2
	case vmv.ModelInMemory == "":
		return 1
	default:
		return 0
	}
}

// otherModels returns the number of other models whose weights the VM's host holds. VMs with few are assigned first, so
// that the others stay available to those models.
func (vmv VMView) otherModels(model string) int {
	num := 0
	for _, name := range vmv.StagedModels {
		if name != model {
			num++
		}
	}
	return num
}

// healthySpares returns the number of spare VMs for a model that are not stragglers.
func (dom *domain) healthySpares(model string) int {
	num := 0
	for _, vmv := range dom.sparesFor(model) {
		if !vmv.Straggler {
			num++
		}
	}
	return num
}

// assignSpares assigns the first num spare VMs for a model, in the order of sparesFor.
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

// releaseMember records that a VM left its group.
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

// replace replaces the members at the given ranks by spare VMs and gives the group a new fencing token.
func (dom *domain) replace(grp *Group, rnks []int, des desiredGroup) {
	mems := dom.assignSpares(len(rnks), des.model.Name)
	grp.Members = slices.Clone(grp.Members)
	for idx, rnk := range rnks {
		dom.releaseMember(grp.Members[rnk])
		grp.Members[rnk] = mems[idx]
	}
	dom.applyModel(grp, des)
}

// applyModel sets the model that the document specifies for a group and a new fencing token, which makes every member
// load the model again.
func (dom *domain) applyModel(grp *Group, des desiredGroup) {
	dom.changed = true
	grp.Model = des.model.Name
	grp.Version = des.model.Version
	grp.Adapters = des.model.Adapters
	grp.ColdLimit = des.model.ColdLimit
	grp.WarmLimit = des.model.WarmLimit
	grp.Draining = false
	grp.Fencing = dom.nextCounter()
}

// pruneReleased removes the released VMs whose delay has passed.
func (dom *domain) pruneReleased(reassignable map[ReleasedVM]bool) {
	dom.alc.Released = slices.DeleteFunc(dom.alc.Released, func(rel ReleasedVM) bool { return reassignable[rel] })
}
