package backend

import "time"

// State is the lifecycle state of a model engine.
type State string

// States of a model engine. A cold engine serves at most ColdLimit concurrent requests.
const (
	StateIdle    State = "Idle"
	StateLoading State = "Loading"
	StateCold    State = "Cold"
	StateReady   State = "Ready"
	StateLeaving State = "Leaving"
)

// Report is the state of a model engine as reported by the engine. The load figures lag behind.
type Report struct {
	VM string
	// Incarnation changes with each start of the engine process.
	Incarnation uint64
	Group       string
	Fencing     uint64
	Members     []string
	Rank        int
	Model       string
	Version     string
	Adapters    []string
	State       State
	Running     int
	Queued      int
	// ColdLimit is the number of concurrent requests that the engine can serve while it is cold.
	ColdLimit int
	// StepTime is the recent duration of one decoding step. A straggler reports a longer one than its peers.
	StepTime time.Duration
}

// Order assigns an engine to a group, or to none if Group is empty.
type Order struct {
	Fencing  uint64
	Group    string
	Members  []string
	Rank     int
	Model    string
	Version  string
	Adapters []string
	Role     string
	// NotAfter is the time after which the order is no longer valid.
	NotAfter time.Time
}

// StreamRequest requests a generated text from the rank 0 engine of a group.
type StreamRequest struct {
	RequestID string
	Attempt   int
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	// Priority is higher for more urgent requests.
	Priority int
	// Continue is the text that the caller has already received; the engine generates what follows it.
	Continue string
}

// Frame is one piece of a generated text. Sequence starts at 0 in each attempt.
type Frame struct {
	RequestID string
	Attempt   int
	Sequence  int
	Text      string
	// Finish is the reason for which the text ended, stop or length. It is empty in all frames but the last.
	Finish string
}

// CacheEvent records that an engine cached or evicted the prompt prefix whose hash is Prefix.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64
	Evicted  bool
}
