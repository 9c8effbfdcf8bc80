package group

import (
	"slices"
	"sort"
	"strconv"

	"github.com/cumintally/cumintally/pkg/document"
)

// VMView is what the controller knows of one VM.
type VMView struct {
	Name         string
	FabricDomain string
	Address      string
	// Usable says that the VM is on the platform's list, is not leaving, and reports that it is idle.
	Usable bool
	// Lost says that the VM has been silent for long enough to be replaced.
	Lost bool
	// Leaving says that the VM is about to be taken away; its group is drained first.
	Leaving bool
	// Straggler says that the VM has been far slower than others for long enough to be replaced.
	Straggler bool
	// Fencing is the fencing number that the VM reports.
	Fencing uint64
	// Busy says that the VM still works for a former group, so that others are assigned before it.
	Busy bool
	// ModelInMemory is the model whose weights the VM holds in memory, empty if that is none or not known.
	ModelInMemory string
	// Staged are the models whose weights the VM's host holds.
	Staged []string
}

// View is what a plan is made from: one availability zone.
type View struct {
	AvailabilityZone string
	Document         *document.Document
	Allocations      []Allocation
	VMs              []VMView
	// LocalWeightsOnly says that VMs join only groups whose weights they have at hand: a group that waits for a load keeps its
	// other members idle.
	LocalWeightsOnly bool
	// Settled holds the released VMs whose delay has passed.
	Settled map[ReleasedVM]bool
	// Serving holds the groups whose members are all confirmed.
	Serving map[Place]bool
	// Drained holds the draining groups that have no more work.
	Drained map[Place]bool
	// Broken holds the groups without lost members that have stopped working and must be formed anew.
	Broken map[Place]bool
}

// Place names a group in a fabric domain; while a group moves, two domains can hold one of its name.
type Place struct {
	FabricDomain string
	Group        string
}

// Change is the next allocation of one fabric domain; its Version is that of the copy it was made from.
type Change struct {
	Allocation Allocation
}

// desiredGroup is one replica that the document asks for.
type desiredGroup struct {
	name  string
	model document.Model
}

// Plan returns the allocations that should change, each to be written by a conditional update.
func Plan(viw View) []Change {
	pln := newPlanner(viw)
	pln.repairBroken()
	pln.moveBroken()
	pln.dissolveSmallest()
	pln.applyPlannedChanges()
	pln.placeMissing()
	pln.recordUnmet()
	return pln.changes()
}

type planner struct {
	viw     View
	desired map[string]desiredGroup
	domains map[string]*domain
	// placed holds the domain of each wanted group that has one.
	placed map[string]*domain
	unmet  map[string]string
}

func newPlanner(viw View) *planner {
	pln := &planner{
		viw:     viw,
		desired: map[string]desiredGroup{},
		domains: map[string]*domain{},
		placed:  map[string]*domain{},
		unmet:   map[string]string{},
	}
	pln.addDesired()
	for _, vmv := range viw.VMs {
		pln.domain(vmv.FabricDomain).vms[vmv.Name] = vmv
	}
	for _, alc := range viw.Allocations {
		pln.adoptAllocation(alc)
	}
	return pln
}

func (pln *planner) addDesired() {
	models := map[string]document.Model{}
	for _, mod := range pln.viw.Document.Models {
		models[mod.Name] = mod
	}
	for _, grp := range pln.viw.Document.Groups {
		mod, ok := models[grp.Model]
		if !ok || grp.AvailabilityZone != pln.viw.AvailabilityZone {
			continue
		}
		for idx := range grp.Replicas {
			name := grp.Name + "/" + strconv.Itoa(idx)
			pln.desired[name] = desiredGroup{
				name:  name,
				model: mod,
			}
		}
	}
}

func (pln *planner) domain(name string) *domain {
	dom, ok := pln.domains[name]
	if !ok {
		dom = &domain{
			alc: Allocation{
				FabricDomain:     name,
				AvailabilityZone: pln.viw.AvailabilityZone,
			},
			localWeightsOnly: pln.viw.LocalWeightsOnly,

			vms:            map[string]VMView{},
			assigned:       map[string]bool{},
			releaseDelayed: map[string]bool{},
		}
		pln.domains[name] = dom
	}
	return dom
}

// adoptAllocation takes over an allocation. A group that is in two domains, because only one of the two writes of
// a move was made, counts as wanted where it serves, else in the first domain.
func (pln *planner) adoptAllocation(alc Allocation) {
	dom := pln.domain(alc.FabricDomain)
	dom.alc = alc
	dom.alc.Groups = slices.Clone(alc.Groups)
	dom.alc.Released = slices.Clone(alc.Released)
	for _, rel := range alc.Released {
		if !pln.viw.Settled[rel] {
			dom.releaseDelayed[rel.VM] = true
		}
	}
	for _, grp := range alc.Groups {
		for _, mem := range grp.Members {
			dom.assigned[mem.VM] = true
		}
		if _, ok := pln.desired[grp.Name]; !ok {
			continue
		}
		if other := pln.placed[grp.Name]; other == nil || (other.lostCount(*other.group(grp.Name)) > 0 && dom.lostCount(grp) == 0) {
			pln.placed[grp.Name] = dom
		}
	}
}

// desiredIn returns what the document asks for of a group in a domain.
func (pln *planner) desiredIn(dom *domain, grp Group) (desiredGroup, bool) {
	want, ok := pln.desired[grp.Name]
	return want, ok && pln.placed[grp.Name] == dom
}

// placeMissing forms the groups that are asked for and not there, the largest first, since a small one fits
// into what a large one leaves.
func (pln *planner) placeMissing() {
	var wants []desiredGroup
	for _, name := range sortedKeys(pln.desired) {
		if pln.placed[name] == nil && !pln.isAllocated(name) {
			wants = append(wants, pln.desired[name])
		}
	}
	sort.SliceStable(wants, func(fst, snd int) bool {
		return wants[fst].model.VMsPerGroup > wants[snd].model.VMsPerGroup
	})
	for _, want := range wants {
		if !pln.placeGroup(want) {
			pln.unmet[want.name] = "no fabric domain has " + strconv.Itoa(want.model.VMsPerGroup) + " spare VMs"
		}
	}
}

// isAllocated reports whether a domain still holds a group, such as the second copy of one that moved; the next
// plan counts it as wanted.
func (pln *planner) isAllocated(name string) bool {
	for _, dom := range pln.domains {
		if dom.group(name) != nil {
			return true
		}
	}
	return false
}

// placeGroup places a group in the domain with the fewest spare VMs that still suffice, which leaves larger
// runs of spare VMs for larger groups.
func (pln *planner) placeGroup(want desiredGroup) bool {
	var best *domain
	fewest := 0
	for _, name := range sortedKeys(pln.domains) {
		dom := pln.domains[name]
		num := len(dom.sparesFor(want.model.Name))
		if num >= want.model.VMsPerGroup && (best == nil || num < fewest) {
			best, fewest = dom, num
		}
	}
	if best == nil {
		return false
	}
	grp := Group{
		Name:    want.name,
		Members: best.assignSpares(want.model.VMsPerGroup, want.model.Name),
	}
	best.applyModel(&grp, want)
	best.alc.Groups = append(best.alc.Groups, grp)
	pln.placed[want.name] = best
	return true
}

// recordUnmet states the groups that cannot be formed or repaired in the zone's first domain.
func (pln *planner) recordUnmet() {
	for idx, name := range sortedKeys(pln.domains) {
		dom := pln.domains[name]
		var list []UnmetGroup
		if idx == 0 {
			for _, grp := range sortedKeys(pln.unmet) {
				list = append(list, UnmetGroup{
					Group:  grp,
					Reason: pln.unmet[grp],
				})
			}
		}
		if !slices.Equal(dom.alc.Unmet, list) {
			dom.alc.Unmet = list
			dom.changed = true
		}
	}
}

func (pln *planner) changes() []Change {
	var chs []Change
	for _, name := range sortedKeys(pln.domains) {
		dom := pln.domains[name]
		if !dom.changed {
			continue
		}
		dom.pruneReleased(pln.viw.Settled)
		dom.alc.Counter = dom.nextCounter()
		chs = append(chs, Change{
			Allocation: dom.alc,
		})
	}
	return chs
}

func sortedKeys[T any](set map[string]T) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
