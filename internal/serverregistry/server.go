package serverregistry

import "time"

// MemberState is the state of a VM as a member of a group.
type MemberState string

// States of a member of a group. Only the head, the member of rank 0, is ever Open, Closing or Broken. NoGroup is the
// state of a VM in no group.
const (
	NoGroup MemberState = ""
	Joining MemberState = "Joining"
	Ready   MemberState = "Ready"
	Open    MemberState = "Open"
	Closing MemberState = "Closing"
	Broken  MemberState = "Broken"
)

// Membership is the membership of a VM in a group; the zero value is that of a VM in no group.
type Membership struct {
	Group string
	Epoch uint64
	Rank  int
	State MemberState
}

// SameGroup reports whether two memberships are of the same group with the same epoch.
func (mbs Membership) SameGroup(oth Membership) bool {
	return mbs.Group == oth.Group && mbs.Epoch == oth.Epoch
}

// GroupEpoch returns the part of a membership that is the same for all members of a group: the group and its epoch.
func (mbs Membership) GroupEpoch() Membership {
	return Membership{
		Group: mbs.Group,
		Epoch: mbs.Epoch,
	}
}

// Server is a registered backend server: a model engine or a VM of a plain service.
type Server struct {
	ID      string
	Service string
	Address string
	// Zone is the availability zone.
	Zone string
	// FabricDomain is the fabric domain of an engine.
	FabricDomain string
	Slots        int
	// Draining says that the backend server is about to stop. Placement sends it no new requests.
	Draining bool
	// ColdUntil is when the backend server stops being cold, on this daemon's clock, and zero if it is warm.
	ColdUntil time.Time
	// StartTime is the start time of the process. Another value under the same ID, smaller or larger, is another process.
	StartTime int64
	// Models are the models that the engine serves in its group, and StagedModels those whose weights its host holds.
	Models       []string
	StagedModels []string
	// Membership is the membership in a group.
	Membership Membership
	// Version is the store's version of the entry.
	Version uint64
}

// Cold reports whether the backend server is cold.
func (srv *Server) Cold(now time.Time) bool {
	return now.Before(srv.ColdUntil)
}

// Process returns the process that the entry describes.
func (srv *Server) Process() Process {
	return Process{
		ID:        srv.ID,
		StartTime: srv.StartTime,
	}
}
