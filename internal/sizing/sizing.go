package sizing

import (
	"math"

	"github.com/cumintally/cumintally/internal/route"
)

const (
	// unservedGroupFraction is the fraction of a group that a model without groups counts as having. It makes the cost of
	// such a model so high that its first group takes precedence over all other groups.
	unservedGroupFraction = 0.02
	// concentrationWeight is the cost of groups of one model in the same zone or domain. It is a tenth or less of the
	// value of a group on sites of up to 1000 VMs, so it only decides between domains that are about equal otherwise.
	concentrationWeight = 1e-4
	// minGain is the smallest cost reduction that is not a rounding error.
	minGain = 1e-9
	// initialWeight is the weight of the models' initial shares relative to measured work that keeps all VMs busy. It
	// decides while little work has been measured.
	initialWeight = 0.05
	// headroomFactor is the headroom of a model in groups, relative to the square root of the groups that its work keeps
	// busy (square-root staffing): a model with few groups needs relatively more, since its load varies more and each
	// lost group is a larger part.
	headroomFactor = 2
	// minServingShare is the share of the running groups of a model that keep serving while others are dissolved or formed: a
	// new group serves after seconds only, and all callers of the model depend on the others until then.
	minServingShare = 0.6
)

// NoModel is the model index of a VM that serves no model.
const NoModel = -1

// VM is a VM of a fabric domain. Models are identified by their index in the list passed to New.
type VM struct {
	// ServedModel is the model of the running group that the VM belongs to, NoModel if there is none.
	ServedModel int
	// Group is the index of the group among those of its model in the domain. Groups with high indexes are dissolved
	// first.
	Group int
	// LocalWeights holds the models whose weights the VM has in memory or on its host.
	LocalWeights []int
}

// Domain is a fabric domain with its usable VMs.
type Domain struct {
	Name string
	Zone string
	// OutOfService is set if the zone receives no requests. Its groups then count for nothing and are not changed.
	OutOfService bool
	VMs          []VM
	// ServingGroups is the number of groups by model that serve requests and are not being dissolved.
	ServingGroups []int
}

// domainChoice holds the options of a fabric domain and the index of the chosen one.
type domainChoice struct {
	zone    string
	serving []int
	options []option
	chosen  int
}

// dissolves returns the number of serving groups of a model that an option dissolves.
func (dom *domainChoice) dissolves(opt *option, mod int) int {
	if mod >= len(dom.serving) {
		return 0
	}
	return max(0, dom.serving[mod]-opt.groups[mod])
}

// sizer improves the choices of all domains step by step.
type sizer struct {
	mods []route.Model
	// shares holds the share of the VMs that each model needs.
	shares   []float64
	doms     []*domainChoice
	totalVMs int
	// capacity is the sum of the chosen options' capacity by model.
	capacity []float64
	// groupsByZone is the number of chosen groups by zone and model.
	groupsByZone map[string][]int
	// dissolvable is the number of serving groups by model that may still be dissolved.
	dissolvable []int
}

// Plan is the number of groups of each model that every domain should run.
type Plan struct {
	// Groups is the number of groups by domain and model, both by index.
	Groups [][]int

	szr  *sizer
	doms []Domain
	// choiceIndex holds the index of each domain in sizer.doms, -1 if its zone is out of service.
	choiceIndex []int
}

// Shares returns the share of the VMs that each model needs. The parameter demand holds the measured work by model, in
// VMs that it keeps busy, of a site of totalVMs.
func Shares(mods []route.Model, demand map[string]float64, totalVMs int) []float64 {
	initial := 0.0
	for idx := range mods {
		initial += mods[idx].InitialShare
	}
	shares := make([]float64, len(mods))
	total := 0.0
	for idx := range mods {
		size := float64(max(1, mods[idx].VMs))
		busyGroups := demand[mods[idx].Name] / size
		shares[idx] = size * (busyGroups + headroomFactor*math.Sqrt(busyGroups))
		if initial > 0 {
			shares[idx] += initialWeight * float64(totalVMs) * mods[idx].InitialShare / initial
		}
		total += shares[idx]
	}
	for idx := range shares {
		if total > 0 {
			shares[idx] /= total
		}
	}
	return shares
}

// New returns the plan for domains, given the share of the VMs that each model needs. It starts from the running groups and changes
// one domain at a time while that lowers the cost.
func New(mods []route.Model, shares []float64, doms []Domain) *Plan {
	pln := &Plan{
		doms: doms,
		szr: &sizer{
			mods:         mods,
			shares:       shares,
			capacity:     make([]float64, len(mods)),
			groupsByZone: map[string][]int{},
			dissolvable:  make([]int, len(mods)),
		},
	}
	for idx := range doms {
		current := currentGroups(mods, doms[idx].VMs)
		pln.Groups = append(pln.Groups, current)
		if doms[idx].OutOfService {
			pln.choiceIndex = append(pln.choiceIndex, -1)
			continue
		}
		pln.choiceIndex = append(pln.choiceIndex, len(pln.szr.doms))
		pln.szr.totalVMs += len(doms[idx].VMs)
		pln.szr.addDomain(&doms[idx], options(mods, doms[idx].VMs, current))
	}
	pln.szr.limitDissolved()
	for pln.szr.improve() {
	}
	for idx, pos := range pln.choiceIndex {
		if pos >= 0 {
			pln.Groups[idx] = pln.szr.doms[pos].option().groups
		}
	}
	return pln
}

// ChooseModelToLoad returns the model whose weights a VM without local weights should load: the one that lowers the
// cost of the site most. Between equal models it takes the one with the largest groups, since they are the hardest to
// complete. Later calls assume that the VM has these weights.
func (pln *Plan) ChooseModelToLoad(dom, vm int) int {
	mods := pln.szr.mods
	best, least := NoModel, 0.0
	vms := pln.doms[dom].VMs
	for mod := range mods {
		vms[vm].LocalWeights = []int{mod}
		cst := 0.0
		if pos := pln.choiceIndex[dom]; pos >= 0 {
			cst = pln.szr.minCost(pln.szr.doms[pos], options(mods, vms, currentGroups(mods, vms)))
		}
		if best == NoModel || cst < least-minGain || (cst < least+minGain && mods[mod].VMs > mods[best].VMs) {
			best, least = mod, cst
		}
	}
	vms[vm].LocalWeights = []int{best}
	return best
}

// RecordLoading makes later calls assume that a VM, which is loading the weights of a model, already has them.
func (pln *Plan) RecordLoading(dom, vm int, model string) {
	for mod := range pln.szr.mods {
		if pln.szr.mods[mod].Name == model {
			pln.doms[dom].VMs[vm].LocalWeights = []int{mod}
		}
	}
}

func (dom *domainChoice) option() *option {
	return &dom.options[dom.chosen]
}

// limitDissolved sets the number of serving groups that may be dissolved. All domains must still have their current groups.
func (szr *sizer) limitDissolved() {
	for mod := range szr.mods {
		serving, running := 0, 0
		for _, dom := range szr.doms {
			running += dom.option().groups[mod]
			if mod < len(dom.serving) {
				serving += dom.serving[mod]
			}
		}
		szr.dissolvable[mod] = max(0, serving-int(math.Ceil(minServingShare*float64(running))))
		if serving == running {
			szr.dissolvable[mod] = max(1, szr.dissolvable[mod])
		}
	}
}

// mayChoose reports whether a domain may change to an option without dissolving too many serving groups.
func (szr *sizer) mayChoose(dom *domainChoice, opt *option) bool {
	for mod := range szr.mods {
		if more := dom.dissolves(opt, mod) - dom.dissolves(dom.option(), mod); more > 0 && more > szr.dissolvable[mod] {
			return false
		}
	}
	return true
}

func (szr *sizer) addDomain(added *Domain, opts []option) {
	dom := &domainChoice{
		zone:    added.Zone,
		serving: added.ServingGroups,
		options: opts,
	}
	szr.doms = append(szr.doms, dom)
	if szr.groupsByZone[dom.zone] == nil {
		szr.groupsByZone[dom.zone] = make([]int, len(szr.mods))
	}
	szr.updateTotals(dom, 1)
}

// updateTotals adds the chosen option of a domain to the totals (sign 1) or subtracts it (sign -1).
func (szr *sizer) updateTotals(dom *domainChoice, sign int) {
	opt := dom.option()
	for mod := range szr.mods {
		szr.capacity[mod] += float64(sign) * opt.capacity[mod]
		szr.groupsByZone[dom.zone][mod] += sign * opt.groups[mod]
		szr.dissolvable[mod] -= sign * dom.dissolves(opt, mod)
	}
}

// improve changes the one domain whose change lowers the cost most. It returns false if no change lowers the cost.
func (szr *sizer) improve() bool {
	least := szr.cost(szr.capacity) - minGain
	var best *domainChoice
	bestOption := 0
	capacity := make([]float64, len(szr.mods))
	for _, dom := range szr.doms {
		now := dom.option()
		nowPenalty := szr.concentrationPenalty(dom, now)
		for idx := range dom.options {
			opt := &dom.options[idx]
			if !szr.mayChoose(dom, opt) {
				continue
			}
			for mod := range szr.mods {
				capacity[mod] = szr.capacity[mod] - now.capacity[mod] + opt.capacity[mod]
			}
			if cst := szr.cost(capacity) + szr.concentrationPenalty(dom, opt) - nowPenalty; cst < least {
				least, best, bestOption = cst, dom, idx
			}
		}
	}
	if best == nil {
		return false
	}
	szr.updateTotals(best, -1)
	best.chosen = bestOption
	szr.updateTotals(best, 1)
	return true
}

// minCost returns the lowest cost of the site, without concentration penalties, over the given options of one domain
// and the present one.
func (szr *sizer) minCost(dom *domainChoice, opts []option) float64 {
	now := dom.option()
	least := szr.cost(szr.capacity)
	capacity := make([]float64, len(szr.mods))
	for idx := range opts {
		for mod := range szr.mods {
			capacity[mod] = szr.capacity[mod] - now.capacity[mod] + opts[idx].capacity[mod]
		}
		least = min(least, szr.cost(capacity))
	}
	return least
}

// cost returns the sum over all models of share²/(capacity/total VMs). The wait of a request grows with the work per
// VM, and the number of requests that wait grows with the share of the work.
func (szr *sizer) cost(capacity []float64) float64 {
	sum := 0.0
	for mod, num := range capacity {
		share := szr.shares[mod]
		sum += share * share / max(num, unservedGroupFraction*float64(szr.mods[mod].VMs))
	}
	return sum * float64(szr.totalVMs)
}

// concentrationPenalty returns the penalty for groups of one model in the same domain or zone if a domain uses an
// option.
func (szr *sizer) concentrationPenalty(dom *domainChoice, opt *option) float64 {
	now := dom.option()
	sum := 0
	for mod, num := range opt.groups {
		zone := szr.groupsByZone[dom.zone][mod] - now.groups[mod] + num
		sum += num*num + zone*zone
	}
	return concentrationWeight * float64(sum)
}
