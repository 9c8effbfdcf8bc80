package controller

import (
	"slices"
	"sync"
	"time"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/vmreport"
	"github.com/cumintally/cumintally/pkg/document"
)

const (
	// memberLostTimeout is the time without a report after which a member is replaced. It is twice the bound on
	// the age of reports, so that a short pause does not cause a cold start.
	memberLostTimeout = 4 * time.Second
	// refusalsUntilLost is the number of consecutive cycles in which a silent member must refuse connections to
	// count as lost. The engine has then lost its state, so waiting for it to restart gains nothing.
	refusalsUntilLost = 2
	// drainPropagationTime is the time after which every daemon that can send requests knows that a group is
	// draining: the 3 s within which a backend server that is leaving gets no new work, plus the lag of load
	// reports.
	drainPropagationTime = 4 * time.Second
	// drainEmptyTime is the time for which a draining group must report no work before it counts as drained.
	drainEmptyTime = time.Second
	// stragglerFactor is the multiple of the median step time above which a VM is a straggler.
	stragglerFactor = 3
	// stragglerMinTime is the time for which a VM must be slow before it is replaced, so that a long prompt or a
	// short disturbance does not cause a reload.
	stragglerMinTime = 10 * time.Second
	// stragglerRetention is the time for which a replaced straggler stays the last choice for a group. An
	// idle VM reports no step time and would otherwise count as healthy.
	stragglerRetention = 10 * time.Minute
	// tickInterval is the time between two ticks, each of which records that this process is running.
	tickInterval = 250 * time.Millisecond
	// minPause is the smallest gap between two ticks that counts as a pause of this process. After a pause every
	// report is old although the VMs may be healthy.
	minPause = 4 * tickInterval
	// minComparedVMs is the smallest number of VMs from which a median is taken.
	minComparedVMs = 3
)

// zoneObserver records since when VMs and groups have been in their present state, on this daemon's monotonic
// clock. It runs on every daemon, so that a new lease holder does not start without this history.
type zoneObserver struct {
	config         Config
	localInventory *inventory.Inventory
	reportTable    *vmreport.Table

	// mu guards lastTick and resumedAt, which runTicks sets.
	mu       sync.Mutex
	lastTick time.Time
	// resumedAt is the time at which this process started or last resumed after a pause.
	resumedAt time.Time

	// The maps hold the time since which a condition has lasted, except for refusalCounts, which holds the number
	// of consecutive cycles.
	releasedVMs    map[group.ReleasedVM]time.Time
	drainingGroups map[drainKey]*drainTimes
	slowVMs        map[string]time.Time
	idleVMs        map[string]time.Time
	refusalCounts  map[string]int
}

// drainKey identifies a group that is draining by its key and fencing token.
type drainKey struct {
	groupKey     group.Key
	fencingToken uint64
}

func newDrainKey(alc group.Allocation, grp group.Group) drainKey {
	return drainKey{
		groupKey:     groupKey(alc, grp),
		fencingToken: grp.Fencing,
	}
}

// drainTimes holds the times of one draining group: when its drain began, the time of its latest report of its
// load, and since when it has reported no work, zero if it has work or has not reported.
type drainTimes struct {
	drainStart time.Time
	lastReport time.Time
	emptySince time.Time
}

func newZoneObserver(cfg Config, inv *inventory.Inventory, tab *vmreport.Table) *zoneObserver {
	return &zoneObserver{
		config:         cfg,
		localInventory: inv,
		reportTable:    tab,
		releasedVMs:    map[group.ReleasedVM]time.Time{},
		drainingGroups: map[drainKey]*drainTimes{},
		slowVMs:        map[string]time.Time{},
		idleVMs:        map[string]time.Time{},
		refusalCounts:  map[string]int{},
	}
}

// tick records that this process is running at now.
func (obs *zoneObserver) tick(now time.Time) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	if now.Sub(obs.lastTick) > minPause {
		obs.resumedAt = now
	}
	obs.lastTick = now
}

// lastResume returns the time since which this process has run without a pause, now if it is just resuming
// from one.
func (obs *zoneObserver) lastResume(now time.Time) time.Time {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	if now.Sub(obs.lastTick) > minPause {
		return now
	}
	return obs.resumedAt
}

// observe updates all states from the allocations and the latest reports.
func (obs *zoneObserver) observe(now time.Time) {
	released := map[group.ReleasedVM]time.Time{}
	draining := map[drainKey]*drainTimes{}
	for _, alc := range obs.localInventory.Allocations(obs.config.AvailabilityZone) {
		for _, rel := range alc.Released {
			released[rel] = now
			if seen, ok := obs.releasedVMs[rel]; ok {
				released[rel] = seen
			}
		}
		for _, grp := range alc.Groups {
			if grp.Draining {
				obs.observeDrain(draining, newDrainKey(alc, grp), now)
			}
		}
	}
	obs.releasedVMs = released
	obs.drainingGroups = draining
	obs.observeStepTimes(now)
	obs.observeIdle(now)
}

// observeIdle records since when VMs have reported that they are in no group.
func (obs *zoneObserver) observeIdle(now time.Time) {
	idle := map[string]time.Time{}
	for _, vmc := range obs.engineVMs() {
		ent, ok := obs.reportTable.Lookup(vmc.Name)
		if !ok || now.Sub(ent.AsOf) > obs.config.EvidenceMaxAge || ent.Report.Group != "" {
			continue
		}
		idle[vmc.Name] = now
		if since, ok := obs.idleVMs[vmc.Name]; ok {
			idle[vmc.Name] = since
		}
	}
	obs.idleVMs = idle
}

func groupKey(alc group.Allocation, grp group.Group) group.Key {
	return group.Key{
		FabricDomain: alc.FabricDomain,
		Group:        grp.Name,
	}
}

// observeDrain carries the times of a draining group over into next, and starts them if the group has just
// begun to drain.
func (obs *zoneObserver) observeDrain(next map[drainKey]*drainTimes, key drainKey, now time.Time) {
	next[key] = obs.drainingGroups[key]
	if next[key] == nil {
		next[key] = &drainTimes{
			drainStart: now,
		}
	}
}

// observeDrainLoad records a report of the VM that accepts requests for a draining group. The report must come
// from the VM itself, since reports forwarded by other daemons carry no current load.
func (obs *zoneObserver) observeDrainLoad(key drainKey, rep backend.Report, asOf time.Time) {
	tms := obs.drainingGroups[key]
	if tms == nil {
		return
	}
	tms.lastReport = asOf
	busy := rep.Running+rep.Queued > 0
	here := rep.Group == key.groupKey.Group && rep.Fencing == key.fencingToken
	switch {
	case busy && here:
		tms.emptySince = time.Time{}
	case tms.emptySince.IsZero():
		tms.emptySince = asOf
	}
}

// observeStepTimes records since when VMs have been slower than others with the same model.
func (obs *zoneObserver) observeStepTimes(now time.Time) {
	steps := map[string][]time.Duration{}
	reports := map[string]backend.Report{}
	for _, vmc := range obs.engineVMs() {
		ent, ok := obs.reportTable.Lookup(vmc.Name)
		rep := ent.Report
		serving := rep.State == backend.StateCold || rep.State == backend.StateReady
		if ok && serving && rep.StepTime > 0 && now.Sub(ent.AsOf) <= obs.config.EvidenceMaxAge {
			reports[vmc.Name] = rep
			steps[rep.Model] = append(steps[rep.Model], rep.StepTime)
		}
	}
	for name, since := range obs.slowVMs {
		if _, ok := reports[name]; !ok && now.Sub(since) > stragglerRetention {
			delete(obs.slowVMs, name)
		}
	}
	slow := map[string]bool{}
	slowGroups := map[string]bool{}
	for name, rep := range reports {
		all := steps[rep.Model]
		slow[name] = len(all) >= minComparedVMs && rep.StepTime > stragglerFactor*median(all)
		if slow[name] && rep.Rank != 0 {
			slowGroups[rep.Group] = true
		}
	}
	for name, rep := range reports {
		// Rank 0 waits for the other ranks in each step, so it is a straggler only if none of them is.
		if !slow[name] || (rep.Rank == 0 && slowGroups[rep.Group]) {
			delete(obs.slowVMs, name)
		} else if _, ok := obs.slowVMs[name]; !ok {
			obs.slowVMs[name] = now
		}
	}
}

// silentMembers returns the members of groups whose reports are too old to count.
func (obs *zoneObserver) silentMembers(now time.Time) []group.Member {
	var mems []group.Member
	for _, alc := range obs.localInventory.Allocations(obs.config.AvailabilityZone) {
		for _, grp := range alc.Groups {
			for _, mem := range grp.Members {
				if ent, _ := obs.reportTable.Lookup(mem.VM); now.Sub(ent.AsOf) > obs.config.EvidenceMaxAge {
					mems = append(mems, mem)
				}
			}
		}
	}
	return mems
}

// countRefusals counts the consecutive cycles in which each silent member refused connections.
func (obs *zoneObserver) countRefusals(refused map[string]bool) {
	next := map[string]int{}
	for vm, res := range refused {
		if res {
			next[vm] = obs.refusalCounts[vm] + 1
		}
	}
	obs.refusalCounts = next
}

// median returns the lower of the two middle values. One straggler also slows down the rank 0 of its group,
// and in a model with two groups of two VMs these two are half of all values.
func median(durs []time.Duration) time.Duration {
	durs = slices.Clone(durs)
	slices.Sort(durs)
	return durs[(len(durs)-1)/2]
}

// engineVMs returns the engines of the zone that the platform lists, and the members of groups that it does
// not list.
func (obs *zoneObserver) engineVMs() []objects.VM {
	return obs.localInventory.Engines(obs.config.AvailabilityZone)
}

// view returns the input of the planner. Unless mayReplace is set, no VM counts as lost.
func (obs *zoneObserver) view(doc *document.Document, now time.Time, mayReplace bool) group.View {
	viw := group.View{
		AvailabilityZone: obs.config.AvailabilityZone,
		Document:         doc,
		Allocations:      obs.localInventory.Allocations(obs.config.AvailabilityZone),
		Reassignable:     map[group.ReleasedVM]bool{},
		Serving:          map[group.Key]bool{},
		Drained:          map[group.Key]bool{},
	}
	for _, vmc := range obs.engineVMs() {
		viw.VMs = append(viw.VMs, obs.vmView(vmc, now, mayReplace))
	}
	for rel, seen := range obs.releasedVMs {
		viw.Reassignable[rel] = now.Sub(seen) > obs.config.OrderTimeout+obs.config.LeaseDuration
	}
	for _, alc := range viw.Allocations {
		for _, grp := range alc.Groups {
			_, viw.Serving[groupKey(alc, grp)] = obs.reportTable.GroupConfirmed(grp, now)
		}
	}
	for key, tms := range obs.drainingGroups {
		empty := !tms.emptySince.IsZero() && tms.lastReport.Sub(tms.emptySince) >= drainEmptyTime && tms.lastReport.Sub(tms.drainStart) >= drainPropagationTime
		viw.Drained[key.groupKey] = empty || now.Sub(tms.drainStart) > obs.config.DrainTimeout
	}
	return viw
}

// isReleased reports whether an allocation lists the VM as released.
func (obs *zoneObserver) isReleased(vm string) bool {
	for rel := range obs.releasedVMs {
		if rel.VM == vm {
			return true
		}
	}
	return false
}

// vmView returns the planner's view of one VM.
func (obs *zoneObserver) vmView(vmc objects.VM, now time.Time, mayReplace bool) group.VMView {
	ent, ok := obs.reportTable.Lookup(vmc.Name)
	lastSeen := ent.AsOf
	if resumed := obs.lastResume(now); lastSeen.Before(resumed) {
		lastSeen = resumed
	}
	silent := now.Sub(lastSeen)
	since, slow := obs.slowVMs[vmc.Name]
	leaving := vmc.State == objects.VMLeaving || (ok && ent.Report.State == backend.StateLeaving)
	// A VM that has left a group may still count as its member on a daemon until that daemon's report of it is too
	// old. A VM that has taken no order since it started has no such delay, so that a new zone forms its
	// groups at once.
	idleSince, idle := obs.idleVMs[vmc.Name]
	idle = idle && (now.Sub(idleSince) > obs.config.EvidenceMaxAge || (ent.Report.Fencing == 0 && !obs.isReleased(vmc.Name)))
	return group.VMView{
		Name:         vmc.Name,
		FabricDomain: vmc.FabricDomain,
		Address:      vmc.Address,
		Usable:       idle && !leaving && vmc.State == objects.VMLive,
		Lost:         mayReplace && (silent > memberLostTimeout || obs.refusalCounts[vmc.Name] >= refusalsUntilLost),
		Leaving:      leaving,
		Straggler:    slow && now.Sub(since) > stragglerMinTime,
		FencingToken: ent.Report.Fencing,
	}
}
