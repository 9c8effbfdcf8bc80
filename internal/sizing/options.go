package sizing

import (
	"cmp"
	"slices"

	"github.com/cumintally/cumintally/internal/route"
)

const (
	// newGroupWeight is the capacity of a new group relative to a running one. On a day with many failures, a domain loses
	// a VM about every 20 s, and a new group serves nothing for the first 3 s. Its VMs also drop the weights of other
	// models.
	newGroupWeight = 0.75
	// maxOptions limits the options that are compared for a domain; a domain of 37 VMs and two models has about 20.
	maxOptions = 4096
)

// option is one possible number of groups of each model in a domain.
type option struct {
	// groups is the number of groups by model. capacity is the number of VMs in them by model, where each VM of a new
	// group counts as newGroupWeight.
	groups   []int
	capacity []float64
}

// currentGroups returns the number of complete groups of each model that the VMs form now.
func currentGroups(mods []route.Model, vms []VM) []int {
	current := make([]int, len(mods))
	for _, vmc := range vms {
		if vmc.ServedModel != NoModel {
			current[vmc.ServedModel]++
		}
	}
	for mod := range mods {
		current[mod] /= max(1, mods[mod].VMs)
	}
	return current
}

// optionBuilder enumerates the options of a domain.
type optionBuilder struct {
	mods []route.Model
	// vms is sorted by the number of models in LocalWeights, ascending; placementOrder holds the models by group size,
	// descending.
	vms            []VM
	placementOrder []int
	current        []int
	options        []option
}

// options returns the options of a domain. The first one is the current state.
func options(mods []route.Model, vms []VM, current []int) []option {
	bld := &optionBuilder{
		mods:    mods,
		vms:     slices.Clone(vms),
		current: current,
	}
	slices.SortStableFunc(bld.vms, func(one, two VM) int { return cmp.Compare(len(one.LocalWeights), len(two.LocalWeights)) })
	for mod := range mods {
		bld.placementOrder = append(bld.placementOrder, mod)
	}
	slices.SortStableFunc(bld.placementOrder, func(one, two int) int { return cmp.Compare(mods[two].VMs, mods[one].VMs) })
	bld.add(current)
	bld.enumerate(make([]int, len(mods)), 0, len(vms))
	return bld.options
}

// enumerate adds all feasible options that keep the counts of the models before mod; left is the number of VMs that
// those models leave.
func (bld *optionBuilder) enumerate(counts []int, mod, left int) {
	if len(bld.options) >= maxOptions {
		return
	}
	if mod == len(bld.mods) {
		if bld.feasible(counts) {
			bld.add(slices.Clone(counts))
		}
		return
	}
	for num := 0; num*bld.mods[mod].VMs <= left; num++ {
		counts[mod] = num
		bld.enumerate(counts, mod+1, left-num*bld.mods[mod].VMs)
		if bld.mods[mod].VMs <= 0 {
			break
		}
	}
	counts[mod] = 0
}

func (bld *optionBuilder) add(counts []int) {
	opt := option{
		groups:   counts,
		capacity: make([]float64, len(bld.mods)),
	}
	for mod, num := range counts {
		kept := min(num, bld.current[mod])
		opt.capacity[mod] = float64(bld.mods[mod].VMs) * (float64(kept) + newGroupWeight*float64(num-kept))
	}
	bld.options = append(bld.options, opt)
}

// feasible reports whether the new groups can be formed from VMs that have the weights locally and are in no group that
// is kept. The models with the largest groups are placed first, and VMs with the weights of the fewest models are used
// first.
func (bld *optionBuilder) feasible(counts []int) bool {
	pool := slices.DeleteFunc(slices.Clone(bld.vms), func(vmc VM) bool {
		return vmc.ServedModel != NoModel && vmc.Group < min(counts[vmc.ServedModel], bld.current[vmc.ServedModel])
	})
	for _, mod := range bld.placementOrder {
		need := max(0, counts[mod]-bld.current[mod]) * bld.mods[mod].VMs
		pool = slices.DeleteFunc(pool, func(vmc VM) bool {
			if need > 0 && slices.Contains(vmc.LocalWeights, mod) {
				need--
				return true
			}
			return false
		})
		if need > 0 {
			return false
		}
	}
	return true
}
