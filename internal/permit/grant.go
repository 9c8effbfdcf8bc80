package permit

import (
	"math"
	"sort"
	"time"
)

// grant handles a slot request of a holder and returns the slots that it holds from now on.
func (gst *groupState) grant(holder string, instance uint64, req SlotRequest, viw view, now time.Time) Grant {
	gst.applyHolderReport(req, now)
	gst.expireHolders(now)
	if old, ok := gst.holders[holder]; ok && old.instance != instance {
		gst.orphanHolder(holder, old)
	}
	delete(gst.orphans, holderProcess{holder: holder, instance: instance})
	hol := &holderState{
		instance: instance,
		slots:    max(req.HeldSlots, req.Running),
		running:  req.Running,
		expires:  now.Add(gst.cfg.ValidFor + gst.cfg.ClockMargin),
		demand:   req.Demand,
	}
	gst.holders[holder] = hol
	if !gst.rep.Cold {
		if now.Before(gst.noGrantsBefore) {
			// The slots in use were granted by an earlier owner, whose limit is unknown to this one.
			gst.adaptive.raise(min(gst.heldSlots(), gst.rep.WarmLimit))
		}
		used := gst.totalQueued() > 0 || 10*gst.totalRunning() >= 8*gst.currentLimit()
		gst.adaptive.adjust(gst.cfg, req, used, gst.rep.WarmLimit, now)
	}
	slots := gst.slotsFor(holder, req, viw, now)
	hol.slots = max(hol.slots, slots)
	return Grant{
		Group:       req.Group,
		Incarnation: gst.rep.Incarnation,
		Cold:        gst.rep.Cold,
		Slots:       slots,
		ValidFor:    gst.cfg.ValidFor,
		Limit:       gst.currentLimit(),
		Running:     gst.totalRunning(),
		Queued:      gst.totalQueued(),
	}
}

// applyHolderReport lowers the limit at once if the holder has received a report of a restart or of a cold engine.
func (gst *groupState) applyHolderReport(req SlotRequest, now time.Time) {
	if req.Incarnation == gst.rep.Incarnation && (!req.Cold || gst.rep.Cold) {
		return
	}
	rep := gst.rep
	rep.Incarnation = req.Incarnation
	rep.Cold = req.Cold || req.Incarnation != gst.rep.Incarnation
	rep.AsOf = now.Add(-req.ReportAge)
	// The slot request has no load figures, and those of the last report are older than AsOf.
	rep.Running = math.MaxInt
	gst.observe(rep, now)
}

// slotsFor returns the number of slots that the holder may use from now on.
func (gst *groupState) slotsFor(holder string, req SlotRequest, viw view, now time.Time) int {
	held := max(req.HeldSlots, req.Running)
	if held == 0 && len(req.Demand) == 0 {
		return 0
	}
	free := gst.freeSlots(viw, now)
	if free == 0 {
		return gst.slotsAfterReclaim(holder, req, viw, now)
	}
	granted, unclaimed := gst.divide(holder, free)
	if !gst.rep.Cold && unclaimed > 0 && held+granted-req.Running < gst.cfg.SpareSlots {
		granted += min(unclaimed, gst.cfg.SpareSlots-(held+granted-req.Running))
	}
	return held + granted
}

// slotsAfterReclaim returns the slots that the holder keeps when none are free. It reclaims slots if more are held
// than the limit allows, or if the queue of another daemon comes first for the slots that became free at this
// holder since its last call.
func (gst *groupState) slotsAfterReclaim(holder string, req SlotRequest, viw view, now time.Time) int {
	held := max(req.HeldSlots, req.Running)
	if !gst.rep.Cold && now.Before(gst.noGrantsBefore) {
		// The view has not settled since the owner changed, so it cannot justify reclaiming slots.
		return held
	}
	excess := gst.heldSlots() - gst.sideLimit(viw)
	if gst.rep.Cold {
		excess = max(excess, gst.heldSlots()+gst.totalOrphaned()-gst.currentLimit())
	}
	if excess > 0 {
		return max(0, held-excess)
	}
	if gst.totalQueued() > 0 && len(req.Demand) == 0 {
		// The queue of another daemon can use the spare slots.
		return req.Running
	}
	if req.Finished == 0 || gst.totalQueued() == 0 {
		return held
	}
	freed := min(req.Finished, held)
	granted, unclaimed := gst.divide(holder, freed)
	return held - (freed - granted - unclaimed)
}

// demandClass is the waiting requests of one workspace and priority at one holder.
type demandClass struct {
	Demand
	holder string
}

// divide distributes a number of slots over the queues of all daemons, by priority, then by the fair shares of the
// workspaces, then by deadline. It returns how many slots the holder is granted and how many no queue claims.
func (gst *groupState) divide(holder string, slots int) (granted, unclaimed int) {
	var classes []demandClass
	for name, hol := range gst.holders {
		for _, dem := range hol.demand {
			if dem.Count > 0 {
				classes = append(classes, demandClass{
					Demand: dem,
					holder: name,
				})
			}
		}
	}
	virtualTimes := make(map[string]float64, len(classes))
	for _, cls := range classes {
		virtualTimes[cls.Workspace] = gst.virtualTimes[cls.Workspace]
	}
	for ; slots > 0; slots-- {
		best := nextClass(classes, virtualTimes)
		if best < 0 {
			return granted, slots
		}
		cls := &classes[best]
		cls.Count--
		virtualTimes[cls.Workspace] += 1 / float64(max(1, cls.Share))
		if cls.holder == holder {
			granted++
			gst.virtualTimes[cls.Workspace] = virtualTimes[cls.Workspace]
		}
	}
	gst.boundVirtualLag()
	return granted, 0
}

// nextClass returns the index of the class that gets the next slot, or -1 if no requests wait.
func nextClass(classes []demandClass, virtualTimes map[string]float64) int {
	best := -1
	for idx, cls := range classes {
		if cls.Count > 0 && (best < 0 || precedes(cls, classes[best], virtualTimes)) {
			best = idx
		}
	}
	return best
}

// precedes reports whether fst gets a slot before snd.
func precedes(fst, snd demandClass, virtualTimes map[string]float64) bool {
	if fst.Priority != snd.Priority {
		return fst.Priority > snd.Priority
	}
	if virtualTimes[fst.Workspace] != virtualTimes[snd.Workspace] {
		return virtualTimes[fst.Workspace] < virtualTimes[snd.Workspace]
	}
	if fst.MaxWait != snd.MaxWait {
		return fst.MaxWait < snd.MaxWait
	}
	return fst.holder < snd.holder
}

// boundVirtualLag raises the virtual times of workspaces that were idle, so that they cannot claim all the slots
// that they left unused.
func (gst *groupState) boundVirtualLag() {
	if len(gst.virtualTimes) == 0 {
		return
	}
	vals := make([]float64, 0, len(gst.virtualTimes))
	for _, val := range gst.virtualTimes {
		vals = append(vals, val)
	}
	sort.Float64s(vals)
	least := vals[len(vals)-1] - maxVirtualLag
	for name, val := range gst.virtualTimes {
		gst.virtualTimes[name] = max(val, least)
	}
}

// maxVirtualLag bounds how far the virtual time of an idle workspace lags behind, in slots for a share of 1.
const maxVirtualLag = 16
