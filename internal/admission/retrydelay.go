package admission

import "time"

const (
	// minRetryDelay and maxRetryJitter are the shortest time to a retry and the bound of its jitter: about the time
	// in which a group opens or a registration changes, with jitter so that callers do not retry together.
	minRetryDelay  = 300 * time.Millisecond
	maxRetryJitter = 600 * time.Millisecond
	// maxBusyDelay bounds the time that queued requests add, since groups may become available sooner.
	maxBusyDelay = 2 * time.Second
)

// RetryDelay returns the time after which a rejected request has a fair chance of being accepted. The parameter busy is
// the time beyond the objective until the requests ahead are done, and draw is a random number from 0 to 1 that sets
// the jitter.
func RetryDelay(busy time.Duration, draw float64) time.Duration {
	return minRetryDelay + min(max(0, busy), maxBusyDelay) + time.Duration(draw*float64(maxRetryJitter))
}
