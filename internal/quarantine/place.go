package quarantine

import "time"

// PlaceTime is the time for which copies of a request run on one group only. A request that has run for
// so long without a crash may run on any.
const PlaceTime = 10 * time.Second

// maxPlacements bounds the memory; beyond it placements past PlaceTime are forgotten, then all.
const maxPlacements = 20000

// placement is the group that the copies of a request run on.
type placement struct {
	group  string
	holder string
	shared bool
	since  time.Time
}

// Place returns the group that a copy of a request may run on, given the group that was chosen for it.
// Copies that start within PlaceTime of the first share its group, so that copies sent at once cost one
// group before the first crash is known. The group changes only for its sole holder, or for one that
// found it out of service, which it says in from.
func (qua *Quarantine) Place(fpr Fingerprint, group, from, holder string, now time.Time) string {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	plc := qua.placements[fpr]
	switch {
	case plc == nil || now.Sub(plc.since) >= Period:
		qua.makePlacementRoom(now)
		qua.placements[fpr] = &placement{
			group:  group,
			holder: holder,
			since:  now,
		}
		return group
	case now.Sub(plc.since) >= PlaceTime:
		return group
	case from == plc.group || (!plc.shared && holder == plc.holder):
		plc.group = group
		return group
	default:
		plc.shared = plc.shared || holder != plc.holder
		return plc.group
	}
}

func (qua *Quarantine) makePlacementRoom(now time.Time) {
	if len(qua.placements) < maxPlacements {
		return
	}
	for fpr, plc := range qua.placements {
		if now.Sub(plc.since) >= PlaceTime {
			delete(qua.placements, fpr)
		}
	}
	if len(qua.placements) >= maxPlacements {
		clear(qua.placements)
	}
}
