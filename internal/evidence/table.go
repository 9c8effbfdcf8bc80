package evidence

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/group"
)

const shardCount = 16

// Entry is a report and the time on the daemon's monotonic clock at which its request was sent.
type Entry struct {
	Report backend.Report
	// AsOf is the time before the report was asked for, so that the report's age is never understated.
	AsOf time.Time
	// forgotten says that a connection to the VM failed after AsOf; the report no longer counts.
	forgotten bool
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

// New returns a table whose reports count for maxAge.
func New(maxAge time.Duration) *Table {
	tab := &Table{
		maxAge: maxAge,
	}
	for idx := range tab.shards {
		tab.shards[idx].entries = map[string]Entry{}
	}
	return tab
}

// Record keeps ent unless a younger report of the VM is known; it reports whether the engine restarted.
func (tab *Table) Record(ent Entry) (restarted bool) {
	shd := tab.shard(ent.Report.VM)
	shd.mu.Lock()
	defer shd.mu.Unlock()
	old, ok := shd.entries[ent.Report.VM]
	if ok && !ent.AsOf.After(old.AsOf) {
		return false
	}
	shd.entries[ent.Report.VM] = ent
	return ok && old.Report.Incarnation != ent.Report.Incarnation
}

// Lookup returns the latest report of a VM that counts, whatever its age.
func (tab *Table) Lookup(vm string) (Entry, bool) {
	shd := tab.shard(vm)
	shd.mu.RLock()
	defer shd.mu.RUnlock()
	ent, ok := shd.entries[vm]
	return ent, ok && !ent.forgotten
}

// Forget voids a VM's report after a connection to the VM failed. The incarnation is kept, so that a
// restart is still seen, and an older report from a peer does not take the place of the voided one.
func (tab *Table) Forget(vm string) {
	shd := tab.shard(vm)
	shd.mu.Lock()
	defer shd.mu.Unlock()
	if ent, ok := shd.entries[vm]; ok {
		ent.forgotten = true
		shd.entries[vm] = ent
	}
}

// Complete reports whether every member of the group confirmed its place less than the bound ago, and
// returns the report of rank 0.
func (tab *Table) Complete(grp group.Group, now time.Time) (backend.Report, bool) {
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

func confirms(rep backend.Report, grp group.Group, rank int) bool {
	serving := rep.State == backend.StateCold || rep.State == backend.StateReady
	return serving && rep.Group == grp.Name && rep.Fencing == grp.Fencing && rep.Rank == rank
}

func (tab *Table) shard(vm string) *shard {
	return &tab.shards[xxhash.Sum64String(vm)%shardCount]
}
