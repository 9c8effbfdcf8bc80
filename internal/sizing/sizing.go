package sizing

import "github.com/cumintally/cumintally/internal/route"

const (
	// unserved is the part of a group that a model without any counts as having, so that a first group comes before all
	// others.
	unserved = 0.02
	// spread weighs groups of one model in the same zone or domain, a tenth or less of what a group is worth on sites of up
	// to a thousand VMs: it decides between places that are about as good otherwise.
	spread = 1e-4
	// leastGain is a gain that is not due to rounding.
	leastGain = 1e-9
)

// None stands for no model.
const None = -1

// VM is a VM of a fabric domain. Models are given by their index.
type VM struct {
	// Serves is the model of the group that the VM works in, None if it is in no group that works.
	Serves int
	// Group numbers the groups of a model in the domain; those with high numbers are given up first.
	Group int
	// Holds are the models whose weights the VM has at hand.
	Holds []int
}

// Domain is a fabric domain with the VMs that can be used.
type Domain struct {
	Name string
	Zone string
	// Out says that the zone gets no requests, so that its groups meet no need and stay as they are.
	Out bool
	VMs []VM
}

// domain is what is weighed of a fabric domain.
type domain struct {
	zone    string
	options []option
	chosen  int
}

// sizer holds the choices while they are worked out.
type sizer struct {
	mods []route.Model
	doms []*domain
	vms  int
	// serving holds the VMs that serve each model in all domains by the choices so far.
	serving []float64
	// zones holds the groups of each model by zone.
	zones map[string][]int
}

// Plan is the number of groups that each domain should run, and what follows from it.
type Plan struct {
	// Groups holds the number of groups by domain and model.
	Groups [][]int

	szr  *sizer
	doms []Domain
	// weighed holds the place of each domain among those of the sizer, -1 if its zone is out.
	weighed []int
}

// New returns the plan for domains, given the groups that work now.
func New(mods []route.Model, doms []Domain) *Plan {
	pln := &Plan{
		doms: doms,
		szr: &sizer{
			mods:    mods,
			serving: make([]float64, len(mods)),
			zones:   map[string][]int{},
		},
	}
	for idx := range doms {
		has := working(mods, doms[idx].VMs)
		pln.Groups = append(pln.Groups, has)
		if doms[idx].Out {
			pln.weighed = append(pln.weighed, -1)
			continue
		}
		pln.weighed = append(pln.weighed, len(pln.szr.doms))
		pln.szr.vms += len(doms[idx].VMs)
		pln.szr.add(doms[idx].Zone, options(mods, doms[idx].VMs, has))
	}
	for pln.szr.improve() {
	}
	for idx, pos := range pln.weighed {
		if pos >= 0 {
			pln.Groups[idx] = pln.szr.doms[pos].option().groups
		}
	}
	return pln
}

// Load returns the model whose weights a VM of a domain should load that has none at hand: the one by which the site gains
// most, that with the largest groups of several, since they are the hardest to make whole. The plan counts on it then.
func (pln *Plan) Load(dom, vm int) int {
	mods := pln.szr.mods
	best, least := None, 0.0
	vms := pln.doms[dom].VMs
	for mod := range mods {
		vms[vm].Holds = []int{mod}
		cst := 0.0
		if pos := pln.weighed[dom]; pos >= 0 {
			cst = pln.szr.leastCost(pln.szr.doms[pos], options(mods, vms, working(mods, vms)))
		}
		if best == None || cst < least-leastGain || (cst < least+leastGain && mods[mod].VMs > mods[best].VMs) {
			best, least = mod, cst
		}
	}
	vms[vm].Holds = []int{best}
	return best
}

// Loading makes the plan count on a VM that loads the weights of a model.
func (pln *Plan) Loading(dom, vm int, model string) {
	for mod := range pln.szr.mods {
		if pln.szr.mods[mod].Name == model {
			pln.doms[dom].VMs[vm].Holds = []int{mod}
		}
	}
}

func (dom *domain) option() *option {
	return &dom.options[dom.chosen]
}

func (szr *sizer) add(zone string, opts []option) {
	dom := &domain{
		zone:    zone,
		options: opts,
	}
	szr.doms = append(szr.doms, dom)
	if szr.zones[zone] == nil {
		szr.zones[zone] = make([]int, len(szr.mods))
	}
	szr.count(dom, 1)
}

// count adds the chosen way to fill a domain to the sums, or takes it away.
func (szr *sizer) count(dom *domain, sign int) {
	opt := dom.option()
	for mod := range szr.mods {
		szr.serving[mod] += float64(sign) * opt.serving[mod]
		szr.zones[dom.zone][mod] += sign * opt.groups[mod]
	}
}

// improve makes the change of one domain that lowers the cost most, and reports whether there is one.
func (szr *sizer) improve() bool {
	least := szr.cost(szr.serving) - leastGain
	var best *domain
	bestOption := 0
	serving := make([]float64, len(szr.mods))
	for _, dom := range szr.doms {
		now := dom.option()
		evenness := szr.unevenness(dom, now)
		for idx := range dom.options {
			opt := &dom.options[idx]
			for mod := range szr.mods {
				serving[mod] = szr.serving[mod] - now.serving[mod] + opt.serving[mod]
			}
			if cst := szr.cost(serving) + szr.unevenness(dom, opt) - evenness; cst < least {
				least, best, bestOption = cst, dom, idx
			}
		}
	}
	if best == nil {
		return false
	}
	szr.count(best, -1)
	best.chosen = bestOption
	szr.count(best, 1)
	return true
}

// leastCost returns the least cost of the site that one domain can reach by some ways to fill it.
func (szr *sizer) leastCost(dom *domain, opts []option) float64 {
	now := dom.option()
	least := szr.cost(szr.serving)
	serving := make([]float64, len(szr.mods))
	for idx := range opts {
		for mod := range szr.mods {
			serving[mod] = szr.serving[mod] - now.serving[mod] + opts[idx].serving[mod]
		}
		least = min(least, szr.cost(serving))
	}
	return least
}

// cost is the sum over models of the work squared over the part of the VMs that serves it: requests wait longer the more
// work comes for each VM, and there are the more of them.
func (szr *sizer) cost(serving []float64) float64 {
	sum := 0.0
	for mod, num := range serving {
		share := szr.mods[mod].Share
		sum += share * share / max(num, unserved*float64(szr.mods[mod].VMs))
	}
	return sum * float64(szr.vms)
}

// unevenness grows with the groups of a model that the same domain or zone holds, if a domain is filled in a given way.
func (szr *sizer) unevenness(dom *domain, opt *option) float64 {
	now := dom.option()
	sum := 0
	for mod, num := range opt.groups {
		zone := szr.zones[dom.zone][mod] - now.groups[mod] + num
		sum += num*num + zone*zone
	}
	return spread * float64(sum)
}
