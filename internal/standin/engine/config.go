package engine

import "time"

// CrashMarker is a text that makes the engine end its process if a prompt contains it.
const CrashMarker = "[crash]"

// Config holds the settings of an engine stand-in that do not change while it runs.
type Config struct {
	VM string
	// Platform is the IP:port of the platform stand-in, where rank 0 looks up the other members of its group
	// to detect their loss. If it is empty, rank 0 detects no loss.
	Platform string
	// MemberCheckInterval is how often rank 0 checks each other member.
	MemberCheckInterval time.Duration
	// BaseStepTime is the duration of a decoding step with one request in the batch.
	BaseStepTime time.Duration
	// StepTimePerRequest is added to the duration of a step for each further request in the batch.
	StepTimePerRequest time.Duration
	// MaxBatch is the largest number of requests in the batch; others are queued by priority.
	MaxBatch int
	// PrefillTime is the time to the first token of a prompt that is not cached.
	PrefillTime time.Duration
	// SerialPrefill makes the engine read one prompt after another; otherwise it reads those of a batch side by side.
	SerialPrefill bool
	// LoadTime is how long the engine loads a model after an order.
	LoadTime time.Duration
	// WarmAfter is the number of finished requests after which a cold engine is warm.
	WarmAfter int
	// ColdLimit is the largest number of requests in progress that a cold engine accepts. One more request crashes it
	// or, within ColdGracePeriod, is rejected. Requests that were accepted before TurnCold do not count.
	ColdLimit int
	// ColdGracePeriod is the time after TurnCold in which requests above ColdLimit are rejected and do not crash
	// the engine, since the daemons cannot know at once that it is cold.
	ColdGracePeriod time.Duration
	// CacheBlocks is the number of prefix blocks that the cache holds.
	CacheBlocks int
	// CacheLag is the delay after which a cache event is published.
	CacheLag time.Duration
	// CacheGap is n if every n-th cache event is lost and its sequence number skipped, and 0 if none is lost.
	CacheGap int
	// ReportLag is the age of the load figures in a report.
	ReportLag time.Duration
	// IgnoreFencing makes the engine accept orders with old fencing tokens.
	IgnoreFencing bool
	// Retention is how long a finished or aborted stream can be resumed.
	Retention time.Duration
	// StampTokens adds the send time to each token, to measure the delay between the engine and the caller.
	StampTokens bool
}

// withDefaults sets the limits and intervals that are 0 to their defaults.
func (cfg Config) withDefaults() Config {
	if cfg.MaxBatch == 0 {
		cfg.MaxBatch = 64
	}
	if cfg.CacheBlocks == 0 {
		cfg.CacheBlocks = 4096
	}
	if cfg.MemberCheckInterval == 0 {
		cfg.MemberCheckInterval = 100 * time.Millisecond
	}
	return cfg
}

// Faults are the faults that can be injected into an engine stand-in.
type Faults struct {
	// Stretch multiplies the durations of decoding and prefill if it is above 1.
	Stretch int
	// Leaving makes the engine report that it is leaving.
	Leaving bool
	// BreakAfter is the number of frames after which each connection is broken; 0 breaks none.
	BreakAfter int
	// ReportDelay is added to the response time of each report.
	ReportDelay time.Duration
	// TurnCold makes the engine cold once, when the faults are set.
	TurnCold bool
	// IgnoreFencing makes the engine accept orders with old fencing tokens.
	IgnoreFencing bool
	// OrderDelay is the delay after which an order takes effect.
	OrderDelay time.Duration
	// CacheLag and CacheGap replace the configured values if they are above 0.
	CacheLag time.Duration
	CacheGap int
	// ReportLag replaces the configured age of the load figures if it is above 0.
	ReportLag time.Duration
	// Refuse rejects each new stream with status 503.
	Refuse bool
}

// Counts are totals since the engine started.
type Counts struct {
	// Started, Finished and Aborted are numbers of streams. Aborted streams were cancelled or ended by an order or by
	// the loss of a member. Refused is the number of rejected requests for a new stream.
	Started  int
	Finished int
	Aborted  int
	Refused  int
	// PromptBlocks is the number of whole blocks of all prompts, CachedBlocks of those that were cached.
	PromptBlocks int
	CachedBlocks int
	// Tokens is the number of tokens generated.
	Tokens int
	// ColdMost is the largest number of cold-start requests in progress, including queued ones, since the engine last
	// turned cold.
	ColdMost int
	// Orders is the number of accepted orders, StaleOrders that of orders with an old fencing token, whether
	// rejected or accepted.
	Orders      int
	StaleOrders int
	// MembersLost is how often rank 0 stopped serving because a member was missing.
	MembersLost int
}
