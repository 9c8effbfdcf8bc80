package quarantine

import "time"

// CopyPlacementTime is the time for which all copies of a request run on the same group. After that time without a
// crash, copies may run on any group.
const CopyPlacementTime = 10 * time.Second

// maxPlacements bounds the memory. When it is reached, placements older than CopyPlacementTime are dropped, and all
// placements if that is not enough.
const maxPlacements = 20000

// placement is the group on which the copies of a request run. It is shared once a second holder asks for it.
type placement struct {
	group     string
	holder    string
	shared    bool
	startedAt time.Time
}

// PlaceCopy returns the group on which a copy of a request may run, given the group that load balancing chose for it.
// Copies that start within CopyPlacementTime of the first share its group, so that copies sent at the same time crash
// one group at most before the first crash is known. The group changes only for its sole holder, or for a holder that
// found the group out of service and passes it as failedGroup.
func (qua *Quarantine) PlaceCopy(fingerprint Fingerprint, group, failedGroup, holder string, now time.Time) string {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	plc := qua.placements[fingerprint]
	switch {
	case plc == nil || now.Sub(plc.startedAt) >= Period:
		qua.evictPlacements(now)
		qua.placements[fingerprint] = &placement{
			group:     group,
			holder:    holder,
			startedAt: now,
		}
		return group
	case now.Sub(plc.startedAt) >= CopyPlacementTime:
		return group
	case failedGroup == plc.group || (!plc.shared && holder == plc.holder):
		plc.group = group
		return group
	default:
		plc.shared = plc.shared || holder != plc.holder
		return plc.group
	}
}

func (qua *Quarantine) evictPlacements(now time.Time) {
	if len(qua.placements) < maxPlacements {
		return
	}
	for fpr, plc := range qua.placements {
		if now.Sub(plc.startedAt) >= CopyPlacementTime {
			delete(qua.placements, fpr)
		}
	}
	if len(qua.placements) >= maxPlacements {
		clear(qua.placements)
	}
}
