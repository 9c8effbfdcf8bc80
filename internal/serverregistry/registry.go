package serverregistry

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
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
	// removedAt holds when the removal of an entry was seen, so that the planner can wait for the entry to return.
	removedAt map[string]time.Time
	// leaving holds the processes that announced that they are about to stop, and when this daemon received that.
	leaving map[Process]time.Time
	view    atomic.Pointer[View]
}

// Process identifies one process of a backend server: a restarted server keeps its ID and gets another start time.
type Process struct {
	_ struct{} `cbor:",toarray"`

	ID string
	// StartTime is the start time of the process, as in Server.
	StartTime int64
}

// View is an immutable snapshot of the roster.
type View struct {
	servers  map[string]*Server
	services map[string][]*Server
	// readyMembers counts the ready members of each group and epoch.
	readyMembers map[Membership]int
	// drainingGroups holds the groups and epochs with a draining member.
	drainingGroups map[Membership]bool
	removedAt      map[string]time.Time
}

// New returns an empty roster.
func New() *Registry {
	rst := &Registry{
		servers:   map[string]Server{},
		removedAt: map[string]time.Time{},
		leaving:   map[Process]time.Time{},
	}
	rst.publish()
	return rst
}

// View returns a snapshot of the current state.
func (rst *Registry) View() *View {
	return rst.view.Load()
}

// Replace replaces the copy by a complete list.
func (rst *Registry) Replace(srvs []Server, now time.Time) {
	rst.mu.Lock()
	defer rst.mu.Unlock()
	next := make(map[string]Server, len(srvs))
	for _, srv := range srvs {
		next[srv.ID] = srv
		delete(rst.removedAt, srv.ID)
	}
	for id := range rst.servers {
		if _, ok := next[id]; !ok {
			rst.removedAt[id] = now
		}
	}
	rst.servers = next
	rst.publish()
}

// Apply applies changes in the order in which they were made. It ignores changes that are older than the copy.
func (rst *Registry) Apply(chgs []Change, now time.Time) {
	if len(chgs) == 0 {
		return
	}
	rst.mu.Lock()
	defer rst.mu.Unlock()
	for _, chg := range chgs {
		id := chg.Server.ID
		if old, ok := rst.servers[id]; ok && old.Version > chg.Server.Version {
			continue
		}
		if !chg.Removed {
			rst.servers[id] = chg.Server
			delete(rst.removedAt, id)
			continue
		}
		if _, ok := rst.servers[id]; ok {
			delete(rst.servers, id)
			rst.removedAt[id] = now
		}
	}
	rst.publish()
}

// MarkStopping records that a process announced that it is about to stop. Its server counts as draining from then on, whatever
// its entry says. Leave reports whether the announcement is new.
func (rst *Registry) MarkStopping(lfe Process, now time.Time) bool {
	rst.mu.Lock()
	defer rst.mu.Unlock()
	if _, ok := rst.leaving[lfe]; ok {
		return false
	}
	for old, at := range rst.leaving {
		if now.Sub(at) > leavingRetention {
			delete(rst.leaving, old)
		}
	}
	rst.leaving[lfe] = now
	rst.publish()
	return true
}

// leavingRetention is the time after which a process that announced its stop has certainly stopped, so that it can be
// forgotten. It exceeds the lifetime of any entry.
const leavingRetention = 10 * time.Minute

// removedRetention is the time after which a removed entry is forgotten. Groups are repaired long before that.
const removedRetention = time.Minute

// publish makes the current state the new view. The caller holds the lock.
func (rst *Registry) publish() {
	viw := &View{
		servers:        make(map[string]*Server, len(rst.servers)),
		services:       map[string][]*Server{},
		readyMembers:   map[Membership]int{},
		drainingGroups: map[Membership]bool{},
		removedAt:      make(map[string]time.Time, len(rst.removedAt)),
	}
	var last time.Time
	for _, when := range rst.removedAt {
		if when.After(last) {
			last = when
		}
	}
	for id, when := range rst.removedAt {
		if last.Sub(when) > removedRetention {
			delete(rst.removedAt, id)
			continue
		}
		viw.removedAt[id] = when
	}
	for id := range rst.servers {
		srv := rst.servers[id]
		if _, ok := rst.leaving[srv.Process()]; ok {
			srv.Draining = true
		}
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
	rst.view.Store(viw)
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
func (viw *View) ReadyMembers(plc Membership) int {
	return viw.readyMembers[plc.GroupEpoch()]
}

// HasDrainingMember reports whether a member of a group with the same epoch is draining.
func (viw *View) HasDrainingMember(plc Membership) bool {
	return viw.drainingGroups[plc.GroupEpoch()]
}

// RankZero returns the VM that has rank 0 in a group with the same epoch.
func (viw *View) RankZero(service string, plc Membership) (*Server, bool) {
	for _, srv := range viw.services[service] {
		if srv.Membership.State != NoGroup && srv.Membership.Rank == 0 && srv.Membership.SameGroup(plc) {
			return srv, true
		}
	}
	return nil, false
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
