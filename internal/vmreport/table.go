package vmreport

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/group"
)

// shardCount is the number of shards, which reduces lock contention between VMs.
const shardCount = 16

// Entry is a report of a VM and its time on the daemon's monotonic clock.
type Entry struct {
	Report backend.Report
	// AsOf is a time before the report was requested, so that the age of the report is never understated.
	AsOf time.Time
	// invalidated means that a connection to the VM has failed since the report, which is no longer valid.
	invalidated bool
}

// Table holds the latest report of each VM.
type Table struct {
	maxAge time.Duration
	shards [shardCount]shard
}

type shard struct {
	mu      sync.RWMutex
	entries map[string]Entry
}

// New returns a table whose reports are valid up to an age of maxAge.
func New(maxAge time.Duration) *Table {
	tab := &Table{
		maxAge: maxAge,
	}
	for idx := range tab.shards {
		tab.shards[idx].entries = map[string]Entry{}
	}
	return tab
}

// Record stores entry unless the table has a report of the VM that is at least as recent. It reports whether
// the engine has restarted since the previous report.
func (tab *Table) Record(entry Entry) (restarted bool) {
	shd := tab.shard(entry.Report.VM)
	shd.mu.Lock()
	defer shd.mu.Unlock()
	old, ok := shd.entries[entry.Report.VM]
	if ok && !entry.AsOf.After(old.AsOf) {
		return false
	}
	shd.entries[entry.Report.VM] = entry
	return ok && old.Report.Incarnation != entry.Report.Incarnation
}

// Lookup returns the latest report of a VM regardless of its age, and false if there is none or if it was
// invalidated.
func (tab *Table) Lookup(vm string) (Entry, bool) {
	shd := tab.shard(vm)
	shd.mu.RLock()
	defer shd.mu.RUnlock()
	ent, ok := shd.entries[vm]
	return ent, ok && !ent.invalidated
}

// Invalidate invalidates the report of a VM after a connection to the VM has failed. The entry stays in the table,
// so that a restart is still detected by its incarnation and an older report from a peer does not replace it.
func (tab *Table) Invalidate(vm string) {
	shd := tab.shard(vm)
	shd.mu.Lock()
	defer shd.mu.Unlock()
	if ent, ok := shd.entries[vm]; ok {
		ent.invalidated = true
		shd.entries[vm] = ent
	}
}

// GroupConfirmed reports whether every member of a group has confirmed its membership and rank within the maximum
// age, and returns the report of rank 0.
func (tab *Table) GroupConfirmed(grp group.Group, now time.Time) (backend.Report, bool) {
	var lead backend.Report
	if len(grp.Members) == 0 {
		return lead, false
	}
	for rnk, mem := range grp.Members {
		ent, ok := tab.Lookup(mem.VM)
		if !ok || now.Sub(ent.AsOf) > tab.maxAge || !confirms(ent.Report, grp, rnk) {
			return backend.Report{}, false
		}
		if rnk == 0 {
			lead = ent.Report
		}
	}
	return lead, true
}

// confirms reports whether a report shows that its VM serves the group with the given rank.
func confirms(rep backend.Report, grp group.Group, rank int) bool {
	serving := rep.State == backend.StateCold || rep.State == backend.StateReady
	return serving && rep.Group == grp.Name && rep.Fencing == grp.Fencing && rep.Rank == rank
}

func (tab *Table) shard(vm string) *shard {
	return &tab.shards[xxhash.Sum64String(vm)%shardCount]
}
