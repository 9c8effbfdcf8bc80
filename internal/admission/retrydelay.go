package admission

import "time"

const (
	// minRetryDelay and maxRetryJitter are the shortest time to a retry and the bound of its jitter: about the time
	// in which a group opens or a registration changes, with jitter so that callers do not retry together.
	minRetryDelay  = 300 * time.Millisecond
	maxRetryJitter = 600 * time.Millisecond
	// maxExcessDelay bounds the time that queued requests add, since groups may become available sooner.
	maxExcessDelay = 2 * time.Second
)

// RetryDelay returns the time after which a rejected request has a fair chance of being accepted. The parameter
// excessDelay is the time by which the first token would have come too late (the forecast minus the objective) or, if
// longer, the time until a paused backend server takes requests again; draw is a random number from 0 to 1 that sets
// the jitter.
func RetryDelay(excessDelay time.Duration, draw float64) time.Duration {
	return minRetryDelay + min(max(0, excessDelay), maxExcessDelay) + time.Duration(draw*float64(maxRetryJitter))
}
