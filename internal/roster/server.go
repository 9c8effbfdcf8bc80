package roster

import "time"

// GroupState is the state of a VM's place in a group.
type GroupState string

// States of a place in a group. Only the head of a group is ever Open, Closing or Broken.
const (
	Alone   GroupState = ""
	Joining GroupState = "Joining"
	Ready   GroupState = "Ready"
	Open    GroupState = "Open"
	Closing GroupState = "Closing"
	Broken  GroupState = "Broken"
)

// Place is a VM's place in a group; the zero value is that of a VM in no group.
type Place struct {
	Group string
	Epoch uint64
	Rank  int
	State GroupState
}

// Same reports whether two places belong to the same group with the same epoch.
func (plc Place) Same(oth Place) bool {
	return plc.Group == oth.Group && plc.Epoch == oth.Epoch
}

// Identity returns the part of a place that all members of a group share.
func (plc Place) Identity() Place {
	return Place{
		Group: plc.Group,
		Epoch: plc.Epoch,
	}
}

// Server is a registered backend server: a model engine or a VM of a plain service.
type Server struct {
	ID      string
	Service string
	Address string
	// Zone is the availability zone.
	Zone string
	// Domain is the fabric domain of an engine.
	Domain string
	Slots  int
	// Draining says that the backend server is about to leave.
	Draining bool
	// ColdUntil is when the backend server stops being cold, on this daemon's clock; zero if it is warm.
	ColdUntil time.Time
	// Born is the start of the process; a smaller or larger one under the same ID is another life.
	Born int64
	// Models are the models that the engine serves in its group, Staged those that its host holds.
	Models []string
	Staged []string
	Place  Place
	// Version is the version of the entry in the store.
	Version uint64
}

// Cold reports whether the backend server is cold.
func (srv *Server) Cold(now time.Time) bool {
	return now.Before(srv.ColdUntil)
}

// Life returns the process that the entry is of.
func (srv *Server) Life() Life {
	return Life{
		ID:   srv.ID,
		Born: srv.Born,
	}
}
