package permit

import "time"

// Request asks the owner of several groups for slots at all of them in one call.
type Request struct {
	_ struct{} `cbor:",toarray"`

	// Instance identifies the holder's process. It changes with each start, because a restarted daemon
	// does not know which requests of the previous process still run at the engines.
	Instance uint64
	// IncludeCompleteView asks the receiver for the daemons of its last complete view.
	IncludeCompleteView bool
	SlotRequests        []SlotRequest
}

// SlotRequest reports a holder's state at one group and asks for slots there.
type SlotRequest struct {
	_ struct{} `cbor:",toarray"`

	Group   string
	Fencing uint64
	// Sequence increases with each request of a holder's process for the group. The owner rejects a request
	// that arrives after a later one, for example when a partition ends: it would release slots that are in
	// use again.
	Sequence uint64
	// Incarnation, Cold and ReportAge are from the latest report of the group's rank 0 that the holder has.
	Incarnation uint64
	Cold        bool
	ReportAge   time.Duration
	// Running is the number of requests that were sent and whose streams have not ended.
	Running int
	// HeldSlots is the number of slots that the holder may use until it receives the response; at least Running.
	HeldSlots int
	// Finished is the number of requests that ended since the last call.
	Finished int
	// FirstTokens is the number of first tokens since the last call, LateFirstTokens that of those which
	// exceeded the objective.
	FirstTokens     int
	LateFirstTokens int
	Demand          []Demand
}

// Demand summarizes the waiting requests of one workspace and priority in a holder's queue.
type Demand struct {
	_ struct{} `cbor:",toarray"`

	Workspace string
	Share     int
	Priority  int
	Count     int
	// MaxWait is the time for which the most urgent of the requests can still wait.
	MaxWait time.Duration
}

// Response holds one grant for each slot request that the owner accepts, and its last complete view if the request
// asks for it.
type Response struct {
	_ struct{} `cbor:",toarray"`

	Grants           []Grant
	LastCompleteView []string
}

// Grant gives a holder slots at one group. ValidFor counts from the time just before the call was sent.
type Grant struct {
	_ struct{} `cbor:",toarray"`

	Group       string
	Incarnation uint64
	Cold        bool
	Slots       int
	ValidFor    time.Duration
	// Limit, Running and Queued are the owner's totals over all daemons. Holders use them to choose a replica.
	Limit   int
	Running int
	Queued  int
}

// GroupReport is a report of a group's rank 0, as received by the group's owner.
type GroupReport struct {
	Group       string
	Fencing     uint64
	Incarnation uint64
	Cold        bool
	ColdLimit   int
	WarmLimit   int
	// Running is the engine's own count of requests. It may be older than AsOf by up to Config.ReportLag.
	Running int
	AsOf    time.Time
	// Loading is set while the engine accepts no requests yet, so that none can be in flight at it.
	Loading bool
}
