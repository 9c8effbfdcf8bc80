package sizing

import (
	"slices"

	"github.com/cumintally/cumintally/internal/route"
)

// leastGain is the part by which the largest pressure must fall for groups that work to be given up: about one
// group of seven, whose capacity outweighs the seconds that the change costs.
const leastGain = 0.12

// Domain is a fabric domain.
type Domain struct {
	Name string
	Zone string
	// VMs is the number of VMs that can be used.
	VMs int
	// Groups is the number of groups that work, by model.
	Groups []int
}

// sizer holds the counts while they are worked out.
type sizer struct {
	mods  []route.Model
	doms  []Domain
	needs []float64
}

// Groups returns the number of groups that each domain should run, by model, given those that work now.
func Groups(mods []route.Model, doms []Domain) [][]int {
	szr := &sizer{
		mods: mods,
		doms: slices.Clone(doms),
	}
	all, fresh := 0, true
	for idx := range szr.doms {
		dom := &szr.doms[idx]
		all += dom.VMs
		dom.Groups = slices.Clone(dom.Groups)
		for len(dom.Groups) < len(mods) {
			dom.Groups = append(dom.Groups, 0)
		}
		for _, num := range dom.Groups {
			fresh = fresh && num == 0
		}
	}
	for _, mod := range mods {
		szr.needs = append(szr.needs, mod.Share*float64(all)/float64(max(1, mod.VMs)))
	}
	gain := leastGain
	if fresh {
		// Before any group stands a change costs nothing.
		gain = 0
	}
	for szr.add() || szr.swap(gain) {
	}
	counts := make([][]int, 0, len(doms))
	for idx := range szr.doms {
		counts = append(counts, szr.doms[idx].Groups)
	}
	return counts
}

func (szr *sizer) free(dom *Domain) int {
	free := dom.VMs
	for idx, num := range dom.Groups {
		free -= num * szr.mods[idx].VMs
	}
	return free
}

func (szr *sizer) total(mod int) int {
	sum := 0
	for idx := range szr.doms {
		sum += szr.doms[idx].Groups[mod]
	}
	return sum
}

// pressure is the need of a model over its groups, as if there were extra more.
func (szr *sizer) pressure(mod, extra int) float64 {
	num := szr.total(mod) + extra
	if num <= 0 {
		// Any model without a group comes before all others.
		return 1000 * szr.needs[mod]
	}
	return szr.needs[mod] / float64(num)
}

func (szr *sizer) worst() float64 {
	most := 0.0
	for mod := range szr.mods {
		most = max(most, szr.pressure(mod, 0))
	}
	return most
}

// add uses free VMs for one more group: of the model with the largest pressure that fits anywhere.
func (szr *sizer) add() bool {
	best, at := -1, -1
	for mod := range szr.mods {
		if best >= 0 && szr.pressure(mod, 0) <= szr.pressure(best, 0) {
			continue
		}
		if dom := szr.roomiest(mod, func(dom *Domain) bool { return szr.free(dom) >= szr.mods[mod].VMs }); dom >= 0 {
			best, at = mod, dom
		}
	}
	if best < 0 || szr.mods[best].VMs <= 0 {
		return false
	}
	szr.doms[at].Groups[best]++
	return true
}

// roomiest returns the domain that fits for one more group: in the zone with the fewest groups of the model, the
// domain with the fewest of them, and of these the one with most free VMs, so that the loss of a domain or a
// zone costs each model alike.
func (szr *sizer) roomiest(mod int, fits func(dom *Domain) bool) int {
	best := -1
	for idx := range szr.doms {
		if !fits(&szr.doms[idx]) {
			continue
		}
		if best < 0 || szr.before(mod, idx, best) {
			best = idx
		}
	}
	return best
}

func (szr *sizer) before(mod, one, two int) bool {
	fst, snd := &szr.doms[one], &szr.doms[two]
	if zone, other := szr.inZone(mod, fst.Zone), szr.inZone(mod, snd.Zone); zone != other {
		return zone < other
	}
	if fst.Groups[mod] != snd.Groups[mod] {
		return fst.Groups[mod] < snd.Groups[mod]
	}
	return szr.free(fst) > szr.free(snd)
}

func (szr *sizer) inZone(mod int, zone string) int {
	sum := 0
	for idx := range szr.doms {
		if szr.doms[idx].Zone == zone {
			sum += szr.doms[idx].Groups[mod]
		}
	}
	return sum
}

// swap gives up groups of one model in a domain for one group of another, if the largest pressure falls by more
// than the part gain.
func (szr *sizer) swap(gain float64) bool {
	before := szr.worst()
	bestWorst, bestDom := before*(1-gain), -1
	var bestGroups []int
	for idx := range szr.doms {
		dom := &szr.doms[idx]
		kept := dom.Groups
		for mod := range szr.mods {
			for from := range szr.mods {
				dom.Groups = szr.traded(dom, kept, mod, from)
				if dom.Groups == nil {
					continue
				}
				if worst := szr.worst(); worst < bestWorst-1e-9 {
					bestWorst, bestDom, bestGroups = worst, idx, dom.Groups
				}
			}
		}
		dom.Groups = kept
	}
	if bestDom < 0 {
		return false
	}
	szr.doms[bestDom].Groups = bestGroups
	return true
}

// traded returns a domain's groups with one more of a model and as few less of another as are needed, nil if
// that does not fit.
func (szr *sizer) traded(dom *Domain, kept []int, mod, from int) []int {
	if mod == from || szr.mods[from].VMs <= 0 {
		return nil
	}
	dom.Groups = kept
	missing := szr.mods[mod].VMs - szr.free(dom)
	less := (missing + szr.mods[from].VMs - 1) / szr.mods[from].VMs
	if less <= 0 || less > kept[from] {
		return nil
	}
	groups := slices.Clone(kept)
	groups[mod]++
	groups[from] -= less
	return groups
}
