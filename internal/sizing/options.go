package sizing

import (
	"cmp"
	"slices"

	"github.com/cumintally/cumintally/internal/route"
)

const (
	// formed is what a group that must be formed counts for, against one that works: it serves nothing for about three of the
	// twenty seconds between two losses of a domain on a day with many, and its VMs drop the weights of other models.
	formed = 0.75
	// mostOptions bounds the ways to fill a domain that are weighed; a domain of 37 VMs and two models has about 20.
	mostOptions = 4096
)

// option is one way to fill a domain.
type option struct {
	// groups holds the number of groups of each model, and serving that of VMs in them, where a new group counts formed.
	groups  []int
	serving []float64
}

// working returns the number of groups of each model that work among VMs.
func working(mods []route.Model, vms []VM) []int {
	has := make([]int, len(mods))
	for _, vmc := range vms {
		if vmc.Serves != None {
			has[vmc.Serves]++
		}
	}
	for mod := range mods {
		has[mod] /= max(1, mods[mod].VMs)
	}
	return has
}

// filling is the making of the options of a domain.
type filling struct {
	mods []route.Model
	// vms are those that can serve the fewest models first, and order the models with the largest groups first.
	vms   []VM
	order []int
	has   []int
	opts  []option
}

// options returns the ways to fill a domain, the first of which leaves it as it is.
func options(mods []route.Model, vms []VM, has []int) []option {
	fil := &filling{
		mods: mods,
		vms:  slices.Clone(vms),
		has:  has,
	}
	slices.SortStableFunc(fil.vms, func(one, two VM) int { return cmp.Compare(len(one.Holds), len(two.Holds)) })
	for mod := range mods {
		fil.order = append(fil.order, mod)
	}
	slices.SortStableFunc(fil.order, func(one, two int) int { return cmp.Compare(mods[two].VMs, mods[one].VMs) })
	fil.add(has)
	fil.fill(make([]int, len(mods)), 0, len(vms))
	return fil.opts
}

// fill adds the options with the given groups of the models before one, and any number of it and of those after it.
func (fil *filling) fill(counts []int, mod, left int) {
	if len(fil.opts) >= mostOptions {
		return
	}
	if mod == len(fil.mods) {
		if fil.fits(counts) {
			fil.add(slices.Clone(counts))
		}
		return
	}
	for num := 0; num*fil.mods[mod].VMs <= left; num++ {
		counts[mod] = num
		fil.fill(counts, mod+1, left-num*fil.mods[mod].VMs)
		if fil.mods[mod].VMs <= 0 {
			break
		}
	}
	counts[mod] = 0
}

func (fil *filling) add(counts []int) {
	opt := option{
		groups:  counts,
		serving: make([]float64, len(fil.mods)),
	}
	for mod, num := range counts {
		kept := min(num, fil.has[mod])
		opt.serving[mod] = float64(fil.mods[mod].VMs) * (float64(kept) + formed*float64(num-kept))
	}
	fil.opts = append(fil.opts, opt)
}

// fits reports whether there are VMs for the groups to be formed that have the weights at hand and are in no group that
// stays. The largest groups choose first, and take VMs that can serve nothing else before others.
func (fil *filling) fits(counts []int) bool {
	pool := slices.DeleteFunc(slices.Clone(fil.vms), func(vmc VM) bool {
		return vmc.Serves != None && vmc.Group < min(counts[vmc.Serves], fil.has[vmc.Serves])
	})
	for _, mod := range fil.order {
		need := max(0, counts[mod]-fil.has[mod]) * fil.mods[mod].VMs
		pool = slices.DeleteFunc(pool, func(vmc VM) bool {
			if need > 0 && slices.Contains(vmc.Holds, mod) {
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
