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

// simulation is an availability zone whose VMs, documents and writes go through random sequences.
type simulation struct {
	tst         *rapid.T
	doc         *document.Document
	allocations map[string]Allocation
	vms         map[string]*VMView
	// settled are released VMs whose delay has passed.
	settled map[ReleasedVM]bool
	// loading holds the fencing numbers of groups that have not confirmed their members yet.
	loading map[Place]uint64
	drained map[Place]bool
}

func newSimulation(tst *rapid.T) *simulation {
	wld := &simulation{
		tst:         tst,
		allocations: map[string]Allocation{},
		vms:         map[string]*VMView{},
		settled:     map[ReleasedVM]bool{},
		loading:     map[Place]uint64{},
		drained:     map[Place]bool{},
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
			wld.vms[name] = &VMView{
				Name:         name,
				FabricDomain: fmt.Sprintf("d%d", dom),
				Usable:       true,
			}
		}
	}
	return wld
}

func (wld *simulation) groups() map[Place]Group {
	grps := map[Place]Group{}
	for dom, alc := range wld.allocations {
		for _, grp := range alc.Groups {
			grps[Place{FabricDomain: dom, Group: grp.Name}] = grp
		}
	}
	return grps
}

// view gives the planner what a controller knows; members of groups are not usable, since they report one.
func (wld *simulation) view() View {
	viw := View{
		AvailabilityZone: "zone",
		Document:         wld.doc,
		Settled:          wld.settled,
		Serving:          map[Place]bool{},
		Drained:          map[Place]bool{},
	}
	members := map[string]bool{}
	for _, dom := range sortedKeys(wld.allocations) {
		viw.Allocations = append(viw.Allocations, wld.allocations[dom])
		for _, grp := range wld.allocations[dom].Groups {
			plc := Place{
				FabricDomain: dom,
				Group:        grp.Name,
			}
			viw.Serving[plc] = wld.hasAllMembers(grp) && wld.loading[plc] != grp.Fencing
			viw.Drained[plc] = grp.Draining && wld.drained[plc]
			for _, mem := range grp.Members {
				members[mem.VM] = true
			}
		}
	}
	for _, name := range sortedKeys(wld.vms) {
		vmv := *wld.vms[name]
		vmv.Usable = !vmv.Lost && !vmv.Leaving && !members[name]
		viw.VMs = append(viw.VMs, vmv)
	}
	return viw
}

func (wld *simulation) hasAllMembers(grp Group) bool {
	for _, mem := range grp.Members {
		if wld.vms[mem.VM].Lost {
			return false
		}
	}
	return true
}

// runPlan runs the planner and applies all of its writes or, as after conflicts, some of them.
func (wld *simulation) runPlan(all bool) int {
	before := maps.Clone(wld.allocations)
	chs := Plan(wld.view())
	for _, chg := range chs {
		alc := chg.Allocation
		wld.checkChange(before[alc.FabricDomain], alc)
		if all || rapid.Bool().Draw(wld.tst, "written") {
			wld.allocations[alc.FabricDomain] = alc
		}
	}
	wld.checkDisjoint()
	return len(chs)
}

// checkChange compares two versions of one domain's allocation.
func (wld *simulation) checkChange(old, alc Allocation) {
	tst := wld.tst
	if alc.Counter <= old.Counter {
		tst.Fatalf("the counter went from %d to %d", old.Counter, alc.Counter)
	}
	held := map[string]bool{}
	for _, rel := range old.Released {
		held[rel.VM] = !wld.settled[rel]
	}
	was := map[string]Group{}
	for _, grp := range old.Groups {
		was[grp.Name] = grp
	}
	now := map[string]Group{}
	for _, grp := range alc.Groups {
		now[grp.Name] = grp
		wld.checkMembers(alc, was[grp.Name], grp, held)
		wld.checkFencing(was[grp.Name], grp, alc)
	}
	for _, grp := range old.Groups {
		next, ok := now[grp.Name]
		changed := !ok || next.Fencing != grp.Fencing
		emptied := grp.Draining && wld.drained[Place{FabricDomain: alc.FabricDomain, Group: grp.Name}]
		if changed && wld.hasAllMembers(grp) && !emptied {
			tst.Fatalf("group %s has all members, was not drained, and was changed: %+v to %+v", grp.Name, grp, next)
		}
		wld.checkReleased(grp, next, alc)
	}
}

func (wld *simulation) checkMembers(alc Allocation, was, grp Group, held map[string]bool) {
	tst := wld.tst
	before := memberNames(was)
	for _, mem := range grp.Members {
		vmv := wld.vms[mem.VM]
		if vmv.FabricDomain != alc.FabricDomain {
			tst.Fatalf("group %s of domain %s has VM %s of domain %s", grp.Name, alc.FabricDomain, mem.VM, vmv.FabricDomain)
		}
		if slices.Contains(before, mem.VM) {
			continue
		}
		if held[mem.VM] {
			tst.Fatalf("VM %s was assigned before its delay passed", mem.VM)
		}
		if vmv.Lost || vmv.Leaving {
			tst.Fatalf("VM %s was assigned although it is lost or leaving", mem.VM)
		}
	}
}

func (wld *simulation) checkFencing(was, grp Group, alc Allocation) {
	same := slices.Equal(memberNames(was), memberNames(grp)) && was.Version == grp.Version && was.Model == grp.Model
	if same != (was.Fencing == grp.Fencing) {
		wld.tst.Fatalf("group %s: members or model changed is %v, but its number went from %d to %d", grp.Name, !same, was.Fencing, grp.Fencing)
	}
	if !same && grp.Fencing != alc.Counter {
		wld.tst.Fatalf("group %s has number %d, the counter is %d", grp.Name, grp.Fencing, alc.Counter)
	}
}

// checkReleased demands that each VM that left a group is noted, since a late order may reach it.
func (wld *simulation) checkReleased(was, next Group, alc Allocation) {
	for _, vm := range memberNames(was) {
		if slices.Contains(memberNames(next), vm) {
			continue
		}
		noted := slices.ContainsFunc(alc.Released, func(rel ReleasedVM) bool { return rel.VM == vm && rel.Counter == alc.Counter })
		if !noted {
			wld.tst.Fatalf("VM %s left group %s and is not noted as released", vm, was.Name)
		}
	}
}

func (wld *simulation) checkDisjoint() {
	owner := map[string]Place{}
	for name, grp := range wld.groups() {
		for _, vm := range memberNames(grp) {
			if oth, ok := owner[vm]; ok {
				wld.tst.Fatalf("VM %s is in groups %v and %v", vm, oth, name)
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

// randomStep changes the world at random.
func (wld *simulation) randomStep() {
	tst := wld.tst
	vmv := wld.vms[rapid.SampledFrom(sortedKeys(wld.vms)).Draw(tst, "vm")]
	mod := &wld.doc.Models[rapid.IntRange(0, 1).Draw(tst, "model")]
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
		wld.expireReleaseDelays()
	case "load":
		wld.finishLoads()
	case "drain":
		wld.finishDrains()
	case "scale":
		wld.doc.Groups[rapid.IntRange(0, 1).Draw(tst, "group")].Replicas = rapid.IntRange(0, 3).Draw(tst, "replicas")
	case "version":
		mod.Version = fmt.Sprint(rapid.IntRange(1, 3).Draw(tst, "version"))
	case "size":
		mod.VMsPerGroup = rapid.IntRange(1, 4).Draw(tst, "size")
	}
}

func (wld *simulation) expireReleaseDelays() {
	for _, alc := range wld.allocations {
		for _, rel := range alc.Released {
			wld.settled[rel] = true
		}
	}
}

func (wld *simulation) finishLoads() {
	clear(wld.loading)
}

func (wld *simulation) finishDrains() {
	for name, grp := range wld.groups() {
		wld.drained[name] = grp.Draining
	}
}

// noteChanges marks groups with a new number as loading and as not drained.
func (wld *simulation) noteChanges(before map[Place]Group) {
	for name, grp := range wld.groups() {
		if before[name].Fencing != grp.Fencing {
			wld.loading[name] = grp.Fencing
		}
		if !grp.Draining || !before[name].Draining {
			wld.drained[name] = false
		}
	}
}

// runUntilStable lets time pass without faults until the planner has nothing to do.
func (wld *simulation) runUntilStable() {
	for range 60 {
		before := wld.groups()
		num := wld.runPlan(true)
		wld.noteChanges(before)
		if num == 0 && len(wld.loading) == 0 && !wld.drainPending() {
			return
		}
		wld.finishLoads()
		wld.finishDrains()
		wld.expireReleaseDelays()
	}
	wld.tst.Fatalf("the planner still writes after 60 plans without a fault: %+v", Plan(wld.view()))
}

// drainPending reports whether a whole group still waits to be emptied; a broken one waits for its member.
func (wld *simulation) drainPending() bool {
	for _, grp := range wld.groups() {
		if grp.Draining && wld.hasAllMembers(grp) {
			return true
		}
	}
	return false
}

// cases counts for the line that the invariants report prints.
var invariantCases int

// TestPlanKeepsInvariants guards against a VM in two groups, a group across fabric domains, a VM that is
// assigned before late orders to it have expired, a whole group that is changed without being drained,
// a reused fencing number, and a planner that never stops writing.
func TestPlanKeepsInvariants(tst *testing.T) {
	rapid.Check(tst, func(rpd *rapid.T) {
		invariantCases++
		wld := newSimulation(rpd)
		for range rapid.IntRange(1, 40).Draw(rpd, "steps") {
			wld.randomStep()
			before := wld.groups()
			wld.runPlan(false)
			wld.noteChanges(before)
		}
		wld.runUntilStable()
	})
	report("plan-invariants", invariantCases)
}

// TestPlanRollsOneAtATime guards against a new version that takes all replicas of a model out of service
// at once, and against one that does not load and still reaches the second replica.
func TestPlanRollsOneAtATime(tst *testing.T) {
	cases := 0
	rapid.Check(tst, func(rpd *rapid.T) {
		cases++
		wld := newSimulation(rpd)
		wld.doc.Groups[0].Replicas = rapid.IntRange(2, 3).Draw(rpd, "replicas")
		wld.runUntilStable()
		wld.doc.Models[0].Version = "2"
		for range rapid.IntRange(1, 30).Draw(rpd, "turns") {
			before := wld.groups()
			wld.runPlan(true)
			wld.noteChanges(before)
			out := 0
			for name, grp := range wld.groups() {
				if grp.Model == "large" && (grp.Draining || wld.loading[name] == grp.Fencing) {
					out++
				}
			}
			if out > 1 {
				rpd.Fatalf("%d replicas are out of service for one change", out)
			}
			if rapid.Bool().Draw(rpd, "load") {
				wld.finishLoads()
			}
			if rapid.Bool().Draw(rpd, "drain") {
				wld.finishDrains()
			}
		}
	})
	report("roll-keeps-capacity", cases)
}

// report prints the line of an invariant for make prove-groups.
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
		Settled: map[ReleasedVM]bool{},
		Serving: map[Place]bool{},
		Drained: map[Place]bool{},
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

// applyPlan plans once and makes the result the next view's allocations; members are no longer usable.
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

// TestPlanPlacesLargestFirst guards against a small group that takes the only domain that fits a large one.
func TestPlanPlacesLargestFirst(tst *testing.T) {
	viw := fixedView(map[string]int{"d0": 4, "d1": 2}, model("a-small", 2), model("b-large", 4))
	applyPlan(&viw)
	qt.Assert(tst, placement(viw), qt.DeepEquals, map[string][]string{
		"a-small/0": {"d1-0", "d1-1"},
		"b-large/0": {"d0-0", "d0-1", "d0-2", "d0-3"},
	})
}

// TestPlanMovesSmallestBrokenGroup guards against stranding the survivors of a group that another domain
// can host, and against a broken group without room that is given up although its member may return.
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
	// The survivor of the moved group repairs the other one, but only after its delay.
	applyPlan(&viw)
	qt.Assert(tst, placement(viw)["a/0"], qt.DeepEquals, []string{"d0-0", "d0-1", "d0-2"})
	for _, rel := range viw.Allocations[0].Released {
		viw.Settled[rel] = true
	}
	applyPlan(&viw)
	qt.Assert(tst, placement(viw)["a/0"], qt.DeepEquals, []string{"d0-4", "d0-1", "d0-2"})
}

// TestPlanReplacesStragglerOnlyBySpare guards against a slow group that is taken out of work for nothing.
func TestPlanReplacesStragglerOnlyBySpare(tst *testing.T) {
	for _, spares := range []int{0, 1} {
		viw := fixedView(map[string]int{"d0": 3 + spares}, model("a", 3))
		applyPlan(&viw)
		viw.Serving[Place{FabricDomain: "d0", Group: "a/0"}] = true
		viw.VMs[1].Straggler = true
		applyPlan(&viw)
		qt.Assert(tst, viw.Allocations[0].Groups[0].Draining, qt.Equals, spares > 0)
		viw.Drained[Place{FabricDomain: "d0", Group: "a/0"}] = true
		applyPlan(&viw)
		qt.Assert(tst, slices.Contains(placement(viw)["a/0"], "d0-1"), qt.Equals, spares == 0)
	}
}

// TestPlanCounterExceedsReported guards against a domain whose object was created anew and whose engines
// refuse every order as old.
func TestPlanCounterExceedsReported(tst *testing.T) {
	viw := fixedView(map[string]int{"d0": 2}, model("a", 2))
	viw.VMs[1].Fencing = 41
	applyPlan(&viw)
	qt.Assert(tst, viw.Allocations[0].Groups[0].Fencing, qt.Equals, uint64(42))
}

// TestPlanStatesUnmet guards against a group that is missing without a reason in status.
func TestPlanStatesUnmet(tst *testing.T) {
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

// defaultChecks is the number of random sequences when none is given: the faults that the sequences found
// took between 2 and 3,400 of them.
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
