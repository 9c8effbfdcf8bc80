package steward

import (
	"github.com/cumintally/cumintally/internal/formation"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/roster"
	"github.com/cumintally/cumintally/internal/sizing"
	"github.com/cumintally/cumintally/pkg/document"
)

// view returns what the plan of a domain is made from. Domains are planned one by one, since sizing has decided
// which of them runs what.
func (sit *situation) view(dom *sizing.Domain) group.View {
	viw := group.View{
		AvailabilityZone: dom.Zone,
		Document: &document.Document{
			Models: sit.models,
			Groups: sit.groups[dom.Name],
		},
		HeldOnly: !sit.fresh,
		Settled:  map[group.ReleasedVM]bool{},
		Serving:  map[group.Place]bool{},
		Drained:  map[group.Place]bool{},
		Broken:   map[group.Place]bool{},
	}
	known := map[string]bool{}
	for _, srv := range sit.rst.Service(sit.svc.Name) {
		if srv.Domain == dom.Name {
			known[srv.ID] = true
			viw.VMs = append(viw.VMs, sit.vmView(srv))
		}
	}
	alc, ver := sit.inv.Allocation(dom.Name)
	if ver == 0 {
		return viw
	}
	viw.Allocations = []group.Allocation{alc}
	for _, grp := range alc.Groups {
		sit.groupState(&viw, alc, grp)
		for _, mem := range grp.Members {
			if !known[mem.VM] {
				known[mem.VM] = true
				viw.VMs = append(viw.VMs, sit.missing(alc, mem))
			}
		}
	}
	// Released VMs may be used again at once: an engine rejects late orders by their epoch, and formation waits
	// until the former group has ended.
	for _, rel := range alc.Released {
		viw.Settled[rel] = true
	}
	return viw
}

func (sit *situation) vmView(srv *roster.Server) group.VMView {
	return group.VMView{
		Name:         srv.ID,
		FabricDomain: srv.Domain,
		Address:      srv.Address,
		Usable:       !srv.Draining && (sit.fresh || len(sit.holds(srv)) > 0),
		Busy:         srv.Place.State != roster.Alone && !formation.IsStandby(srv),
		Leaving:      srv.Draining,
		Fencing:      srv.Place.Epoch,
		Loaded:       sit.inMemory(srv),
		Staged:       srv.Staged,
	}
}

// missing returns the view of a member that is not registered.
func (sit *situation) missing(alc group.Allocation, mem group.Member) group.VMView {
	since, seen := sit.rst.GoneSince(mem.VM)
	return group.VMView{
		Name:         mem.VM,
		FabricDomain: alc.FabricDomain,
		Address:      mem.Address,
		// An entry that this daemon never saw has been missing since before it started.
		Lost: sit.mayLose && (!seen || sit.now.Sub(since) > lostAfter),
	}
}

// groupState notes what the VMs of a group report.
func (sit *situation) groupState(viw *group.View, alc group.Allocation, grp group.Group) {
	plc := group.Place{
		FabricDomain: alc.FabricDomain,
		Group:        grp.Name,
	}
	own := roster.Place{
		Group: grp.Name,
		Epoch: grp.Fencing,
	}
	head, ok := sit.rst.Server(grp.Members[0].VM)
	if !ok || !head.Place.Same(own) {
		viw.Drained[plc] = true
		return
	}
	whole := sit.rst.Members(own) >= len(grp.Members)
	switch head.Place.State {
	case roster.Open:
		viw.Serving[plc] = whole
		viw.Broken[plc] = !whole
	case roster.Closing:
	case roster.Broken:
		viw.Broken[plc] = true
		viw.Drained[plc] = true
	default:
		viw.Drained[plc] = true
	}
}

// spares returns what VMs that hold no weights in memory should load, by VM: what their hosts hold, which takes a second or
// two, else the model that the site gains most by. Loads under way are known from what the VM joins.
func (sit *situation) spares() map[string]formation.Standby {
	if sit.spare != nil {
		return sit.spare
	}
	sit.spare = map[string]formation.Standby{}
	if sit.fresh {
		// The first groups load their weights themselves.
		return sit.spare
	}
	members := sit.members()
	var empty []*roster.Server
	for _, srv := range sit.rst.Service(sit.svc.Name) {
		if _, ok := sit.vms[srv.ID]; !ok || sit.inMemory(srv) != "" || members[srv.ID] != "" {
			continue
		}
		switch loads := sit.loads(srv); {
		case len(srv.Staged) > 0:
			sit.standby(srv, srv.Staged[0])
		case loads != "":
			sit.standby(srv, loads)
			sit.plan.Loading(sit.byName[srv.Domain], sit.vms[srv.ID], loads)
		default:
			empty = append(empty, srv)
		}
	}
	for _, srv := range empty {
		mod := sit.plan.Load(sit.byName[srv.Domain], sit.vms[srv.ID])
		sit.standby(srv, sit.svc.Engine.Models[mod].Name)
	}
	return sit.spare
}

func (sit *situation) standby(srv *roster.Server, model string) {
	alc, _ := sit.inv.Allocation(srv.Domain)
	sit.spare[srv.ID] = formation.Standby{
		Model: model,
		Epoch: max(1, alc.Counter),
	}
}

// memory returns the models whose weights VMs hold in memory, by VM.
func (sit *situation) memory() map[string]string {
	mods := make(map[string]string, len(sit.obs.seen))
	for id, sen := range sit.obs.seen {
		mods[id] = sen.memory
	}
	return mods
}

// stages returns the models whose weights the hosts should hold, by VM: the model that the VM does not serve, so
// that it can take part in a group of any model within seconds.
func (sit *situation) stages() map[string]string {
	stages := map[string]string{}
	mods := sit.svc.Engine.Models
	if len(mods) < 2 {
		return stages
	}
	held := sit.members()
	for id, spare := range sit.spares() {
		held[id] = spare.Model
	}
	for _, srv := range sit.rst.Service(sit.svc.Name) {
		if memory := sit.inMemory(srv); memory != "" && held[srv.ID] == "" {
			held[srv.ID] = memory
		}
	}
	for id, model := range held {
		for pos, mod := range mods {
			if mod.Name == model {
				stages[id] = mods[(pos+1)%len(mods)].Name
			}
		}
	}
	return stages
}

// members returns the model that each member of an allocated group serves.
func (sit *situation) members() map[string]string {
	members := map[string]string{}
	for idx := range sit.domains {
		alc, _ := sit.inv.Allocation(sit.domains[idx].Name)
		for _, grp := range alc.Groups {
			for _, mem := range grp.Members {
				members[mem.VM] = grp.Model
			}
		}
	}
	return members
}
