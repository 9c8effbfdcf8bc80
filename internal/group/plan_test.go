package group

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cumintally/cumintally/pkg/document"
)

// simulation is an availability zone with random changes of its VMs and document and random write failures.
type simulation struct {
	tst         *rapid.T
	doc         *document.Document
	allocations map[string]Allocation
	vms         map[string]*VMView
	// reassignable holds the released VMs whose delay has passed.
	reassignable map[ReleasedVM]bool
	// loading holds the fencing tokens of groups whose members are not confirmed yet.
	loading map[Key]uint64
	drained map[Key]bool
}

func newSimulation(tst *rapid.T) *simulation {
	sim := &simulation{
		tst:          tst,
		allocations:  map[string]Allocation{},
		vms:          map[string]*VMView{},
		reassignable: map[ReleasedVM]bool{},
		loading:      map[Key]uint64{},
		drained:      map[Key]bool{},
		doc: &document.Document{
			Models: []document.Model{
				{
					Name:        "large",
					Version:     "1",
					VMsPerGroup: rapid.IntRange(2, 4).Draw(tst, "large"),
				},
				{
					Name:        "small",
					Version:     "1",
					VMsPerGroup: rapid.IntRange(1, 2).Draw(tst, "small"),
				},
			},
			Groups: []document.Group{
				{
					Name:             "a",
					Model:            "large",
					AvailabilityZone: "zone",
					Replicas:         rapid.IntRange(0, 3).Draw(tst, "a"),
				},
				{
					Name:             "b",
					Model:            "small",
					AvailabilityZone: "zone",
					Replicas:         rapid.IntRange(0, 3).Draw(tst, "b"),
				},
			},
		},
	}
	for dom := range rapid.IntRange(1, 3).Draw(tst, "domains") {
		for idx := range rapid.IntRange(1, 6).Draw(tst, "vms") {
			name := fmt.Sprintf("d%d-%d", dom, idx)
			sim.vms[name] = &VMView{
				Name:         name,
				FabricDomain: fmt.Sprintf("d%d", dom),
				Usable:       true,
			}
		}
	}
	return sim
}

func (sim *simulation) groups() map[Key]Group {
	grps := map[Key]Group{}
	for dom, alc := range sim.allocations {
		for _, grp := range alc.Groups {
			grps[Key{FabricDomain: dom, Group: grp.Name}] = grp
		}
	}
	return grps
}

// view returns the input of the planner. Members of groups are not usable, since they report a group.
func (sim *simulation) view() View {
	viw := View{
		AvailabilityZone: "zone",
		Document:         sim.doc,
		Reassignable:     sim.reassignable,
		Serving:          map[Key]bool{},
		Drained:          map[Key]bool{},
	}
	members := map[string]bool{}
	for _, dom := range sortedKeys(sim.allocations) {
		viw.Allocations = append(viw.Allocations, sim.allocations[dom])
		for _, grp := range sim.allocations[dom].Groups {
			key := Key{
				FabricDomain: dom,
				Group:        grp.Name,
			}
			viw.Serving[key] = sim.hasAllMembers(grp) && sim.loading[key] != grp.Fencing
			viw.Drained[key] = grp.Draining && sim.drained[key]
			for _, mem := range grp.Members {
				members[mem.VM] = true
			}
		}
	}
	for _, name := range sortedKeys(sim.vms) {
		vmv := *sim.vms[name]
		vmv.Usable = !vmv.Lost && !vmv.Leaving && !members[name]
		viw.VMs = append(viw.VMs, vmv)
	}
	return viw
}

func (sim *simulation) hasAllMembers(grp Group) bool {
	for _, mem := range grp.Members {
		if sim.vms[mem.VM].Lost {
			return false
		}
	}
	return true
}

// runPlan runs the planner and applies all of its changes or a random part, as after write conflicts.
func (sim *simulation) runPlan(all bool) int {
	before := maps.Clone(sim.allocations)
	chs := Plan(sim.view())
	for _, chg := range chs {
		alc := chg.Allocation
		sim.checkChange(before[alc.FabricDomain], alc)
		if all || rapid.Bool().Draw(sim.tst, "written") {
			sim.allocations[alc.FabricDomain] = alc
		}
	}
	sim.checkDisjoint()
	return len(chs)
}

// checkChange checks the invariants between two successive allocations of a domain.
func (sim *simulation) checkChange(old, alc Allocation) {
	tst := sim.tst
	if alc.Counter <= old.Counter {
		tst.Fatalf("the counter went from %d to %d", old.Counter, alc.Counter)
	}
	delayed := map[string]bool{}
	for _, rel := range old.Released {
		delayed[rel.VM] = !sim.reassignable[rel]
	}
	was := map[string]Group{}
	for _, grp := range old.Groups {
		was[grp.Name] = grp
	}
	now := map[string]Group{}
	for _, grp := range alc.Groups {
		now[grp.Name] = grp
		sim.checkMembers(alc, was[grp.Name], grp, delayed)
		sim.checkFencing(was[grp.Name], grp, alc)
	}
	for _, grp := range old.Groups {
		next, ok := now[grp.Name]
		changed := !ok || next.Fencing != grp.Fencing
		emptied := grp.Draining && sim.drained[Key{FabricDomain: alc.FabricDomain, Group: grp.Name}]
		if changed && sim.hasAllMembers(grp) && !emptied {
			tst.Fatalf("group %s has all its members and was changed without being drained: %+v to %+v", grp.Name, grp, next)
		}
		sim.checkReleased(grp, next, alc)
	}
}

func (sim *simulation) checkMembers(alc Allocation, was, grp Group, delayed map[string]bool) {
	tst := sim.tst
	before := memberNames(was)
	for _, mem := range grp.Members {
		vmv := sim.vms[mem.VM]
		if vmv.FabricDomain != alc.FabricDomain {
			tst.Fatalf("group %s of domain %s has VM %s of domain %s", grp.Name, alc.FabricDomain, mem.VM, vmv.FabricDomain)
		}
		if slices.Contains(before, mem.VM) {
			continue
		}
		if delayed[mem.VM] {
			tst.Fatalf("VM %s was assigned before its release delay passed", mem.VM)
		}
		if vmv.Lost || vmv.Leaving {
			tst.Fatalf("VM %s was assigned although it is lost or leaving", mem.VM)
		}
	}
}

func (sim *simulation) checkFencing(was, grp Group, alc Allocation) {
	same := slices.Equal(memberNames(was), memberNames(grp)) && was.Version == grp.Version && was.Model == grp.Model
	if same != (was.Fencing == grp.Fencing) {
		sim.tst.Fatalf("group %s: members or model changed is %v, but its fencing token went from %d to %d", grp.Name, !same, was.Fencing, grp.Fencing)
	}
	if !same && grp.Fencing != alc.Counter {
		sim.tst.Fatalf("group %s has fencing token %d, the counter is %d", grp.Name, grp.Fencing, alc.Counter)
	}
}

// checkReleased checks that each VM that left a group is recorded in Released, since a late order may reach it.
func (sim *simulation) checkReleased(was, next Group, alc Allocation) {
	for _, vm := range memberNames(was) {
		if slices.Contains(memberNames(next), vm) {
			continue
		}
		noted := slices.ContainsFunc(alc.Released, func(rel ReleasedVM) bool { return rel.VM == vm && rel.Counter == alc.Counter })
		if !noted {
			sim.tst.Fatalf("VM %s left group %s and is not recorded as released", vm, was.Name)
		}
	}
}

func (sim *simulation) checkDisjoint() {
	owner := map[string]Key{}
	for name, grp := range sim.groups() {
		for _, vm := range memberNames(grp) {
			if oth, ok := owner[vm]; ok {
				sim.tst.Fatalf("VM %s is in groups %v and %v", vm, oth, name)
			}
			owner[vm] = name
		}
	}
}

func memberNames(grp Group) []string {
	var names []string
	for _, mem := range grp.Members {
		names = append(names, mem.VM)
	}
	return names
}

// randomStep makes one random change to the zone.
func (sim *simulation) randomStep() {
	tst := sim.tst
	vmv := sim.vms[rapid.SampledFrom(sortedKeys(sim.vms)).Draw(tst, "vm")]
	mod := &sim.doc.Models[rapid.IntRange(0, 1).Draw(tst, "model")]
	switch rapid.SampledFrom([]string{"lose", "lose", "return", "leave", "stay", "slow", "fast", "settle", "load", "drain", "scale", "version", "size"}).Draw(tst, "step") {
	case "lose":
		vmv.Lost = true
	case "return":
		vmv.Lost = false
	case "leave":
		vmv.Leaving = true
	case "stay":
		vmv.Leaving = false
	case "slow":
		vmv.Straggler = true
	case "fast":
		vmv.Straggler = false
	case "settle":
		sim.expireReleaseDelays()
	case "load":
		sim.finishLoads()
	case "drain":
		sim.finishDrains()
	case "scale":
		sim.doc.Groups[rapid.IntRange(0, 1).Draw(tst, "group")].Replicas = rapid.IntRange(0, 3).Draw(tst, "replicas")
	case "version":
		mod.Version = fmt.Sprint(rapid.IntRange(1, 3).Draw(tst, "version"))
	case "size":
		mod.VMsPerGroup = rapid.IntRange(1, 4).Draw(tst, "size")
	}
}

func (sim *simulation) expireReleaseDelays() {
	for _, alc := range sim.allocations {
		for _, rel := range alc.Released {
			sim.reassignable[rel] = true
		}
	}
}

func (sim *simulation) finishLoads() {
	clear(sim.loading)
}

func (sim *simulation) finishDrains() {
	for name, grp := range sim.groups() {
		sim.drained[name] = grp.Draining
	}
}

// noteChanges marks groups with a new fencing token as loading, and groups that just started to drain as not drained.
func (sim *simulation) noteChanges(before map[Key]Group) {
	for name, grp := range sim.groups() {
		if before[name].Fencing != grp.Fencing {
			sim.loading[name] = grp.Fencing
		}
		if !grp.Draining || !before[name].Draining {
			sim.drained[name] = false
		}
	}
}

// runUntilStable runs the planner without faults until it makes no more changes.
func (sim *simulation) runUntilStable() {
	for range 60 {
		before := sim.groups()
		num := sim.runPlan(true)
		sim.noteChanges(before)
		if num == 0 && len(sim.loading) == 0 && !sim.drainPending() {
			return
		}
		sim.finishLoads()
		sim.finishDrains()
		sim.expireReleaseDelays()
	}
	sim.tst.Fatalf("the planner still writes after 60 plans without a fault: %+v", Plan(sim.view()))
}

// drainPending reports whether a complete group is still draining. Broken groups are left out: they wait for their
// member.
func (sim *simulation) drainPending() bool {
	for _, grp := range sim.groups() {
		if grp.Draining && sim.hasAllMembers(grp) {
			return true
		}
	}
	return false
}

// invariantCases counts the cases for the line that report prints.
var invariantCases int

// TestPlanKeepsInvariants guards against a VM in two groups, a group across fabric domains, a VM that is assigned
// before late orders to it have expired, a complete group that is changed without being drained, a reused fencing
// token, and a planner that never stops writing.
func TestPlanKeepsInvariants(tst *testing.T) {
	rapid.Check(tst, func(rpd *rapid.T) {
		invariantCases++
		sim := newSimulation(rpd)
		for range rapid.IntRange(1, 40).Draw(rpd, "steps") {
			sim.randomStep()
			before := sim.groups()
			sim.runPlan(false)
			sim.noteChanges(before)
		}
		sim.runUntilStable()
	})
	report("plan-invariants", invariantCases)
}

// TestPlanRollsOneAtATime guards against a new version that takes all replicas of a model out of service at once, and
// against a version that does not load but is still rolled out to the second replica.
func TestPlanRollsOneAtATime(tst *testing.T) {
	cases := 0
	rapid.Check(tst, func(rpd *rapid.T) {
		cases++
		sim := newSimulation(rpd)
		sim.doc.Groups[0].Replicas = rapid.IntRange(2, 3).Draw(rpd, "replicas")
		sim.runUntilStable()
		sim.doc.Models[0].Version = "2"
		for range rapid.IntRange(1, 30).Draw(rpd, "turns") {
			before := sim.groups()
			sim.runPlan(true)
			sim.noteChanges(before)
			out := 0
			for name, grp := range sim.groups() {
				if grp.Model == "large" && (grp.Draining || sim.loading[name] == grp.Fencing) {
					out++
				}
			}
			if out > 1 {
				rpd.Fatalf("%d replicas are out of service for one change", out)
			}
			if rapid.Bool().Draw(rpd, "load") {
				sim.finishLoads()
			}
			if rapid.Bool().Draw(rpd, "drain") {
				sim.finishDrains()
			}
		}
	})
	report("roll-keeps-capacity", cases)
}

// report prints the result of an invariant for make prove-groups.
func report(name string, cases int) {
	if os.Getenv("CUMINTALLY_PROVE") != "" {
		fmt.Printf("invariant=%s cases=%d violations=0\n", name, cases)
	}
}

func fixedView(domains map[string]int, models ...document.Model) View {
	viw := View{
		AvailabilityZone: "zone",
		Document: &document.Document{
			Models: models,
		},
		Reassignable: map[ReleasedVM]bool{},
		Serving:      map[Key]bool{},
		Drained:      map[Key]bool{},
	}
	for _, mod := range models {
		viw.Document.Groups = append(viw.Document.Groups, document.Group{
			Name:             mod.Name,
			Model:            mod.Name,
			AvailabilityZone: "zone",
			Replicas:         1,
		})
	}
	for _, dom := range sortedKeys(domains) {
		for idx := range domains[dom] {
			viw.VMs = append(viw.VMs, VMView{
				Name:         fmt.Sprintf("%s-%d", dom, idx),
				FabricDomain: dom,
				Usable:       true,
			})
		}
	}
	return viw
}

func model(name string, size int) document.Model {
	return document.Model{
		Name:        name,
		Version:     "1",
		VMsPerGroup: size,
	}
}

// applyPlan plans once and applies the changes to the view; members become unusable.
func applyPlan(viw *View) {
	alcs := map[string]Allocation{}
	for _, alc := range viw.Allocations {
		alcs[alc.FabricDomain] = alc
	}
	for _, chg := range Plan(*viw) {
		alcs[chg.Allocation.FabricDomain] = chg.Allocation
	}
	viw.Allocations = nil
	members := map[string]bool{}
	for _, dom := range sortedKeys(alcs) {
		viw.Allocations = append(viw.Allocations, alcs[dom])
		for _, grp := range alcs[dom].Groups {
			for _, vm := range memberNames(grp) {
				members[vm] = true
			}
		}
	}
	for idx := range viw.VMs {
		viw.VMs[idx].Usable = !members[viw.VMs[idx].Name]
	}
}

func (viw *View) loseVMs(names ...string) {
	for idx := range viw.VMs {
		if slices.Contains(names, viw.VMs[idx].Name) {
			viw.VMs[idx].Lost = true
		}
	}
}

func placement(viw View) map[string][]string {
	got := map[string][]string{}
	for _, alc := range viw.Allocations {
		for _, grp := range alc.Groups {
			got[grp.Name] = memberNames(grp)
		}
	}
	return got
}

// TestPlanPlacesLargestFirst guards against a small group in the only domain that fits a large one.
func TestPlanPlacesLargestFirst(tst *testing.T) {
	viw := fixedView(map[string]int{"d0": 4, "d1": 2}, model("a-small", 2), model("b-large", 4))
	applyPlan(&viw)
	qt.Assert(tst, placement(viw), qt.DeepEquals, map[string][]string{
		"a-small/0": {"d1-0", "d1-1"},
		"b-large/0": {"d0-0", "d0-1", "d0-2", "d0-3"},
	})
}

// TestPlanMovesSmallestBrokenGroup guards against idle survivors of a broken group that another domain can host, and
// against a broken group that is dissolved for lack of spare VMs although its member may return.
func TestPlanMovesSmallestBrokenGroup(tst *testing.T) {
	viw := fixedView(map[string]int{"d0": 5}, model("a", 3), model("b", 2))
	applyPlan(&viw)
	viw.loseVMs("d0-0", "d0-3")
	for idx := range 2 {
		viw.VMs = append(viw.VMs, VMView{
			Name:         fmt.Sprintf("d1-%d", idx),
			FabricDomain: "d1",
			Usable:       true,
		})
	}
	applyPlan(&viw)
	qt.Assert(tst, placement(viw), qt.DeepEquals, map[string][]string{
		"a/0": {"d0-0", "d0-1", "d0-2"},
		"b/0": {"d1-0", "d1-1"},
	})
	// The survivor of the moved group repairs the other one, but only after its release delay.
	applyPlan(&viw)
	qt.Assert(tst, placement(viw)["a/0"], qt.DeepEquals, []string{"d0-0", "d0-1", "d0-2"})
	for _, rel := range viw.Allocations[0].Released {
		viw.Reassignable[rel] = true
	}
	applyPlan(&viw)
	qt.Assert(tst, placement(viw)["a/0"], qt.DeepEquals, []string{"d0-4", "d0-1", "d0-2"})
}

// TestPlanReplacesStragglerOnlyBySpare guards against a group with a straggler that is drained without a spare to
// replace it.
func TestPlanReplacesStragglerOnlyBySpare(tst *testing.T) {
	for _, spares := range []int{0, 1} {
		viw := fixedView(map[string]int{"d0": 3 + spares}, model("a", 3))
		applyPlan(&viw)
		viw.Serving[Key{FabricDomain: "d0", Group: "a/0"}] = true
		viw.VMs[1].Straggler = true
		applyPlan(&viw)
		qt.Assert(tst, viw.Allocations[0].Groups[0].Draining, qt.Equals, spares > 0)
		viw.Drained[Key{FabricDomain: "d0", Group: "a/0"}] = true
		applyPlan(&viw)
		qt.Assert(tst, slices.Contains(placement(viw)["a/0"], "d0-1"), qt.Equals, spares == 0)
	}
}

// TestPlanKeepsGroupThatCannotBeResized guards against a serving group that is dissolved for one of another size, for which no fabric
// domain has enough VMs.
func TestPlanKeepsGroupThatCannotBeResized(tst *testing.T) {
	for _, vms := range []int{2, 3, 4} {
		viw := fixedView(map[string]int{"d0": vms}, model("a", 2))
		applyPlan(&viw)
		key := Key{FabricDomain: "d0", Group: "a/0"}
		viw.Serving[key] = true
		viw.Drained[key] = true
		viw.Document.Models = []document.Model{model("a", 4)}
		for range 4 {
			applyPlan(&viw)
			for _, rel := range viw.Allocations[0].Released {
				viw.Reassignable[rel] = true
			}
		}
		size := 2
		if vms == 4 {
			size = 4
		}
		qt.Assert(tst, placement(viw)["a/0"], qt.HasLen, size, qt.Commentf("%d VMs", vms))
		qt.Assert(tst, viw.Allocations[0].Groups[0].Draining, qt.IsFalse)
	}
}

// TestPlanCounterExceedsReported guards against a domain whose object was created again and whose engines reject every
// order as stale.
func TestPlanCounterExceedsReported(tst *testing.T) {
	viw := fixedView(map[string]int{"d0": 2}, model("a", 2))
	viw.VMs[1].FencingToken = 41
	applyPlan(&viw)
	qt.Assert(tst, viw.Allocations[0].Groups[0].Fencing, qt.Equals, uint64(42))
}

// TestPlanRecordsUnmet guards against a missing group without a reason in the status.
func TestPlanRecordsUnmet(tst *testing.T) {
	viw := fixedView(map[string]int{"d0": 2}, model("a", 2), model("b", 3))
	applyPlan(&viw)
	viw.loseVMs("d0-1")
	applyPlan(&viw)
	qt.Assert(tst, viw.Allocations[0].Unmet, qt.DeepEquals, []UnmetGroup{
		{
			Group:  "a/0",
			Reason: "a member is lost and fabric domain d0 has no spare VM for it",
		},
		{
			Group:  "b/0",
			Reason: "no fabric domain has 3 spare VMs",
		},
	})
	qt.Assert(tst, Plan(viw), qt.HasLen, 0)
}

// defaultChecks is the number of random sequences if the flag rapid.checks is not given. The faults found so far needed
// between 2 and 3,400 sequences.
const defaultChecks = "2000"

func TestMain(run *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(flg *flag.Flag) { given = given || flg.Name == "rapid.checks" })
	if !given {
		_ = flag.Set("rapid.checks", defaultChecks)
	}
	os.Exit(run.Run())
}

// Guards against a group in the same epoch as one whose allocation the store has lost: members of both would count as ready in
// one group.
func TestCounterExceedsLostCounters(tst *testing.T) {
	const lost = 40
	chgs := Plan(View{
		AvailabilityZone: "zone",
		Document: &document.Document{
			Models: []document.Model{
				{
					Name:        "small",
					VMsPerGroup: 1,
				},
			},
			Groups: []document.Group{
				{
					Name:             "a",
					Model:            "small",
					AvailabilityZone: "zone",
					Replicas:         1,
				},
			},
		},
		VMs: []VMView{
			{
				Name:         "vm-1",
				FabricDomain: "fabric",
				Usable:       true,
				FencingToken: 7,
			},
		},
		MinCounter: lost,
	})
	qt.Assert(tst, chgs, qt.HasLen, 1)
	qt.Check(tst, chgs[0].Allocation.Groups[0].Fencing > lost, qt.IsTrue)
}
