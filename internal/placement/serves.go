package placement

import (
	"slices"
	"time"

	"github.com/cumintally/cumintally/internal/groupliveness"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

// serves reports whether an engine is the open head of a group that serves the model and has all its members: each is
// registered, or the group sends tokens without it being registered. A group that sent tokens until the removal serves
// while the next one is due: most daemons have no request at a given group and learn of its tokens after several hundred
// milliseconds, and a group with a failed member has been silent for longer than that when the removal is known.
func (plm *Placement) serves(viw *serverregistry.View, req Request, srv *serverregistry.Server, now time.Time) bool {
	mod := req.RequestedModel()
	if mod == nil || srv.Membership.Rank != 0 || !slices.Contains(srv.Models, req.Model) {
		return false
	}
	ums := viw.UnregisteredMembers(srv.Membership)
	grp := groupliveness.Group{
		Members:      mod.VMs,
		Registered:   viw.ReadyMembers(srv.Membership),
		Unregistered: ums.Number,
		RemovedAt:    ums.RemovedAt,
		HeadOpen:     srv.Membership.State == serverregistry.Open,
		Draining:     viw.HasDrainingMember(srv.Membership),
		LastByte:     func() time.Time { return plm.deps.LastByte(srv.ID, now) },
		MaxSilence:   groupliveness.MaxSilence(req.Service.Engine, mod),
	}
	return grp.Verdict(now) != groupliveness.Lost
}

// reportUnregistered reports the choice of a group if some of its members are not registered.
func (plm *Placement) reportUnregistered(head *serverregistry.Server) {
	if plm.deps.Registrations().UnregisteredMembers(head.Membership).Number > 0 {
		plm.deps.ReportUnregistered()
	}
}
