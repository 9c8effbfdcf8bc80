package roster

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Change is a new state of one entry, or its removal.
type Change struct {
	Server Server
	Gone   bool
}

// Roster is a daemon's copy of the registered backend servers.
type Roster struct {
	mu      sync.Mutex
	servers map[string]Server
	// gone holds when an entry was seen to vanish, so that the planner can wait for it to return.
	gone map[string]time.Time
	// left holds the processes that said themselves that they are about to stop, and when that was heard.
	left map[Life]time.Time
	view atomic.Pointer[View]
}

// Life is one process of a backend server, which may start again under its ID.
type Life struct {
	_ struct{} `cbor:",toarray"`

	ID   string
	Born int64
}

// View is an immutable state of the roster.
type View struct {
	servers  map[string]*Server
	services map[string][]*Server
	// members counts the ready members of each group and epoch.
	members map[Place]int
	// leaving holds the groups of which a member is draining.
	leaving map[Place]bool
	gone    map[string]time.Time
}

// New returns an empty roster.
func New() *Roster {
	rst := &Roster{
		servers: map[string]Server{},
		gone:    map[string]time.Time{},
		left:    map[Life]time.Time{},
	}
	rst.publish()
	return rst
}

// View returns the present state.
func (rst *Roster) View() *View {
	return rst.view.Load()
}

// Replace takes a complete list.
func (rst *Roster) Replace(srvs []Server, now time.Time) {
	rst.mu.Lock()
	defer rst.mu.Unlock()
	next := make(map[string]Server, len(srvs))
	for _, srv := range srvs {
		next[srv.ID] = srv
		delete(rst.gone, srv.ID)
	}
	for id := range rst.servers {
		if _, ok := next[id]; !ok {
			rst.gone[id] = now
		}
	}
	rst.servers = next
	rst.publish()
}

// Apply takes changes in the order in which they were made.
func (rst *Roster) Apply(chgs []Change, now time.Time) {
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
		if !chg.Gone {
			rst.servers[id] = chg.Server
			delete(rst.gone, id)
			continue
		}
		if _, ok := rst.servers[id]; ok {
			delete(rst.servers, id)
			rst.gone[id] = now
		}
	}
	rst.publish()
}

// Leave notes that a process said that it is about to stop, whatever its entry says now or later; it reports whether
// that is new.
func (rst *Roster) Leave(lfe Life, now time.Time) bool {
	rst.mu.Lock()
	defer rst.mu.Unlock()
	if _, ok := rst.left[lfe]; ok {
		return false
	}
	for old, when := range rst.left {
		if now.Sub(when) > forgetLeft {
			delete(rst.left, old)
		}
	}
	rst.left[lfe] = now
	rst.publish()
	return true
}

// forgetLeft is the time after which a process that said that it stops has stopped; it exceeds the life of any entry.
const forgetLeft = 10 * time.Minute

// forgetGone is the time after which a vanished entry is no longer remembered; groups are repaired long before.
const forgetGone = time.Minute

func (rst *Roster) publish() {
	viw := &View{
		servers:  make(map[string]*Server, len(rst.servers)),
		services: map[string][]*Server{},
		members:  map[Place]int{},
		leaving:  map[Place]bool{},
		gone:     make(map[string]time.Time, len(rst.gone)),
	}
	var last time.Time
	for _, when := range rst.gone {
		if when.After(last) {
			last = when
		}
	}
	for id, when := range rst.gone {
		if last.Sub(when) > forgetGone {
			delete(rst.gone, id)
			continue
		}
		viw.gone[id] = when
	}
	for id := range rst.servers {
		srv := rst.servers[id]
		if _, ok := rst.left[srv.Life()]; ok {
			srv.Draining = true
		}
		viw.servers[id] = &srv
		viw.services[srv.Service] = append(viw.services[srv.Service], &srv)
		if srv.Place.State != Alone && srv.Place.State != Joining {
			viw.members[srv.Place.Identity()]++
			if srv.Draining {
				viw.leaving[srv.Place.Identity()] = true
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

// Service returns the backend servers of a service, ordered by ID; the list must not be changed.
func (viw *View) Service(name string) []*Server {
	return viw.services[name]
}

// Len returns the number of backend servers.
func (viw *View) Len() int {
	return len(viw.servers)
}

// GoneSince returns when a backend server's entry was seen to vanish.
func (viw *View) GoneSince(id string) (time.Time, bool) {
	when, ok := viw.gone[id]
	return when, ok
}

// Members returns how many VMs report that they are ready in a group with its epoch.
func (viw *View) Members(plc Place) int {
	return viw.members[plc.Identity()]
}

// Leaving reports whether a member of a group is draining.
func (viw *View) Leaving(plc Place) bool {
	return viw.leaving[plc.Identity()]
}

// Head returns the VM of rank 0 of a group and epoch.
func (viw *View) Head(service string, plc Place) (*Server, bool) {
	for _, srv := range viw.services[service] {
		if srv.Place.State != Alone && srv.Place.Rank == 0 && srv.Place.Same(plc) {
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
