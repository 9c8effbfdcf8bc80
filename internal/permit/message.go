package permit

import "time"

// Request asks the owner of some groups for slots, in one call for all of them.
type Request struct {
	// Instance differs whenever the holder's process starts, since a restarted daemon does not know
	// which of its predecessor's requests still run at the engines.
	Instance uint64
	// WantRoll asks for the daemon's roll.
	WantRoll bool  `cbor:",omitempty"`
	Asks     []Ask `cbor:",omitempty"`
}

// Ask is a holder's state at one group.
type Ask struct {
	Group   string
	Fencing uint64
	// Incarnation, Cold and Age are the youngest report of the group's rank 0 that the holder has.
	Incarnation uint64
	Cold        bool `cbor:",omitempty"`
	Age         time.Duration
	// Running is the number of requests sent whose streams have not ended.
	Running int `cbor:",omitempty"`
	// Hold is the number of slots that the holder uses until it has the answer; at least Running.
	Hold int `cbor:",omitempty"`
	// Finished is the number of requests that ended since the last call.
	Finished int `cbor:",omitempty"`
	// FirstTokens and Late count first tokens since the last call, and those later than the objective.
	FirstTokens int      `cbor:",omitempty"`
	Late        int      `cbor:",omitempty"`
	Demand      []Demand `cbor:",omitempty"`
}

// Demand is the part of a holder's queue that belongs to one workspace and priority.
type Demand struct {
	Workspace string
	Share     int
	Priority  int
	Count     int
	// Within is the time that the most urgent of the requests can still wait.
	Within time.Duration
}

// Answer has one grant for each ask that the daemon owns the group of.
type Answer struct {
	Grants []Grant  `cbor:",omitempty"`
	Roll   []string `cbor:",omitempty"`
}

// Grant gives a holder slots at one group. ValidFor counts from before the call was sent.
type Grant struct {
	Group       string
	Incarnation uint64
	Cold        bool `cbor:",omitempty"`
	Slots       int  `cbor:",omitempty"`
	ValidFor    time.Duration
	// Limit, Running and Queued are the owner's view over all daemons, for the choice of a replica.
	Limit   int
	Running int `cbor:",omitempty"`
	Queued  int `cbor:",omitempty"`
}

// Observation is a report of a group's rank 0 as the owner knows it.
type Observation struct {
	Group       string
	Fencing     uint64
	Incarnation uint64
	Cold        bool
	ColdLimit   int
	WarmLimit   int
	// Running is the engine's own count, which may be as old as Config.ReportLag before AsOf.
	Running int
	AsOf    time.Time
	// Loading says that the engine takes no requests yet, so that none can be in progress there.
	Loading bool
}
