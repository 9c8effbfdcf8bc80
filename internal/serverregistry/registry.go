package serverregistry

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumintally/cumintally/internal/objects"
)

// Change is a new version of one entry, or its removal.
type Change struct {
	Server Server
	// Removed says that the entry was removed; only the ID and the version of Server count then.
	Removed bool
}

// Registry is a daemon's copy of the registered backend servers. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	servers map[string]Server
	// removedAt holds when the removal of an entry was seen, so that the planner can wait for the entry to return, and
	// lastSeen the content that the entry had last. Both are kept for lastSeenRetention.
	removedAt map[string]time.Time
	lastSeen  map[string]Server
	// stopping holds the processes that are about to stop, and when this daemon learned of that.
	stopping map[Process]time.Time
	// removed holds the processes whose entries were removed. doubtful holds those whose entries came back by a restore of
	// the store, and when an entry that is not written again has expired.
	removed  map[Process]removal
	doubtful map[Process]time.Time
	view     atomic.Pointer[View]
}

// removal is the removal of an entry: its version, and when it was seen.
type removal struct {
	version uint64
	at      time.Time
}

// Process identifies one process of a backend server: a restarted server keeps its ID and gets another start time.
type Process struct {
	_ struct{} `cbor:",toarray"`

	ID string
	// StartTime is the start time of the process, as in Server.
	StartTime int64
}

// View is an immutable snapshot of the registry.
type View struct {
	servers  map[string]*Server
	services map[string][]*Server
	// readyMembers counts the ready members of each group and epoch.
	readyMembers map[Membership]int
	// drainingGroups holds the groups and epochs with a draining member.
	drainingGroups map[Membership]bool
	// unregistered holds the unregistered members of each group and epoch, and lastSeen the removed entries by ID.
	unregistered map[Membership]UnregisteredMembers
	lastSeen     map[string]*Server
	removedAt    map[string]time.Time
}

// UnregisteredMembers describes the members of a group, other than its head, whose entries were removed while they were
// ready in its epoch and not draining.
type UnregisteredMembers struct {
	Number int
	// RemovedAt is when this daemon learned of the last of the removals.
	RemovedAt time.Time
}

// New returns an empty registry.
func New() *Registry {
	reg := &Registry{
		servers:   map[string]Server{},
		removedAt: map[string]time.Time{},
		lastSeen:  map[string]Server{},
		stopping:  map[Process]time.Time{},
		removed:   map[Process]removal{},
		doubtful:  map[Process]time.Time{},
	}
	reg.publish()
	return reg
}

// View returns a snapshot of the current state.
func (reg *Registry) View() *View {
	return reg.view.Load()
}

// Replace replaces the copy by a complete list.
func (reg *Registry) Replace(srvs []Server, now time.Time) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	next := make(map[string]Server, len(srvs))
	latest := uint64(0)
	for _, srv := range srvs {
		reg.recordRegistration(srv, now)
		next[srv.ID] = srv
		latest = max(latest, srv.Version)
	}
	for id, srv := range reg.servers {
		if _, ok := next[id]; !ok {
			reg.recordRemoval(srv, latest, now)
		}
	}
	reg.servers = next
	reg.publish()
}

// recordRemoval records the removal of an entry. The caller holds the lock.
func (reg *Registry) recordRemoval(srv Server, version uint64, now time.Time) {
	reg.removedAt[srv.ID] = now
	reg.lastSeen[srv.ID] = srv
	reg.removed[srv.Process()] = removal{
		version: max(version, srv.Version),
		at:      now,
	}
}

// recordRegistration records an entry that was written, and compares it with what was known of its process in earlier eras of
// the store. The entry may come from a copy that is older than that: a process that was draining still is, and one whose
// entry had been removed is used only once the entry has not expired again. The caller holds the lock.
func (reg *Registry) recordRegistration(srv Server, now time.Time) {
	prc := srv.Process()
	era := objects.EraOf(srv.Version)
	if old, ok := reg.servers[srv.ID]; ok && old.Process() == prc && old.Draining && objects.EraOf(old.Version) < era {
		reg.stopping[prc] = now
	}
	if rmv, ok := reg.removed[prc]; ok && objects.EraOf(rmv.version) < era {
		reg.doubtful[prc] = now.Add(ExpiryTime)
	}
	delete(reg.removed, prc)
	delete(reg.removedAt, srv.ID)
	delete(reg.lastSeen, srv.ID)
}

// Apply applies changes in the order in which they were made. It ignores changes that are older than the copy.
func (reg *Registry) Apply(chgs []Change, now time.Time) {
	if len(chgs) == 0 {
		return
	}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for _, chg := range chgs {
		id := chg.Server.ID
		if old, ok := reg.servers[id]; ok && old.Version > chg.Server.Version {
			continue
		}
		if !chg.Removed {
			reg.recordRegistration(chg.Server, now)
			reg.servers[id] = chg.Server
			continue
		}
		if old, ok := reg.servers[id]; ok {
			delete(reg.servers, id)
			reg.recordRemoval(old, chg.Server.Version, now)
		}
	}
	reg.publish()
}

// MarkStopping records that a process announced that it is about to stop. Its server counts as draining from then on,
// whatever its entry says. It reports whether the announcement is new.
func (reg *Registry) MarkStopping(prc Process, now time.Time) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if _, ok := reg.stopping[prc]; ok {
		return false
	}
	for old, at := range reg.stopping {
		if now.Sub(at) > stoppingRetention {
			delete(reg.stopping, old)
		}
	}
	reg.stopping[prc] = now
	reg.publish()
	return true
}

// Expire uses those processes again whose entries came back by a restore and have not expired since.
func (reg *Registry) Expire(now time.Time) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	maps.DeleteFunc(reg.removed, func(_ Process, rmv removal) bool { return now.Sub(rmv.at) > removedRetention })
	before := len(reg.doubtful)
	maps.DeleteFunc(reg.doubtful, func(_ Process, until time.Time) bool { return !now.Before(until) })
	if len(reg.doubtful) < before {
		reg.publish()
	}
}

const (
	// stoppingRetention is the time after which a process that announced its stop has certainly stopped, so that it can be
	// forgotten. It exceeds the lifetime of any entry.
	stoppingRetention = 10 * time.Minute
	// ExpiryTime is the time after which the entry of a process that writes no more has expired: three heartbeats and the
	// time until the removal is known.
	ExpiryTime = 5 * time.Second
)

const (
	// removedRetention is the time after which the removal of a process is forgotten. Groups are repaired long before that.
	removedRetention = time.Minute
	// lastSeenRetention is the time for which the last content of removed entries is kept. It bounds the memory; members
	// that have been unregistered for so long count as lost.
	lastSeenRetention = 10 * time.Minute
)

// publish makes the current state the new view. The caller holds the lock.
func (reg *Registry) publish() {
	viw := &View{
		servers:        make(map[string]*Server, len(reg.servers)),
		services:       map[string][]*Server{},
		readyMembers:   map[Membership]int{},
		drainingGroups: map[Membership]bool{},
		unregistered:   map[Membership]UnregisteredMembers{},
		lastSeen:       make(map[string]*Server, len(reg.lastSeen)),
		removedAt:      make(map[string]time.Time, len(reg.removedAt)),
	}
	var last time.Time
	for _, when := range reg.removedAt {
		if when.After(last) {
			last = when
		}
	}
	for id, when := range reg.removedAt {
		if last.Sub(when) > lastSeenRetention {
			delete(reg.removedAt, id)
			delete(reg.lastSeen, id)
			continue
		}
		viw.addRemoved(reg.current(reg.lastSeen[id]), when)
	}
	for id := range reg.servers {
		srv := reg.current(reg.servers[id])
		viw.servers[id] = &srv
		viw.services[srv.Service] = append(viw.services[srv.Service], &srv)
		if srv.Membership.State != NoGroup && srv.Membership.State != Joining {
			viw.readyMembers[srv.Membership.GroupEpoch()]++
			if srv.Draining {
				viw.drainingGroups[srv.Membership.GroupEpoch()] = true
			}
		}
	}
	for _, srvs := range viw.services {
		slices.SortFunc(srvs, func(fst, snd *Server) int { return strings.Compare(fst.ID, snd.ID) })
	}
	reg.view.Store(viw)
}

// current returns an entry that counts as draining if its process is about to stop or doubtful. The caller holds the
// lock.
func (reg *Registry) current(srv Server) Server {
	_, stopping := reg.stopping[srv.Process()]
	_, doubtful := reg.doubtful[srv.Process()]
	srv.Draining = srv.Draining || stopping || doubtful
	return srv
}

// addRemoved adds an entry that was removed.
func (viw *View) addRemoved(srv Server, when time.Time) {
	viw.removedAt[srv.ID] = when
	viw.lastSeen[srv.ID] = &srv
	if srv.Membership.State != Ready || srv.Membership.Rank == 0 || srv.Draining {
		return
	}
	key := srv.Membership.GroupEpoch()
	ums := viw.unregistered[key]
	ums.Number++
	if when.After(ums.RemovedAt) {
		ums.RemovedAt = when
	}
	viw.unregistered[key] = ums
}

// Server returns a backend server by its ID.
func (viw *View) Server(id string) (*Server, bool) {
	srv, ok := viw.servers[id]
	return srv, ok
}

// Service returns the backend servers of a service, ordered by ID. The caller must not change the list.
func (viw *View) Service(name string) []*Server {
	return viw.services[name]
}

// Len returns the number of backend servers.
func (viw *View) Len() int {
	return len(viw.servers)
}

// RemovedAt returns when the removal of a backend server's entry was seen, and false if it was not seen recently.
func (viw *View) RemovedAt(id string) (time.Time, bool) {
	when, ok := viw.removedAt[id]
	return when, ok
}

// ReadyMembers returns the number of VMs that report that they are ready in a group with the same epoch.
func (viw *View) ReadyMembers(mbs Membership) int {
	return viw.readyMembers[mbs.GroupEpoch()]
}

// UnregisteredMembers returns the unregistered members of a group with the same epoch.
func (viw *View) UnregisteredMembers(mbs Membership) UnregisteredMembers {
	return viw.unregistered[mbs.GroupEpoch()]
}

// LastSeen returns the last content of a backend server's entry that was removed recently.
func (viw *View) LastSeen(id string) (*Server, bool) {
	srv, ok := viw.lastSeen[id]
	return srv, ok
}

// HasDrainingMember reports whether a member of a group with the same epoch is draining.
func (viw *View) HasDrainingMember(mbs Membership) bool {
	return viw.drainingGroups[mbs.GroupEpoch()]
}

// RankZero returns the VM that has rank 0 in a group with the same epoch.
func (viw *View) RankZero(service string, mbs Membership) (*Server, bool) {
	for _, srv := range viw.services[service] {
		if srv.Membership.State != NoGroup && srv.Membership.Rank == 0 && srv.Membership.SameGroup(mbs) {
			return srv, true
		}
	}
	return nil, false
}

// ServerAt returns the backend server at an address.
func (viw *View) ServerAt(address string) (*Server, bool) {
	for _, srv := range viw.servers {
		if srv.Address == address {
			return srv, true
		}
	}
	return nil, false
}

// Serving returns the backend servers that requests are sent to: those of plain services and the heads of open groups.
func (viw *View) Serving() []*Server {
	var srvs []*Server
	for _, srv := range viw.servers {
		isEngine := srv.FabricDomain != ""
		if !isEngine || (srv.Membership.State == Open && srv.Membership.Rank == 0) {
			srvs = append(srvs, srv)
		}
	}
	return srvs
}

// Addresses returns the addresses of all backend servers.
func (viw *View) Addresses() map[string]bool {
	adrs := make(map[string]bool, len(viw.servers))
	for _, srv := range viw.servers {
		adrs[srv.Address] = true
	}
	return adrs
}

// Zones returns the zones of a service's backend servers, ordered by name.
func (viw *View) Zones(service string) []string {
	var zones []string
	for _, srv := range viw.services[service] {
		if !slices.Contains(zones, srv.Zone) {
			zones = append(zones, srv.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}
