package permit

import "time"

// Request asks the owner of some groups for slots, in one call for all of them.
type Request struct {
	_ struct{} `cbor:",toarray"`

	// Instance differs whenever the holder's process starts, since a restarted daemon does not know
	// which of its predecessor's requests still run at the engines.
	Instance uint64
	// WantRoll asks for the daemon's roll.
	WantRoll bool
	Asks     []Ask
}

// Ask is a holder's state at one group.
type Ask struct {
	_ struct{} `cbor:",toarray"`

	Group   string
	Fencing uint64
	// Sequence grows with each ask of a holder's process at the group. An ask that arrives after a later
	// one, as when a cut ends, would give back slots that are in use again.
	Sequence uint64
	// Incarnation, Cold and Age are the youngest report of the group's rank 0 that the holder has.
	Incarnation uint64
	Cold        bool
	Age         time.Duration
	// Running is the number of requests sent whose streams have not ended.
	Running int
	// Hold is the number of slots that the holder uses until it has the answer; at least Running.
	Hold int
	// Finished is the number of requests that ended since the last call.
	Finished int
	// FirstTokens and Late count first tokens since the last call, and those later than the objective.
	FirstTokens int
	Late        int
	Demand      []Demand
}

// Demand is the part of a holder's queue that belongs to one workspace and priority.
type Demand struct {
	_ struct{} `cbor:",toarray"`

	Workspace string
	Share     int
	Priority  int
	Count     int
	// Within is the time that the most urgent of the requests can still wait.
	Within time.Duration
}

// Answer has one grant for each ask that the daemon owns the group of.
type Answer struct {
	_ struct{} `cbor:",toarray"`

	Grants []Grant
	Roll   []string
}

// Grant gives a holder slots at one group. ValidFor counts from before the call was sent.
type Grant struct {
	_ struct{} `cbor:",toarray"`

	Group       string
	Incarnation uint64
	Cold        bool
	Slots       int
	ValidFor    time.Duration
	// Limit, Running and Queued are the owner's view over all daemons, for the choice of a replica.
	Limit   int
	Running int
	Queued  int
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
