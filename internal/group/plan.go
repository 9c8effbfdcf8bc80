package group

import (
	"slices"
	"sort"
	"strconv"

	"github.com/cumintally/cumintally/pkg/document"
)

// VMView is the state of one VM as the controller knows it.
type VMView struct {
	Name         string
	FabricDomain string
	Address      string
	// Usable is set if the VM may be assigned once it is in no group: it is known, is not leaving and meets the further
	// conditions of the caller, such as that it reports that it is idle or that it has weights locally.
	Usable bool
	// Lost is set if the VM must be replaced: it has not reported or been registered for too long, or its engine has
	// ended.
	Lost bool
	// Leaving is set if the platform is about to remove the VM; its group is drained first.
	Leaving bool
	// Straggler is set if the VM has been far slower than others for so long that it should be replaced.
	Straggler bool
	// FencingToken is the fencing token that the VM reports.
	FencingToken uint64
	// Busy is set if the VM still reports a former group. Other VMs are assigned before it.
	Busy bool
	// ModelInMemory is the model whose weights the VM holds in memory, empty if there is none or it is unknown.
	ModelInMemory string
	// StagedModels holds the models whose weights the VM's host holds.
	StagedModels []string
}

// View is the input of Plan: the state of one availability zone, or of those of its fabric domains that are planned
// together.
type View struct {
	AvailabilityZone string
	Document         *document.Document
	Allocations      []Allocation
	VMs              []VMView
	// LocalWeightsOnly restricts VMs to groups whose weights they have in memory or on their host, because a group that
	// waits for a member to load weights keeps its other members idle.
	LocalWeightsOnly bool
	// Reassignable holds the released VMs whose delay has passed, so that they may be assigned again.
	Reassignable map[ReleasedVM]bool
	// Serving holds the groups all of whose members are confirmed.
	Serving map[Key]bool
	// Drained holds the groups that count as empty, so that a draining one may be changed: they have no requests in
	// flight, have no working head, or have been draining for longer than the caller waits.
	Drained map[Key]bool
	// Broken holds the groups that have stopped working although no member is lost, and that must be formed again.
	Broken map[Key]bool
	// MinCounter is at least the counter of any allocation that was written and then lost.
	MinCounter uint64
}

// Key identifies a group by fabric domain and name. While a group moves, two domains can hold a group of that name.
type Key struct {
	FabricDomain string
	Group        string
}

// Change is the next allocation of one fabric domain. Its Version is that of the current allocation, so that it can be
// written by a conditional update.
type Change struct {
	Allocation Allocation
}

// desiredGroup is one replica that the document specifies.
type desiredGroup struct {
	name  string
	model document.Model
}

// Plan returns the allocations that should change. Each must be written by a conditional update.
func Plan(viw View) []Change {
	pln := newPlanner(viw)
	pln.repairBroken()
	pln.moveBroken()
	pln.dissolveForRepair()
	pln.applyPlannedChanges()
	pln.placeMissing()
	pln.recordUnmet()
	return pln.changes()
}

type planner struct {
	viw     View
	desired map[string]desiredGroup
	domains map[string]*domain
	// placed holds the domain of each desired group that is allocated.
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
			minCounter:       pln.viw.MinCounter,

			vms:            map[string]VMView{},
			assigned:       map[string]bool{},
			releaseDelayed: map[string]bool{},
		}
		pln.domains[name] = dom
	}
	return dom
}

// adoptAllocation adds a current allocation to the plan. If a group is in two domains, because only one of the two
// writes of a move was made, the copy without lost members counts as the desired group, otherwise the first one.
func (pln *planner) adoptAllocation(alc Allocation) {
	dom := pln.domain(alc.FabricDomain)
	dom.alc = alc
	dom.alc.Groups = slices.Clone(alc.Groups)
	dom.alc.Released = slices.Clone(alc.Released)
	for _, rel := range alc.Released {
		if !pln.viw.Reassignable[rel] {
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

// desiredIn returns the desired state of a group in a domain. It returns false if the document does not specify the
// group or the group is placed in another domain.
func (pln *planner) desiredIn(dom *domain, grp Group) (desiredGroup, bool) {
	des, ok := pln.desired[grp.Name]
	return des, ok && pln.placed[grp.Name] == dom
}

// placeMissing forms the desired groups that are not allocated. Large groups are placed first, since small ones fit
// into the spare VMs that remain.
func (pln *planner) placeMissing() {
	var missing []desiredGroup
	for _, name := range sortedKeys(pln.desired) {
		if pln.placed[name] == nil && !pln.isAllocated(name) {
			missing = append(missing, pln.desired[name])
		}
	}
	sort.SliceStable(missing, func(fst, snd int) bool {
		return missing[fst].model.VMsPerGroup > missing[snd].model.VMsPerGroup
	})
	for _, des := range missing {
		if !pln.placeGroup(des) {
			pln.unmet[des.name] = "no fabric domain has " + strconv.Itoa(des.model.VMsPerGroup) + " spare VMs"
		}
	}
}

// isAllocated reports whether any domain still holds a group of a name, such as the second copy of a group that moved.
// The next plan adopts it as the desired group.
func (pln *planner) isAllocated(name string) bool {
	for _, dom := range pln.domains {
		if dom.group(name) != nil {
			return true
		}
	}
	return false
}

// placeGroup forms a group in the domain with the fewest spare VMs that suffice (best fit), which leaves domains with
// many spare VMs for large groups. It returns false if no domain has enough.
func (pln *planner) placeGroup(des desiredGroup) bool {
	var best *domain
	fewest := 0
	for _, name := range sortedKeys(pln.domains) {
		dom := pln.domains[name]
		num := len(dom.sparesFor(des.model.Name))
		if num >= des.model.VMsPerGroup && (best == nil || num < fewest) {
			best, fewest = dom, num
		}
	}
	if best == nil {
		return false
	}
	grp := Group{
		Name:    des.name,
		Members: best.assignSpares(des.model.VMsPerGroup, des.model.Name),
	}
	best.applyModel(&grp, des)
	best.alc.Groups = append(best.alc.Groups, grp)
	pln.placed[des.name] = best
	return true
}

// recordUnmet writes the groups that cannot be formed or repaired, or that have a leaving member, into the allocation
// of the first domain of the view.
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
		dom.pruneReleased(pln.viw.Reassignable)
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
