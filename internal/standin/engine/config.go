package engine

import "time"

// CrashMarker in a prompt makes the engine end its process.
const CrashMarker = "[crash]"

// Config is the fixed behaviour of an engine stand-in.
type Config struct {
	VM string
	// Platform is IP:port of the platform stand-in, at which rank 0 finds the other members of its group
	// to notice their loss; without it rank 0 never notices.
	Platform string
	// MemberCheckInterval is how often rank 0 checks each other member.
	MemberCheckInterval time.Duration
	// BaseStepTime is the time of one decoding step with one request in the batch.
	BaseStepTime time.Duration
	// StepTimePerRequest is added to the time of a step for each further request in the batch.
	StepTimePerRequest time.Duration
	// MaxBatch is the number of requests that are decoded at once; others queue by priority.
	MaxBatch int
	// PrefillTime is the time to the first token of a prompt that is not cached.
	PrefillTime time.Duration
	LoadTime    time.Duration
	// WarmAfter is the number of finished requests after which a cold engine is warm.
	WarmAfter int
	ColdLimit int
	// ColdGracePeriod is the time after TurnCold in which requests above ColdLimit are refused and do not yet
	// make the engine fall over, since nobody can know at once that it is cold.
	ColdGracePeriod time.Duration
	// CacheBlocks is the number of prefix blocks that the cache holds.
	CacheBlocks int
	// CacheLag is the time after which a cache event is published.
	CacheLag time.Duration
	// CacheGap loses every so many-th cache event; its sequence number is skipped. 0 loses none.
	CacheGap int
	// ReportLag is the age of the load figures in a report.
	ReportLag time.Duration
	// IgnoreFencing lets the engine take orders with old fencing numbers.
	IgnoreFencing bool
	// Retention is how long a finished or abandoned stream can be resumed.
	Retention time.Duration
	// StampTokens adds the send time to each token, to measure the delay on the way to the caller.
	StampTokens bool
}

// withDefaults fills the bounds that a test may leave out.
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

// Faults are the faults that an engine stand-in can show.
type Faults struct {
	// Stretch multiplies the times of decoding and prefill when above 1.
	Stretch int
	// Leaving makes the engine report that it is leaving.
	Leaving bool
	// BreakAfter breaks each connection after so many frames.
	BreakAfter int
	// ReportDelay is added to the time of each report.
	ReportDelay time.Duration
	// TurnCold makes the engine cold once, when the faults are set.
	TurnCold bool
	// IgnoreFencing lets the engine take orders with old fencing numbers.
	IgnoreFencing bool
	// OrderDelay lets orders take effect late.
	OrderDelay time.Duration
	// CacheLag and CacheGap apply in place of the configured ones when above 0.
	CacheLag time.Duration
	CacheGap int
	// ReportLag is the age of the load figures in place of the configured one when above 0.
	ReportLag time.Duration
	// Refuse answers each new stream with 503.
	Refuse bool
}

// Counts are totals since the engine started.
type Counts struct {
	// Started and Finished are numbers of streams; Aborted ones were cancelled or lost with the group.
	Started  int
	Finished int
	Aborted  int
	Refused  int
	// PromptBlocks is the number of whole blocks of all prompts, CachedBlocks of those that were cached.
	PromptBlocks int
	CachedBlocks int
	// Tokens is the number of tokens generated.
	Tokens int
	// ColdMost is the most requests at once, queued ones included, since the engine was last cold.
	ColdMost int
	// Orders is the number of orders taken; StaleOrders is the number of orders with an old fencing
	// number, whether refused or taken.
	Orders      int
	StaleOrders int
	// MembersLost is how often rank 0 stopped serving because a member was gone.
	MembersLost int
}
