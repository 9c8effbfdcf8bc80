package sitecontrol

import (
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/orderplan"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/sizing"
	"github.com/cumintally/cumintally/pkg/document"
)

// view returns the input for planning one domain. Domains are planned separately, since sizing has already decided
// which groups each of them runs.
func (sit *siteState) view(dom *sizing.Domain) group.View {
	viw := group.View{
		AvailabilityZone: dom.Zone,
		Document: &document.Document{
			Models: sit.models,
			Groups: sit.desiredGroups[dom.Name],
		},
		LocalWeightsOnly: !sit.coldStart,
		Reassignable:     map[group.ReleasedVM]bool{},
		Serving:          map[group.Key]bool{},
		Drained:          map[group.Key]bool{},
		Broken:           map[group.Key]bool{},
	}
	known := map[string]bool{}
	for _, srv := range sit.reg.Service(sit.svc.Name) {
		if srv.FabricDomain == dom.Name {
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
		sit.addGroupState(&viw, alc, grp)
		for _, mem := range grp.Members {
			if !known[mem.VM] {
				known[mem.VM] = true
				viw.VMs = append(viw.VMs, sit.missingMember(alc, grp, mem))
			}
		}
	}
	// Released VMs may be assigned again at once: engines reject late orders by their epoch, and package orderplan waits
	// until the former group has ended.
	for _, rel := range alc.Released {
		viw.Reassignable[rel] = true
	}
	return viw
}

func (sit *siteState) vmView(srv *serverregistry.Server) group.VMView {
	return group.VMView{
		Name:          srv.ID,
		FabricDomain:  srv.FabricDomain,
		Address:       srv.Address,
		Usable:        !srv.Draining && (sit.coldStart || len(sit.localModels(srv)) > 0),
		Busy:          srv.Membership.State != serverregistry.NoGroup && !orderplan.IsStandby(srv),
		Leaving:       srv.Draining,
		FencingToken:  srv.Membership.Epoch,
		ModelInMemory: sit.inMemory(srv),
		StagedModels:  srv.StagedModels,
	}
}

// missingMember returns the state of a group member that is not registered.
func (sit *siteState) missingMember(alc group.Allocation, grp group.Group, mem group.Member) group.VMView {
	since, seen := sit.reg.RemovedAt(mem.VM)
	return group.VMView{
		Name:         mem.VM,
		FabricDomain: alc.FabricDomain,
		Address:      mem.Address,
		// A registration that this daemon never saw has been missing since before the daemon started.
		Lost: sit.missingIsLost && !sit.isHeld(grp) && (!seen || sit.now.Sub(since) > missingGrace),
		// A group that is released for repair is drained first, like one with a leaving member.
		Leaving: sit.isHeld(grp) && sit.isReleased(grp),
	}
}

// addGroupState adds to a view whether a group is serving, drained or broken, from the reports of its members.
func (sit *siteState) addGroupState(viw *group.View, alc group.Allocation, grp group.Group) {
	key := group.Key{
		FabricDomain: alc.FabricDomain,
		Group:        grp.Name,
	}
	state, whole := sit.groupState(grp)
	switch state {
	case serverregistry.Open:
		viw.Serving[key] = whole
		viw.Broken[key] = !whole
	case serverregistry.Closing:
	case serverregistry.Broken:
		viw.Broken[key] = true
		viw.Drained[key] = true
	default:
		viw.Drained[key] = true
	}
}

// groupState returns the state that the head of a group reports, NoGroup if it is not registered or reports another group,
// and whether all members are ready or the group is held.
func (sit *siteState) groupState(grp group.Group) (state serverregistry.MemberState, whole bool) {
	own := membership(grp)
	head, ok := sit.reg.Server(grp.Members[0].VM)
	if !ok || !head.Membership.SameGroup(own) {
		return serverregistry.NoGroup, false
	}
	return head.Membership.State, sit.isRegistered(grp) || sit.isHeld(grp)
}

// chooseStandbys returns the model that each VM without weights in memory and without a group should load, by VM. It
// prefers a model that the VM's host holds, which loads in 1 to 2 s, then the model that the VM is already loading,
// then the model that lowers the cost of the sizing plan most.
func (sit *siteState) chooseStandbys() map[string]orderplan.Standby {
	if sit.standbys != nil {
		return sit.standbys
	}
	sit.standbys = map[string]orderplan.Standby{}
	if sit.coldStart {
		// The members of the first groups load weights when they join.
		return sit.standbys
	}
	members := sit.memberModels()
	var empty []*serverregistry.Server
	for _, srv := range sit.reg.Service(sit.svc.Name) {
		if _, ok := sit.vmIndex[srv.ID]; !ok || sit.inMemory(srv) != "" || members[srv.ID] != "" {
			continue
		}
		switch loads := sit.loadingModel(srv); {
		case len(srv.StagedModels) > 0:
			sit.setStandby(srv, srv.StagedModels[0])
		case loads != "":
			sit.setStandby(srv, loads)
			sit.plan.RecordLoading(sit.domainIndex[srv.FabricDomain], sit.vmIndex[srv.ID], loads)
		default:
			empty = append(empty, srv)
		}
	}
	for _, srv := range empty {
		mod := sit.plan.ChooseModelToLoad(sit.domainIndex[srv.FabricDomain], sit.vmIndex[srv.ID])
		sit.setStandby(srv, sit.svc.Engine.Models[mod].Name)
	}
	return sit.standbys
}

func (sit *siteState) setStandby(srv *serverregistry.Server, model string) {
	alc, _ := sit.inv.Allocation(srv.FabricDomain)
	sit.standbys[srv.ID] = orderplan.Standby{
		Model: model,
		Epoch: max(1, alc.Counter),
	}
}

// modelsInMemory returns the model whose weights each VM holds in memory, by VM.
func (sit *siteState) modelsInMemory() map[string]string {
	mods := make(map[string]string, len(sit.obs.vms))
	for id, obv := range sit.obs.vms {
		mods[id] = obv.modelInMemory
	}
	return mods
}

// hostModels returns the model whose weights the host of each VM should hold, by VM. It is the model after the one that
// the VM holds, so that with two models the VM can join a group of either one within seconds.
func (sit *siteState) hostModels() map[string]string {
	stages := map[string]string{}
	mods := sit.svc.Engine.Models
	if len(mods) < 2 {
		return stages
	}
	held := sit.memberModels()
	for id, spare := range sit.chooseStandbys() {
		held[id] = spare.Model
	}
	for _, srv := range sit.reg.Service(sit.svc.Name) {
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

// memberModels returns the model of each member of an allocated group, by VM.
func (sit *siteState) memberModels() map[string]string {
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
