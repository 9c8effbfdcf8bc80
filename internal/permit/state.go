package permit

import (
	"sync"
	"time"
)

// state is what the owner of a group knows of it.
type state struct {
	cfg Config

	mu  sync.Mutex
	obs Observation
	// retired holds earlier incarnations, so that a late report of one is not taken for a restart.
	retired map[uint64]bool
	// noNewBefore is the time by which all grants of an earlier owner have expired.
	noNewBefore time.Time
	holders     map[string]*holding
	orphans     map[orphanKey]*orphan
	// latest holds the sequence number of the last ask of each holder's process.
	latest map[orphanKey]uint64
	growth growth
	// turns counts slots given to a workspace, divided by its share.
	turns map[string]float64
}

// holding is what one daemon holds.
type holding struct {
	instance uint64
	// slots is the largest number that the holder can be using until it asks again.
	slots   int
	running int
	expires time.Time
	demand  []Demand
}

type orphanKey struct {
	holder   string
	instance uint64
}

// orphan is a number of requests whose holder is gone. They may still run at the engine, which goes on
// without a reader. An orphan ends with the longest request, or once a report whose load figures are
// younger than since shows fewer requests.
type orphan struct {
	count int
	since time.Time
}

// unseenHolders is the key of requests that daemons unknown to a new owner may have in progress.
var unseenHolders = orphanKey{}

func newState(cfg Config, obs Observation, noNewBefore, now time.Time) *state {
	sta := &state{
		cfg:         cfg,
		obs:         obs,
		noNewBefore: noNewBefore,
		retired:     map[uint64]bool{},
		holders:     map[string]*holding{},
		orphans:     map[orphanKey]*orphan{},
		latest:      map[orphanKey]uint64{},
		turns:       map[string]float64{},
	}
	sta.growth.reset(obs.ColdLimit, now)
	if obs.Loading && !now.Before(noNewBefore) {
		return sta
	}
	sta.orphans[unseenHolders] = &orphan{
		count: obs.ColdLimit,
		since: noNewBefore,
	}
	return sta
}

// observe takes a report unless a younger one of the same or a later incarnation is known.
func (sta *state) observe(obs Observation, now time.Time) {
	if sta.retired[obs.Incarnation] || obs.Fencing < sta.obs.Fencing || obs.AsOf.Before(sta.obs.AsOf) {
		return
	}
	restarted := obs.Incarnation != sta.obs.Incarnation || obs.Fencing != sta.obs.Fencing
	if obs.Incarnation != sta.obs.Incarnation {
		sta.retired[sta.obs.Incarnation] = true
	}
	if restarted || obs.Cold && !sta.obs.Cold || !obs.Cold && sta.obs.Cold {
		// A warm group starts from the cold limit, whichever way it got there.
		sta.growth.reset(obs.ColdLimit, now)
	}
	sta.obs = obs
	for key, orp := range sta.orphans {
		// Orphans only become fewer after since, so the engine's count from after it bounds them.
		if obs.AsOf.Add(-sta.cfg.ReportLag).After(orp.since) {
			orp.count = min(orp.count, obs.Running)
		}
		if orp.count == 0 || now.After(orp.since.Add(sta.cfg.MaxRequest)) {
			delete(sta.orphans, key)
		}
	}
}

// expire turns the holdings of daemons that no longer renew them into orphans.
func (sta *state) expire(now time.Time) {
	for name, hol := range sta.holders {
		if now.Before(hol.expires) {
			continue
		}
		sta.abandon(name, hol)
	}
}

func (sta *state) abandon(name string, hol *holding) {
	delete(sta.holders, name)
	if hol.slots == 0 {
		return
	}
	sta.orphans[orphanKey{holder: name, instance: hol.instance}] = &orphan{
		count: hol.slots,
		since: hol.expires,
	}
}

func (sta *state) held() int {
	sum := 0
	for _, hol := range sta.holders {
		sum += hol.slots
	}
	return sum
}

func (sta *state) running() int {
	sum := 0
	for _, hol := range sta.holders {
		sum += hol.running
	}
	return sum
}

func (sta *state) orphaned() int {
	sum := 0
	for _, orp := range sta.orphans {
		sum += orp.count
	}
	return sum
}

func (sta *state) queued() int {
	sum := 0
	for _, hol := range sta.holders {
		for _, dem := range hol.demand {
			sum += dem.Count
		}
	}
	return sum
}

// limit is the number of requests that the group bears now.
func (sta *state) limit() int {
	if sta.obs.Cold {
		return sta.obs.ColdLimit
	}
	return min(sta.growth.limit(), sta.obs.WarmLimit)
}

// bound is the part of the limit that this side of the zone may grant. Each side of a partition measures
// latencies by itself, so only the document's limits are divided.
func (sta *state) bound(viw view) int {
	if sta.obs.Cold {
		return viw.share(sta.obs.ColdLimit)
	}
	return min(sta.growth.limit(), viw.share(sta.obs.WarmLimit))
}

// free is the number of slots that can be granted beyond those held.
func (sta *state) free(viw view, now time.Time) int {
	if sta.obs.Loading || now.Before(sta.noNewBefore) {
		return 0
	}
	free := sta.bound(viw) - sta.held()
	if sta.obs.Cold {
		// Orphans of unseen daemons fall into the unseen daemons' share, but may be more than it.
		free = min(free, sta.limit()-sta.held()-sta.orphaned())
	}
	return max(free, 0)
}
