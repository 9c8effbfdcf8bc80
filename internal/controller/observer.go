package controller

import (
	"slices"
	"sync"
	"time"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/evidence"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/pkg/document"
)

const (
	// lostAfter is the time for which a member must be silent before it is replaced: twice the bound on
	// evidence, so that a short pause costs no cold start.
	lostAfter = 4 * time.Second
	// endedAfter is the number of turns in a row in which a silent member must refuse connections to count
	// as lost. What the engine held is lost then, so that waiting for it to start again gains nothing.
	endedAfter = 2
	// drainKnown is the time after which every daemon that can send has learnt that a group is draining:
	// the 3 s within which a backend server that is leaving gets no new work, and the lag of load reports.
	drainKnown = 4 * time.Second
	// emptyFor is the time for which a draining group must report no work.
	emptyFor = time.Second
	// slowFactor is how many times the median step time a straggler takes.
	slowFactor = 3
	// slowFor is the time for which a VM must be slow before it is replaced, so that a long prompt or a
	// short disturbance costs no reload.
	slowFor = 10 * time.Second
	// slowMemory is the time for which a replaced straggler stays the last choice: an idle VM shows
	// no step time, and would else be taken for a healthy one.
	slowMemory = 10 * time.Minute
	// tickInterval is the time between two notes that this process runs.
	tickInterval = 250 * time.Millisecond
	// pauseGap is the least gap between two ticks that counts as a pause. After one every report is old
	// through no fault of the VMs.
	pauseGap = 4 * tickInterval
	// leastCompared is the least number of VMs from which a median is taken.
	leastCompared = 3
)

// observer notes on this daemon's monotonic clock since when things are as they are. It runs on every
// daemon, so that a new holder of the lease does not begin from nothing.
type observer struct {
	cfg Config
	inv *inventory.Inventory
	tab *evidence.Table

	mu       sync.Mutex
	lastTick time.Time
	awake    time.Time

	released map[group.ReleasedVM]time.Time
	draining map[drainKey]*drainTimes
	slow     map[string]time.Time
	idle     map[string]time.Time
	refused  map[string]int
}

type drainKey struct {
	place   group.Place
	fencing uint64
}

func newDrainKey(alc group.Allocation, grp group.Group) drainKey {
	return drainKey{
		place:   place(alc, grp),
		fencing: grp.Fencing,
	}
}

// drainTimes say since when a group drains, when it was last asked for its work, and since when it has
// reported none, zero if it has not.
type drainTimes struct {
	since time.Time
	asked time.Time
	empty time.Time
}

func newObserver(cfg Config, inv *inventory.Inventory, tab *evidence.Table) *observer {
	return &observer{
		cfg:      cfg,
		inv:      inv,
		tab:      tab,
		released: map[group.ReleasedVM]time.Time{},
		draining: map[drainKey]*drainTimes{},
		slow:     map[string]time.Time{},
		idle:     map[string]time.Time{},
		refused:  map[string]int{},
	}
}

// tick notes that this process runs.
func (obs *observer) tick(now time.Time) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	if now.Sub(obs.lastTick) > pauseGap {
		obs.awake = now
	}
	obs.lastTick = now
}

// awakeSince returns since when this process has run without a pause, now if it has just come out of one.
func (obs *observer) awakeSince(now time.Time) time.Time {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	if now.Sub(obs.lastTick) > pauseGap {
		return now
	}
	return obs.awake
}

func (obs *observer) observe(now time.Time) {
	released := map[group.ReleasedVM]time.Time{}
	draining := map[drainKey]*drainTimes{}
	for _, alc := range obs.inv.Allocations(obs.cfg.AvailabilityZone) {
		for _, rel := range alc.Released {
			released[rel] = now
			if seen, ok := obs.released[rel]; ok {
				released[rel] = seen
			}
		}
		for _, grp := range alc.Groups {
			if grp.Draining {
				obs.observeDrain(draining, newDrainKey(alc, grp), now)
			}
		}
	}
	obs.released = released
	obs.draining = draining
	obs.observeSteps(now)
	obs.observeIdle(now)
}

// observeIdle notes since when VMs have reported that they follow no order.
func (obs *observer) observeIdle(now time.Time) {
	idle := map[string]time.Time{}
	for _, vmc := range obs.vms() {
		ent, ok := obs.tab.Lookup(vmc.Name)
		if !ok || now.Sub(ent.AsOf) > obs.cfg.EvidenceMaxAge || ent.Report.Group != "" {
			continue
		}
		idle[vmc.Name] = now
		if since, ok := obs.idle[vmc.Name]; ok {
			idle[vmc.Name] = since
		}
	}
	obs.idle = idle
}

func place(alc group.Allocation, grp group.Group) group.Place {
	return group.Place{
		FabricDomain: alc.FabricDomain,
		Group:        grp.Name,
	}
}

func (obs *observer) observeDrain(next map[drainKey]*drainTimes, key drainKey, now time.Time) {
	next[key] = obs.draining[key]
	if next[key] == nil {
		next[key] = &drainTimes{
			since: now,
		}
	}
}

// observeLoad takes a report of the VM that accepts requests for a draining group. It comes from the VM
// itself, since the reports that daemons hand on carry no current load.
func (obs *observer) observeLoad(key drainKey, rep backend.Report, asOf time.Time) {
	tms := obs.draining[key]
	if tms == nil {
		return
	}
	tms.asked = asOf
	busy := rep.Running+rep.Queued > 0
	here := rep.Group == key.place.Group && rep.Fencing == key.fencing
	switch {
	case busy && here:
		tms.empty = time.Time{}
	case tms.empty.IsZero():
		tms.empty = asOf
	}
}

// observeSteps notes since when VMs have been slower than others with the same model.
func (obs *observer) observeSteps(now time.Time) {
	steps := map[string][]time.Duration{}
	reports := map[string]backend.Report{}
	for _, vmc := range obs.vms() {
		ent, ok := obs.tab.Lookup(vmc.Name)
		rep := ent.Report
		serving := rep.State == backend.StateCold || rep.State == backend.StateReady
		if ok && serving && rep.StepTime > 0 && now.Sub(ent.AsOf) <= obs.cfg.EvidenceMaxAge {
			reports[vmc.Name] = rep
			steps[rep.Model] = append(steps[rep.Model], rep.StepTime)
		}
	}
	for name, since := range obs.slow {
		if _, ok := reports[name]; !ok && now.Sub(since) > slowMemory {
			delete(obs.slow, name)
		}
	}
	slow := map[string]bool{}
	slowGroups := map[string]bool{}
	for name, rep := range reports {
		all := steps[rep.Model]
		slow[name] = len(all) >= leastCompared && rep.StepTime > slowFactor*median(all)
		if slow[name] && rep.Rank != 0 {
			slowGroups[rep.Group] = true
		}
	}
	for name, rep := range reports {
		// Rank 0 waits for the others in each step, so that it is a straggler only if none of them is.
		if !slow[name] || (rep.Rank == 0 && slowGroups[rep.Group]) {
			delete(obs.slow, name)
		} else if _, ok := obs.slow[name]; !ok {
			obs.slow[name] = now
		}
	}
}

// silentMembers returns the members of groups whose evidence no longer counts.
func (obs *observer) silentMembers(now time.Time) []group.Member {
	var mems []group.Member
	for _, alc := range obs.inv.Allocations(obs.cfg.AvailabilityZone) {
		for _, grp := range alc.Groups {
			for _, mem := range grp.Members {
				if ent, _ := obs.tab.Lookup(mem.VM); now.Sub(ent.AsOf) > obs.cfg.EvidenceMaxAge {
					mems = append(mems, mem)
				}
			}
		}
	}
	return mems
}

// observeRefusals counts in how many turns in a row silent members refused connections.
func (obs *observer) observeRefusals(refused map[string]bool) {
	next := map[string]int{}
	for vm, res := range refused {
		if res {
			next[vm] = obs.refused[vm] + 1
		}
	}
	obs.refused = next
}

// median returns the lower of two middle values: one straggler slows down its rank 0 too, which in a model
// of two groups of two is half of all values.
func median(durs []time.Duration) time.Duration {
	durs = slices.Clone(durs)
	slices.Sort(durs)
	return durs[(len(durs)-1)/2]
}

// vms returns the engines of the zone that the platform lists, and the members of groups that it does not.
func (obs *observer) vms() []objects.VM {
	return obs.inv.Engines(obs.cfg.AvailabilityZone)
}

// view returns what a plan is made from; without mayReplace no VM counts as lost.
func (obs *observer) view(doc *document.Document, now time.Time, mayReplace bool) group.View {
	viw := group.View{
		AvailabilityZone: obs.cfg.AvailabilityZone,
		Document:         doc,
		Allocations:      obs.inv.Allocations(obs.cfg.AvailabilityZone),
		Settled:          map[group.ReleasedVM]bool{},
		Serving:          map[group.Place]bool{},
		Drained:          map[group.Place]bool{},
	}
	for _, vmc := range obs.vms() {
		viw.VMs = append(viw.VMs, obs.vmView(vmc, now, mayReplace))
	}
	for rel, seen := range obs.released {
		viw.Settled[rel] = now.Sub(seen) > obs.cfg.OrderTimeout+obs.cfg.LeaseDuration
	}
	for _, alc := range viw.Allocations {
		for _, grp := range alc.Groups {
			_, viw.Serving[place(alc, grp)] = obs.tab.Complete(grp, now)
		}
	}
	for key, tms := range obs.draining {
		empty := !tms.empty.IsZero() && tms.asked.Sub(tms.empty) >= emptyFor && tms.asked.Sub(tms.since) >= drainKnown
		viw.Drained[key.place] = empty || now.Sub(tms.since) > obs.cfg.DrainTimeout
	}
	return viw
}

func (obs *observer) isReleased(vm string) bool {
	for rel := range obs.released {
		if rel.VM == vm {
			return true
		}
	}
	return false
}

func (obs *observer) vmView(vmc objects.VM, now time.Time, mayReplace bool) group.VMView {
	ent, ok := obs.tab.Lookup(vmc.Name)
	heard := ent.AsOf
	if awake := obs.awakeSince(now); heard.Before(awake) {
		heard = awake
	}
	silent := now.Sub(heard)
	since, slow := obs.slow[vmc.Name]
	leaving := vmc.State == objects.VMLeaving || (ok && ent.Report.State == backend.StateLeaving)
	// A daemon may still count the VM in its former group until its evidence of that is too old. A VM that
	// has taken no order since it started need not wait, so that a new zone forms its groups at once.
	idleSince, idle := obs.idle[vmc.Name]
	idle = idle && (now.Sub(idleSince) > obs.cfg.EvidenceMaxAge || (ent.Report.Fencing == 0 && !obs.isReleased(vmc.Name)))
	return group.VMView{
		Name:         vmc.Name,
		FabricDomain: vmc.FabricDomain,
		Address:      vmc.Address,
		Usable:       idle && !leaving && vmc.State == objects.VMLive,
		Lost:         mayReplace && (silent > lostAfter || obs.refused[vmc.Name] >= endedAfter),
		Leaving:      leaving,
		Straggler:    slow && now.Sub(since) > slowFor,
		Fencing:      ent.Report.Fencing,
	}
}
