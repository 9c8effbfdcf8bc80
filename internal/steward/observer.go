package steward

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cumintally/cumintally/internal/formation"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/roster"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/sizing"
	"github.com/cumintally/cumintally/pkg/document"
)

const (
	// returnTime is the time within which entries that lapsed while the store was out are back in it.
	returnTime = 2500 * time.Millisecond
	// lostAfter is the time for which an entry must be missing while the store has been well all along: entries
	// are removed only after some heartbeats of silence.
	lostAfter = 100 * time.Millisecond
	// stableFor is the time for which no VM must have registered before the first groups are planned: a site that
	// starts registers its VMs within a second or two, and a plan of half of them would be changed again.
	stableFor = 700 * time.Millisecond
	// returnFor is the time for which none of the VMs of a fabric domain that comes back must have registered before the
	// domain is planned, and mostReturn bounds the wait: heartbeats spread the entries over about a second.
	returnFor  = 450 * time.Millisecond
	mostReturn = 1500 * time.Millisecond
	// returning is the number of VMs that register within returnFor beyond which a domain is taken to come back.
	returning = 1
)

// observer notes what engines reported before.
type observer struct {
	// seen holds the VMs that registered, and grown is when one did for the first time.
	seen  map[string]seenVM
	grown time.Time
	// turns numbers the observations of each service.
	turns map[string]uint64
	// arrivals holds, by fabric domain, when VMs registered that were not registered before, oldest first.
	arrivals map[string][]time.Time
}

// seenVM is what is remembered of a VM's process: the model that it served last.
type seenVM struct {
	born   int64
	memory string
	// turn is the last observation in which the VM was registered.
	turn uint64
}

func (obs *observer) note(srv *roster.Server, now time.Time) {
	old, ok := obs.seen[srv.ID]
	if !ok {
		obs.grown = now
	}
	if !ok || old.born != srv.Born || old.turn+1 < obs.turns[srv.Service] {
		obs.arrivals[srv.Domain] = append(obs.arrivals[srv.Domain], now)
	}
	next := seenVM{
		born: srv.Born,
		turn: obs.turns[srv.Service],
	}
	if ok && old.born == srv.Born {
		next.memory = old.memory
	}
	if srv.Place.State != roster.Alone && srv.Place.State != roster.Joining && len(srv.Models) > 0 {
		next.memory = srv.Models[0]
	}
	obs.seen[srv.ID] = next
}

// returns reports whether several VMs of a fabric domain are just coming back: a group that is planned from half of them
// would take VMs that must load its weights while others hold them.
func (obs *observer) returns(domain string, now time.Time) bool {
	recent, first := 0, now
	for _, at := range obs.arrivals[domain] {
		if now.Sub(at) < mostReturn && at.Before(first) {
			first = at
		}
		if now.Sub(at) < returnFor {
			recent++
		}
	}
	return recent > returning && now.Sub(first) < mostReturn-returnFor
}

// forgetArrivals drops the arrivals that decide nothing any more.
func (obs *observer) forgetArrivals(now time.Time) {
	for domain, ats := range obs.arrivals {
		ats = slices.DeleteFunc(ats, func(at time.Time) bool { return now.Sub(at) >= mostReturn })
		if len(ats) == 0 {
			delete(obs.arrivals, domain)
		} else {
			obs.arrivals[domain] = ats
		}
	}
}

// situation is what one turn plans from.
type situation struct {
	svc     *route.Service
	rst     *roster.View
	inv     *inventory.Inventory
	obs     *observer
	now     time.Time
	zones   []string
	domains []sizing.Domain
	byName  map[string]int
	// mayLose says that an entry that is missing belongs to a VM that is gone.
	mayLose bool
	// settling says that VMs are still registering.
	settling bool
	// plan says how many groups each domain should run, and vms holds the place of each VM in its domain.
	plan *sizing.Plan
	vms  map[string]int
	// spare holds what VMs without weights in memory should load, nil until it has been worked out.
	spare map[string]formation.Standby
	// fresh says that no group works and no VM has weights at hand, so that any VM may be told to load some.
	fresh  bool
	models []document.Model
	// groups are the groups that each domain should run.
	groups map[string][]document.Group
}

func newObserver() *observer {
	return &observer{
		seen:     map[string]seenVM{},
		turns:    map[string]uint64{},
		arrivals: map[string][]time.Time{},
	}
}

func (obs *observer) observe(
	svc *route.Service,
	rst *roster.View,
	inv *inventory.Inventory,
	now time.Time,
	settled func(time.Duration) bool,
) *situation {
	sit := &situation{
		svc:     svc,
		rst:     rst,
		inv:     inv,
		obs:     obs,
		now:     now,
		byName:  map[string]int{},
		groups:  map[string][]document.Group{},
		vms:     map[string]int{},
		mayLose: settled(returnTime),
	}
	obs.turns[svc.Name]++
	obs.forgetArrivals(now)
	for _, srv := range rst.Service(svc.Name) {
		if srv.Domain != "" {
			obs.note(srv, now)
			sit.domain(srv.Zone, srv.Domain)
		}
	}
	sit.settling = now.Sub(obs.grown) < stableFor
	for _, zone := range rst.Zones(svc.Name) {
		sit.zones = append(sit.zones, zone)
		for _, alc := range inv.Allocations(zone) {
			sit.domain(zone, alc.FabricDomain)
		}
	}
	sit.wantGroups()
	return sit
}

// domain returns the entry of a fabric domain.
func (sit *situation) domain(zone, name string) *sizing.Domain {
	idx, ok := sit.byName[name]
	if !ok {
		idx = len(sit.domains)
		sit.byName[name] = idx
		sit.domains = append(sit.domains, sizing.Domain{
			Name: name,
			Zone: zone,
			Out:  sit.inv.Zone(zone).Out,
		})
	}
	return &sit.domains[idx]
}

// intact reports whether every member of a group is registered and stays.
func (sit *situation) intact(grp group.Group) bool {
	for _, mem := range grp.Members {
		if srv, ok := sit.rst.Server(mem.VM); !ok || srv.Draining {
			return false
		}
	}
	return true
}

// wantGroups works out the groups that each domain should run, as the planner takes them: as many as sizing says,
// those that work before those that can be repaired, and new ones last.
func (sit *situation) wantGroups() {
	models := map[string]int{}
	for idx, mod := range sit.svc.Engine.Models {
		models[mod.Name] = idx
		sit.models = append(sit.models, document.Model{
			Name:        mod.Name,
			VMsPerGroup: mod.VMs,
		})
	}
	used := map[string]bool{}
	names, serving := sit.standing(models, used)
	sit.addVMs(serving)
	sit.plan = sizing.New(sit.svc.Engine.Models, sit.domains)
	for idx, counts := range sit.plan.Groups {
		for mod, num := range counts {
			for pos := range num {
				dom := &sit.domains[idx]
				sit.groups[dom.Name] = append(sit.groups[dom.Name], document.Group{
					Name:             sit.name(names[idx][mod], pos, mod, dom, used),
					Model:            sit.svc.Engine.Models[mod].Name,
					AvailabilityZone: dom.Zone,
					Replicas:         1,
				})
			}
		}
	}
}

// standing returns the names of each domain's groups by model, those that work before those that can be repaired, and the
// VMs of the former; it adds the names to used. Groups whose members can serve another model come after others, since the
// last are given up first.
func (sit *situation) standing(models map[string]int, used map[string]bool) ([]map[int][]string, map[string]sizing.VM) {
	names := make([]map[int][]string, len(sit.domains))
	serving := map[string]sizing.VM{}
	for idx := range sit.domains {
		names[idx] = map[int][]string{}
		alc, _ := sit.inv.Allocation(sit.domains[idx].Name)
		grps := slices.Clone(alc.Groups)
		slices.SortStableFunc(grps, func(one, two group.Group) int {
			return cmp.Compare(sit.rank(one), sit.rank(two))
		})
		for _, grp := range grps {
			mod, ok := models[grp.Model]
			if !ok || len(grp.Members) != sit.svc.Engine.Models[mod].VMs {
				continue
			}
			pos := len(names[idx][mod])
			names[idx][mod] = append(names[idx][mod], strings.TrimSuffix(grp.Name, replicaSuffix))
			used[grp.Name] = true
			if !sit.intact(grp) {
				continue
			}
			for _, mem := range grp.Members {
				serving[mem.VM] = sizing.VM{
					Serves: mod,
					Group:  pos,
				}
			}
		}
	}
	return names, serving
}

// rank orders the groups of a domain: those that work by the number of members that can serve another model, then others.
func (sit *situation) rank(grp group.Group) int {
	if !sit.intact(grp) {
		return len(grp.Members) + 1
	}
	num := 0
	for _, mem := range grp.Members {
		if srv, ok := sit.rst.Server(mem.VM); ok && slices.ContainsFunc(srv.Staged, func(name string) bool { return name != grp.Model }) {
			num++
		}
	}
	return num
}

// addVMs tells sizing of the VMs that can be used: the group that each works in and the weights that it has.
func (sit *situation) addVMs(serving map[string]sizing.VM) {
	sit.fresh = len(serving) == 0
	for _, srv := range sit.rst.Service(sit.svc.Name) {
		sit.fresh = sit.fresh && len(sit.holds(srv)) == 0
	}
	for _, srv := range sit.rst.Service(sit.svc.Name) {
		if srv.Domain == "" || srv.Draining {
			continue
		}
		vmc, ok := serving[srv.ID]
		if !ok {
			vmc.Serves = sizing.None
		}
		holds := sit.holds(srv)
		for idx, mod := range sit.svc.Engine.Models {
			if sit.fresh || slices.Contains(holds, mod.Name) {
				vmc.Holds = append(vmc.Holds, idx)
			}
		}
		dom := sit.domain(srv.Zone, srv.Domain)
		sit.vms[srv.ID] = len(dom.VMs)
		dom.VMs = append(dom.VMs, vmc)
	}
}

// loads returns the model whose weights a VM is loading that has none at hand, empty if there is none.
func (sit *situation) loads(srv *roster.Server) string {
	if srv.Place.State != roster.Joining || len(srv.Models) == 0 || len(sit.holds(srv)) > 0 {
		return ""
	}
	return srv.Models[0]
}

// inMemory returns the model whose weights a VM holds in memory, empty if it may hold none.
func (sit *situation) inMemory(srv *roster.Server) string {
	return sit.obs.seen[srv.ID].memory
}

// holds returns the models whose weights a VM has at hand, in memory or on its host.
func (sit *situation) holds(srv *roster.Server) []string {
	memory := sit.inMemory(srv)
	if memory == "" || slices.Contains(srv.Staged, memory) {
		return srv.Staged
	}
	return append(slices.Clone(srv.Staged), memory)
}

// replicaSuffix is what the planner adds to the name of a group with one replica.
const replicaSuffix = "/0"

// name returns the name of a group: one that stands, or a free one.
func (sit *situation) name(standing []string, pos, mod int, dom *sizing.Domain, used map[string]bool) string {
	if pos < len(standing) {
		return standing[pos]
	}
	for num := 0; ; num++ {
		name := sit.svc.Engine.Models[mod].Name + "-" + dom.Name + "-" + strconv.Itoa(num)
		if !used[name+replicaSuffix] {
			used[name+replicaSuffix] = true
			return name
		}
	}
}

// mayPlan reports whether groups may be planned now: what is missing must be known to be gone, and a site that
// starts must have registered its VMs.
func (sit *situation) mayPlan() bool {
	if !sit.mayLose {
		return false
	}
	if !sit.settling {
		return true
	}
	for idx := range sit.domains {
		if _, ver := sit.inv.Allocation(sit.domains[idx].Name); ver > 0 {
			return true
		}
	}
	return false
}
