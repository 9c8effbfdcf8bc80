package sizing

import (
	"slices"

	"github.com/cumintally/cumintally/internal/route"
)

// reserveShare is the part of a zone's VMs that is kept free to replace lost members. A sixteenth fails at
// once when a VM or two of a zone of this size crash.
const reserveShare = 1.0 / 8

// Groups returns the number of groups of each model, in the order of the models, for a zone with so many VMs
// in each fabric domain.
func Groups(mods []route.Model, domains []int) []int {
	nums := make([]int, len(mods))
	if len(mods) == 0 {
		return nums
	}
	all := 0
	for _, num := range domains {
		all += num
	}
	usable := all - int(float64(all)*reserveShare)
	for {
		best := -1
		least := 0.0
		for idx, mod := range mods {
			if !fits(mods, nums, idx, domains, usable) {
				continue
			}
			// The model that has the fewest VMs for its share of the work comes next.
			if fill := float64((nums[idx]+1)*mod.VMs) / max(mod.Share, 0.01); best < 0 || fill < least {
				best = idx
				least = fill
			}
		}
		if best < 0 {
			return nums
		}
		nums[best]++
	}
}

// fits reports whether one more group of a model has room in the domains, the largest groups placed first.
func fits(mods []route.Model, nums []int, more int, domains []int, usable int) bool {
	nums = slices.Clone(nums)
	nums[more]++
	var sizes []int
	sum := 0
	for idx, mod := range mods {
		sum += nums[idx] * mod.VMs
		for range nums[idx] {
			sizes = append(sizes, mod.VMs)
		}
	}
	if sum > usable || mods[more].VMs <= 0 {
		return false
	}
	slices.Sort(sizes)
	free := slices.Clone(domains)
	for _, size := range slices.Backward(sizes) {
		best := -1
		for idx, num := range free {
			if num >= size && (best < 0 || num < free[best]) {
				best = idx
			}
		}
		if best < 0 {
			return false
		}
		free[best] -= size
	}
	return true
}
