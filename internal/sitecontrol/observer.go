package sitecontrol

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/orderplan"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/sizing"
	"github.com/cumintally/cumintally/pkg/document"
)

const (
	// reregistrationTime is the time within which engines register again after their registrations expired during an
	// outage of the store.
	reregistrationTime = 2500 * time.Millisecond
	// missingGrace is the time after which a missing registration means that the VM is lost, if the store was available
	// throughout. It is short, because the store removes a registration only after several missed heartbeats.
	missingGrace = 100 * time.Millisecond
	// startupSettleTime is the time without a new VM that must pass before the first groups are planned. The VMs of a
	// starting site register within 1 to 2 s, and a plan made from half of them would have to be changed.
	startupSettleTime = 700 * time.Millisecond
	// returnQuietTime is the time in which at most maxQuietArrivals VMs may register anew before a returning fabric
	// domain is planned. The domain is planned in any case maxReturnWait-returnQuietTime after its first new
	// registration. Heartbeats spread the registrations over about 1 s.
	returnQuietTime = 450 * time.Millisecond
	maxReturnWait   = 1500 * time.Millisecond
	// maxQuietArrivals is the number of registrations within returnQuietTime above which a domain counts as returning.
	maxQuietArrivals = 1
)

// observer keeps what engines reported in earlier rounds of the control loop.
type observer struct {
	// vms holds all VMs that ever registered; lastNewVM is when one last registered for the first time.
	vms       map[string]observedVM
	lastNewVM time.Time
	// rounds counts the observations of each service.
	rounds map[string]uint64
	// arrivals holds, by fabric domain, the times of new registrations, oldest first.
	arrivals map[string][]time.Time
	// held holds the groups of each service that were alive with unregistered members in the last round.
	held map[string]map[serverregistry.Membership]heldGroup
}

// observedVM holds what is known of a VM's engine process from earlier rounds.
type observedVM struct {
	startTime int64
	// modelInMemory is the model that the process served last, empty if it served none.
	modelInMemory string
	// round is the last round in which the VM was registered.
	round uint64
}

// record updates the state of a registered VM.
func (obs *observer) record(srv *serverregistry.Server, now time.Time) {
	old, ok := obs.vms[srv.ID]
	if !ok {
		obs.lastNewVM = now
	}
	if !ok || old.startTime != srv.StartTime || old.round+1 < obs.rounds[srv.Service] {
		obs.arrivals[srv.FabricDomain] = append(obs.arrivals[srv.FabricDomain], now)
	}
	next := observedVM{
		startTime: srv.StartTime,
		round:     obs.rounds[srv.Service],
	}
	if ok && old.startTime == srv.StartTime {
		next.modelInMemory = old.modelInMemory
	}
	if srv.Membership.State != serverregistry.NoGroup && srv.Membership.State != serverregistry.Joining && len(srv.Models) > 0 {
		next.modelInMemory = srv.Models[0]
	}
	obs.vms[srv.ID] = next
}

// domainReturning reports whether several VMs of a fabric domain are just registering again. If groups were planned
// from half of the VMs, they would include VMs that must load weights although others have them.
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

// expireArrivals removes arrivals older than maxReturnWait, which no longer affect domainReturning.
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

// siteState is the input of one round of planning for a service.
type siteState struct {
	svc         *route.Service
	reg         *serverregistry.View
	inv         *inventory.Inventory
	obs         *observer
	now         time.Time
	zones       []string
	domains     []sizing.Domain
	domainIndex map[string]int
	// missingIsLost is set if a missing registration means that the VM is lost, unless its group is held.
	missingIsLost bool
	// held holds the groups that are alive with unregistered members, and confirmed those of them that sent a byte since the
	// members were unregistered.
	held      map[serverregistry.Membership]heldGroup
	confirmed map[serverregistry.Membership]bool
	// demand holds the measured work by model, in VMs that it keeps busy.
	demand map[string]float64
	// stillRegistering is set if a VM registered for the first time within startupSettleTime.
	stillRegistering bool
	// plan is the number of groups that each domain should run; vmIndex holds the index of each VM in its domain.
	plan    *sizing.Plan
	vmIndex map[string]int
	// standbys holds what VMs without weights in memory should load, by VM; nil until chooseStandbys has run.
	standbys map[string]orderplan.Standby
	// coldStart is set if no group is running and no VM has weights locally, so that any VM may load the weights of a
	// group.
	coldStart bool
	models    []document.Model
	// desiredGroups holds the groups that each domain should run, by domain.
	desiredGroups map[string][]document.Group
}

func newObserver() *observer {
	return &observer{
		vms:      map[string]observedVM{},
		rounds:   map[string]uint64{},
		arrivals: map[string][]time.Time{},
		held:     map[string]map[serverregistry.Membership]heldGroup{},
	}
}

// observe records the registrations of a service and returns the state to plan from. The parameter demand holds the
// measured work by model, in VMs that it keeps busy. lastByte returns when a server last sent a byte of a response, and
// currentFor reports whether the daemon's copies of the store have been current for a time span.
func (obs *observer) observe(
	svc *route.Service,
	reg *serverregistry.View,
	inv *inventory.Inventory,
	demand map[string]float64,
	now time.Time,
	lastByte func(server string, now time.Time) time.Time,
	currentFor func(time.Duration) bool,
) *siteState {
	sit := &siteState{
		svc:           svc,
		reg:           reg,
		inv:           inv,
		demand:        demand,
		obs:           obs,
		now:           now,
		domainIndex:   map[string]int{},
		desiredGroups: map[string][]document.Group{},
		vmIndex:       map[string]int{},
		missingIsLost: currentFor(reregistrationTime),
		held:          map[serverregistry.Membership]heldGroup{},
		confirmed:     map[serverregistry.Membership]bool{},
	}
	if obs.held[svc.Name] == nil {
		obs.held[svc.Name] = map[serverregistry.Membership]heldGroup{}
	}
	obs.rounds[svc.Name]++
	obs.expireArrivals(now)
	for _, srv := range reg.Service(svc.Name) {
		if srv.FabricDomain != "" {
			obs.record(srv, now)
			sit.domain(srv.Zone, srv.FabricDomain)
		}
	}
	sit.stillRegistering = now.Sub(obs.lastNewVM) < startupSettleTime
	for _, zone := range reg.Zones(svc.Name) {
		sit.zones = append(sit.zones, zone)
		for _, alc := range inv.Allocations(zone) {
			sit.domain(zone, alc.FabricDomain)
		}
	}
	sit.findHeld(lastByte)
	for _, srv := range sit.heldMembers() {
		// A member that registers again is then no new arrival, for which the planning of its domain would wait.
		obs.record(srv, now)
	}
	sit.planGroups()
	return sit
}

// domain returns the entry of a fabric domain and adds it if it is new.
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

// intact reports whether every member of a group is registered and not draining, or the group is held.
func (sit *siteState) intact(grp group.Group) bool {
	if sit.isHeld(grp) {
		return true
	}
	for _, mem := range grp.Members {
		if srv, ok := sit.reg.Server(mem.VM); !ok || srv.Draining {
			return false
		}
	}
	return true
}

// serves reports whether a group takes requests and is not being dissolved.
func (sit *siteState) serves(grp group.Group) bool {
	state, whole := sit.groupState(grp)
	return state == serverregistry.Open && whole && !grp.Draining
}

// planGroups computes the groups that each domain should run, in the form that package group takes. Their number comes
// from package sizing. Running groups are kept first, then groups that can be repaired; new groups make up the rest.
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
	mods := sit.svc.Engine.Models
	sit.plan = sizing.New(mods, sizing.Shares(mods, sit.demand, len(sit.vmIndex)), sit.domains)
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

// existingGroups returns the names of each domain's groups by model, and the VMs of the running ones; it adds the names
// to used. Running groups come before those that can be repaired. Among running groups, those whose members can serve
// another model come last, since the last ones are dissolved first.
func (sit *siteState) existingGroups(models map[string]int, used map[string]bool) ([]map[int][]string, map[string]sizing.VM) {
	names := make([]map[int][]string, len(sit.domains))
	serving := map[string]sizing.VM{}
	for idx := range sit.domains {
		names[idx] = map[int][]string{}
		sit.domains[idx].ServingGroups = make([]int, len(models))
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
			if sit.serves(grp) {
				sit.domains[idx].ServingGroups[mod]++
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

// keepRank returns the position of a group in the order in which groups are kept, lowest first: running groups by the
// number of members whose hosts hold another model, those that are being dissolved last, then all others.
func (sit *siteState) keepRank(grp group.Group) int {
	if !sit.intact(grp) {
		return 2 * (len(grp.Members) + 1)
	}
	num := 0
	if grp.Draining {
		num = len(grp.Members) + 1
	}
	for _, mem := range grp.Members {
		if srv, ok := sit.reg.Server(mem.VM); ok && slices.ContainsFunc(srv.StagedModels, func(name string) bool { return name != grp.Model }) {
			num++
		}
	}
	return num
}

// addUsableVMs adds the usable VMs to the domains for sizing, each with its running group and its local weights.
func (sit *siteState) addUsableVMs(serving map[string]sizing.VM) {
	sit.coldStart = len(serving) == 0
	for _, srv := range sit.reg.Service(sit.svc.Name) {
		sit.coldStart = sit.coldStart && len(sit.localModels(srv)) == 0
	}
	for _, srv := range append(sit.heldMembers(), sit.reg.Service(sit.svc.Name)...) {
		if srv.FabricDomain == "" || srv.Draining {
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
		dom := sit.domain(srv.Zone, srv.FabricDomain)
		sit.vmIndex[srv.ID] = len(dom.VMs)
		dom.VMs = append(dom.VMs, vmc)
	}
}

// loadingModel returns the model whose weights a VM without local weights is loading, empty if there is none.
func (sit *siteState) loadingModel(srv *serverregistry.Server) string {
	if srv.Membership.State != serverregistry.Joining || len(srv.Models) == 0 || len(sit.localModels(srv)) > 0 {
		return ""
	}
	return srv.Models[0]
}

// inMemory returns the model whose weights a VM holds in memory, empty if it may hold none.
func (sit *siteState) inMemory(srv *serverregistry.Server) string {
	return sit.obs.vms[srv.ID].modelInMemory
}

// localModels returns the models whose weights a VM has in memory or on its host.
func (sit *siteState) localModels(srv *serverregistry.Server) []string {
	memory := sit.inMemory(srv)
	if memory == "" || slices.Contains(srv.StagedModels, memory) {
		return srv.StagedModels
	}
	return append(slices.Clone(srv.StagedModels), memory)
}

// replicaSuffix is the replica number that package group adds to the name of a group with one replica.
const replicaSuffix = "/0"

// groupName returns the name of the existing group at a position, or an unused name for a new group.
func (sit *siteState) groupName(existing []string, pos, mod int, dom *sizing.Domain, used map[string]bool) string {
	if pos < len(existing) {
		return existing[pos]
	}
	for num := 0; ; num++ {
		name := sit.svc.Engine.Models[mod].Name + "-" + dom.Name + "-" + strconv.Itoa(num)
		if !used[name+replicaSuffix] {
			used[name+replicaSuffix] = true
			return name
		}
	}
}

// mayPlan reports whether groups may be planned now. Missing registrations must mean lost VMs, and if no domain has an
// allocation yet, the VMs of the starting site must have registered.
func (sit *siteState) mayPlan() bool {
	if !sit.missingIsLost {
		return false
	}
	if !sit.stillRegistering {
		return true
	}
	for idx := range sit.domains {
		if _, ver := sit.inv.Allocation(sit.domains[idx].Name); ver > 0 {
			return true
		}
	}
	return false
}
