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
	// reregistrationTime is the time within which entries that lapsed while the store was out are back in it.
	reregistrationTime = 2500 * time.Millisecond
	// missingGrace is the time for which an entry must be missing while the store has been well all along: entries
	// are removed only after some heartbeats of silence.
	missingGrace = 100 * time.Millisecond
	// startupSettleTime is the time for which no VM must have registered before the first groups are planned: a site that
	// starts registers its VMs within a second or two, and a plan of half of them would be changed again.
	startupSettleTime = 700 * time.Millisecond
	// returnQuietTime is the time for which none of the VMs of a fabric domain that comes back must have registered before the
	// domain is planned, and mostReturn bounds the wait: heartbeats spread the entries over about a second.
	returnQuietTime = 450 * time.Millisecond
	maxReturnWait   = 1500 * time.Millisecond
	// maxQuietArrivals is the number of VMs that register within returnFor beyond which a domain is taken to come back.
	maxQuietArrivals = 1
)

// observer notes what engines reported before.
type observer struct {
	// vms holds the VMs that registered, and grown is when one did for the first time.
	vms       map[string]observedVM
	lastNewVM time.Time
	// rounds numbers the observations of each service.
	rounds map[string]uint64
	// arrivals holds, by fabric domain, when VMs registered that were not registered before, oldest first.
	arrivals map[string][]time.Time
}

// observedVM is what is remembered of a VM's process: the model that it served last.
type observedVM struct {
	born          int64
	modelInMemory string
	// round is the last observation in which the VM was registered.
	round uint64
}

func (obs *observer) record(srv *roster.Server, now time.Time) {
	old, ok := obs.vms[srv.ID]
	if !ok {
		obs.lastNewVM = now
	}
	if !ok || old.born != srv.Born || old.round+1 < obs.rounds[srv.Service] {
		obs.arrivals[srv.Domain] = append(obs.arrivals[srv.Domain], now)
	}
	next := observedVM{
		born:  srv.Born,
		round: obs.rounds[srv.Service],
	}
	if ok && old.born == srv.Born {
		next.modelInMemory = old.modelInMemory
	}
	if srv.Place.State != roster.Alone && srv.Place.State != roster.Joining && len(srv.Models) > 0 {
		next.modelInMemory = srv.Models[0]
	}
	obs.vms[srv.ID] = next
}

// domainReturning reports whether several VMs of a fabric domain are just coming back: a group that is planned from half of them
// would take VMs that must load its weights while others hold them.
func (obs *observer) domainReturning(domain string, now time.Time) bool {
	recent, first := 0, now
	for _, at := range obs.arrivals[domain] {
		if now.Sub(at) < maxReturnWait && at.Before(first) {
			first = at
		}
		if now.Sub(at) < returnQuietTime {
			recent++
		}
	}
	return recent > maxQuietArrivals && now.Sub(first) < maxReturnWait-returnQuietTime
}

// expireArrivals drops the arrivals that decide nothing any more.
func (obs *observer) expireArrivals(now time.Time) {
	for domain, ats := range obs.arrivals {
		ats = slices.DeleteFunc(ats, func(at time.Time) bool { return now.Sub(at) >= maxReturnWait })
		if len(ats) == 0 {
			delete(obs.arrivals, domain)
		} else {
			obs.arrivals[domain] = ats
		}
	}
}

// siteState is what one turn plans from.
type siteState struct {
	svc         *route.Service
	rst         *roster.View
	inv         *inventory.Inventory
	obs         *observer
	now         time.Time
	zones       []string
	domains     []sizing.Domain
	domainIndex map[string]int
	// missingIsLost says that an entry that is missing belongs to a VM that is gone.
	missingIsLost bool
	// registering says that VMs are still registering.
	registering bool
	// plan says how many groups each domain should run, and vms holds the place of each VM in its domain.
	plan    *sizing.Plan
	vmIndex map[string]int
	// standbys holds what VMs without weights in memory should load, nil until it has been worked out.
	standbys map[string]formation.Standby
	// coldStart says that no group works and no VM has weights at hand, so that any VM may be told to load some.
	coldStart bool
	models    []document.Model
	// desiredGroups are the groups that each domain should run.
	desiredGroups map[string][]document.Group
}

func newObserver() *observer {
	return &observer{
		vms:      map[string]observedVM{},
		rounds:   map[string]uint64{},
		arrivals: map[string][]time.Time{},
	}
}

func (obs *observer) observe(
	svc *route.Service,
	rst *roster.View,
	inv *inventory.Inventory,
	now time.Time,
	settled func(time.Duration) bool,
) *siteState {
	sit := &siteState{
		svc:           svc,
		rst:           rst,
		inv:           inv,
		obs:           obs,
		now:           now,
		domainIndex:   map[string]int{},
		desiredGroups: map[string][]document.Group{},
		vmIndex:       map[string]int{},
		missingIsLost: settled(reregistrationTime),
	}
	obs.rounds[svc.Name]++
	obs.expireArrivals(now)
	for _, srv := range rst.Service(svc.Name) {
		if srv.Domain != "" {
			obs.record(srv, now)
			sit.domain(srv.Zone, srv.Domain)
		}
	}
	sit.registering = now.Sub(obs.lastNewVM) < startupSettleTime
	for _, zone := range rst.Zones(svc.Name) {
		sit.zones = append(sit.zones, zone)
		for _, alc := range inv.Allocations(zone) {
			sit.domain(zone, alc.FabricDomain)
		}
	}
	sit.planGroups()
	return sit
}

// domain returns the entry of a fabric domain.
func (sit *siteState) domain(zone, name string) *sizing.Domain {
	idx, ok := sit.domainIndex[name]
	if !ok {
		idx = len(sit.domains)
		sit.domainIndex[name] = idx
		sit.domains = append(sit.domains, sizing.Domain{
			Name:         name,
			Zone:         zone,
			OutOfService: sit.inv.Zone(zone).Out,
		})
	}
	return &sit.domains[idx]
}

// intact reports whether every member of a group is registered and stays.
func (sit *siteState) intact(grp group.Group) bool {
	for _, mem := range grp.Members {
		if srv, ok := sit.rst.Server(mem.VM); !ok || srv.Draining {
			return false
		}
	}
	return true
}

// planGroups works out the groups that each domain should run, as the planner takes them: as many as sizing says,
// those that work before those that can be repaired, and new ones last.
func (sit *siteState) planGroups() {
	models := map[string]int{}
	for idx, mod := range sit.svc.Engine.Models {
		models[mod.Name] = idx
		sit.models = append(sit.models, document.Model{
			Name:        mod.Name,
			VMsPerGroup: mod.VMs,
		})
	}
	used := map[string]bool{}
	names, serving := sit.existingGroups(models, used)
	sit.addUsableVMs(serving)
	sit.plan = sizing.New(sit.svc.Engine.Models, sit.domains)
	for idx, counts := range sit.plan.Groups {
		for mod, num := range counts {
			for pos := range num {
				dom := &sit.domains[idx]
				sit.desiredGroups[dom.Name] = append(sit.desiredGroups[dom.Name], document.Group{
					Name:             sit.groupName(names[idx][mod], pos, mod, dom, used),
					Model:            sit.svc.Engine.Models[mod].Name,
					AvailabilityZone: dom.Zone,
					Replicas:         1,
				})
			}
		}
	}
}

// existingGroups returns the names of each domain's groups by model, those that work before those that can be repaired, and the
// VMs of the former; it adds the names to used. Groups whose members can serve another model come after others, since the
// last are given up first.
func (sit *siteState) existingGroups(models map[string]int, used map[string]bool) ([]map[int][]string, map[string]sizing.VM) {
	names := make([]map[int][]string, len(sit.domains))
	serving := map[string]sizing.VM{}
	for idx := range sit.domains {
		names[idx] = map[int][]string{}
		alc, _ := sit.inv.Allocation(sit.domains[idx].Name)
		grps := slices.Clone(alc.Groups)
		slices.SortStableFunc(grps, func(one, two group.Group) int {
			return cmp.Compare(sit.keepRank(one), sit.keepRank(two))
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
					ServedModel: mod,
					Group:       pos,
				}
			}
		}
	}
	return names, serving
}

// keepRank orders the groups of a domain: those that work by the number of members that can serve another model, then others.
func (sit *siteState) keepRank(grp group.Group) int {
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

// addUsableVMs tells sizing of the VMs that can be used: the group that each works in and the weights that it has.
func (sit *siteState) addUsableVMs(serving map[string]sizing.VM) {
	sit.coldStart = len(serving) == 0
	for _, srv := range sit.rst.Service(sit.svc.Name) {
		sit.coldStart = sit.coldStart && len(sit.localModels(srv)) == 0
	}
	for _, srv := range sit.rst.Service(sit.svc.Name) {
		if srv.Domain == "" || srv.Draining {
			continue
		}
		vmc, ok := serving[srv.ID]
		if !ok {
			vmc.ServedModel = sizing.NoModel
		}
		holds := sit.localModels(srv)
		for idx, mod := range sit.svc.Engine.Models {
			if sit.coldStart || slices.Contains(holds, mod.Name) {
				vmc.LocalWeights = append(vmc.LocalWeights, idx)
			}
		}
		dom := sit.domain(srv.Zone, srv.Domain)
		sit.vmIndex[srv.ID] = len(dom.VMs)
		dom.VMs = append(dom.VMs, vmc)
	}
}

// loadingModel returns the model whose weights a VM is loading that has none at hand, empty if there is none.
func (sit *siteState) loadingModel(srv *roster.Server) string {
	if srv.Place.State != roster.Joining || len(srv.Models) == 0 || len(sit.localModels(srv)) > 0 {
		return ""
	}
	return srv.Models[0]
}

// inMemory returns the model whose weights a VM holds in memory, empty if it may hold none.
func (sit *siteState) inMemory(srv *roster.Server) string {
	return sit.obs.vms[srv.ID].modelInMemory
}

// localModels returns the models whose weights a VM has at hand, in memory or on its host.
func (sit *siteState) localModels(srv *roster.Server) []string {
	memory := sit.inMemory(srv)
	if memory == "" || slices.Contains(srv.Staged, memory) {
		return srv.Staged
	}
	return append(slices.Clone(srv.Staged), memory)
}

// replicaSuffix is what the planner adds to the name of a group with one replica.
const replicaSuffix = "/0"

// groupName returns the name of a group: one that stands, or a free one.
func (sit *siteState) groupName(standing []string, pos, mod int, dom *sizing.Domain, used map[string]bool) string {
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
func (sit *siteState) mayPlan() bool {
	if !sit.missingIsLost {
		return false
	}
	if !sit.registering {
		return true
	}
	for idx := range sit.domains {
		if _, ver := sit.inv.Allocation(sit.domains[idx].Name); ver > 0 {
			return true
		}
	}
	return false
}
