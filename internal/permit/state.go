package permit

import (
	"sync"
	"time"
)

// groupState is the state that the owner of a group keeps for it.
type groupState struct {
	cfg Config

	mu  sync.Mutex
	rep GroupReport
	// oldIncarnations holds earlier incarnations, so that a delayed report of one does not count as a restart.
	oldIncarnations map[uint64]bool
	// noGrantsBefore is the time at which all grants of an earlier owner have expired.
	noGrantsBefore time.Time
	holders        map[string]*holderState
	orphans        map[holderProcess]*orphanedRequests
	// lastSequence holds the sequence number of the last slot request of each holder's process.
	lastSequence map[holderProcess]uint64
	adaptive     adaptiveLimit
	// virtualTimes holds, as in weighted fair queueing, the number of slots that each workspace was given,
	// divided by its share.
	virtualTimes map[string]float64
}

// holderState is the state of one daemon that holds slots.
type holderState struct {
	instance uint64
	// slots is the largest number of slots that the holder may use until its next slot request.
	slots   int
	running int
	expires time.Time
	demand  []Demand
}

// holderProcess identifies a process of a holder. A daemon that restarts has a new instance.
type holderProcess struct {
	holder   string
	instance uint64
}

// orphanedRequests is a number of requests whose holder no longer renews its slots. They may still run at the
// engine, which continues without a reader. They count until MaxRequest after since, or until a report whose load
// figures are younger than since shows fewer requests at the engine.
type orphanedRequests struct {
	count int
	since time.Time
}

// unknownHolders is the key of requests that daemons unknown to a new owner may have in flight.
var unknownHolders = holderProcess{}

func newGroupState(cfg Config, rep GroupReport, noNewBefore, now time.Time) *groupState {
	gst := &groupState{
		cfg:             cfg,
		rep:             rep,
		noGrantsBefore:  noNewBefore,
		oldIncarnations: map[uint64]bool{},
		holders:         map[string]*holderState{},
		orphans:         map[holderProcess]*orphanedRequests{},
		lastSequence:    map[holderProcess]uint64{},
		virtualTimes:    map[string]float64{},
	}
	gst.adaptive.reset(rep.ColdLimit, now)
	if rep.Loading && !now.Before(noNewBefore) {
		return gst
	}
	gst.orphans[unknownHolders] = &orphanedRequests{
		count: rep.ColdLimit,
		since: noNewBefore,
	}
	return gst
}

// observe records a report unless a younger one, or one of a later incarnation or allocation, was recorded before.
func (gst *groupState) observe(rep GroupReport, now time.Time) {
	if gst.oldIncarnations[rep.Incarnation] || rep.Fencing < gst.rep.Fencing || rep.AsOf.Before(gst.rep.AsOf) {
		return
	}
	restarted := rep.Incarnation != gst.rep.Incarnation || rep.Fencing != gst.rep.Fencing
	if rep.Incarnation != gst.rep.Incarnation {
		gst.oldIncarnations[gst.rep.Incarnation] = true
	}
	if restarted || rep.Cold && !gst.rep.Cold || !rep.Cold && gst.rep.Cold {
		// A group that becomes warm starts from the cold limit, however it became warm.
		gst.adaptive.reset(rep.ColdLimit, now)
	}
	gst.rep = rep
	for key, orp := range gst.orphans {
		// The number of orphans only decreases after since, so a later count of the engine is an upper bound.
		if rep.AsOf.Add(-gst.cfg.ReportLag).After(orp.since) {
			orp.count = min(orp.count, rep.Running)
		}
		if orp.count == 0 || now.After(orp.since.Add(gst.cfg.MaxRequest)) {
			delete(gst.orphans, key)
		}
	}
}

// expireHolders turns the slots of daemons that no longer renew them into orphaned requests.
func (gst *groupState) expireHolders(now time.Time) {
	for name, hol := range gst.holders {
		if now.Before(hol.expires) {
			continue
		}
		gst.orphanHolder(name, hol)
	}
}

// orphanHolder removes a holder and counts its slots as orphaned requests.
func (gst *groupState) orphanHolder(name string, hol *holderState) {
	delete(gst.holders, name)
	if hol.slots == 0 {
		return
	}
	gst.orphans[holderProcess{holder: name, instance: hol.instance}] = &orphanedRequests{
		count: hol.slots,
		since: hol.expires,
	}
}

func (gst *groupState) heldSlots() int {
	sum := 0
	for _, hol := range gst.holders {
		sum += hol.slots
	}
	return sum
}

func (gst *groupState) totalRunning() int {
	sum := 0
	for _, hol := range gst.holders {
		sum += hol.running
	}
	return sum
}

func (gst *groupState) totalOrphaned() int {
	sum := 0
	for _, orp := range gst.orphans {
		sum += orp.count
	}
	return sum
}

func (gst *groupState) totalQueued() int {
	sum := 0
	for _, hol := range gst.holders {
		for _, dem := range hol.demand {
			sum += dem.Count
		}
	}
	return sum
}

// currentLimit is the number of requests in flight that the group can take now.
func (gst *groupState) currentLimit() int {
	if gst.rep.Cold {
		return gst.rep.ColdLimit
	}
	return min(gst.adaptive.limit(), gst.rep.WarmLimit)
}

// sideLimit is the part of the limit that this side of a partition may grant. Only the limits of the document are
// divided: each side of a partition measures latencies, and thereby adapts its limit, on its own.
func (gst *groupState) sideLimit(viw view) int {
	if gst.rep.Cold {
		return viw.sideShare(gst.rep.ColdLimit)
	}
	return min(gst.adaptive.limit(), viw.sideShare(gst.rep.WarmLimit))
}

// freeSlots is the number of slots that can be granted in addition to those held.
func (gst *groupState) freeSlots(viw view, now time.Time) int {
	if gst.rep.Loading || now.Before(gst.noGrantsBefore) {
		return 0
	}
	free := gst.sideLimit(viw) - gst.heldSlots()
	if gst.rep.Cold {
		// Orphans of daemons on the other side are part of that side's share, but may exceed it.
		free = min(free, gst.currentLimit()-gst.heldSlots()-gst.totalOrphaned())
	}
	return max(free, 0)
}
