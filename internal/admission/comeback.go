package admission

import "time"

const (
	// comeBackLeast and comeBackSpread make up the time to come back: about that in which a group opens or a
	// registry entry changes, spread so that callers do not return together.
	comeBackLeast  = 300 * time.Millisecond
	comeBackSpread = 600 * time.Millisecond
	// comeBackMost bounds what the work ahead adds, since groups may come back sooner.
	comeBackMost = 2 * time.Second
)

// ComeBack returns the time after which a refused request has a fair chance: once the work ahead of it is done, which takes
// busy beyond what is of use. draw is a random number from 0 to 1.
func ComeBack(busy time.Duration, draw float64) time.Duration {
	return comeBackLeast + min(max(0, busy), comeBackMost) + time.Duration(draw*float64(comeBackSpread))
}
