package admission

import "time"

const (
	// timely is the part of an objective that a forecast may take. The rest goes to what the forecast leaves out: the way to
	// the engine and back, and the step that is under way when the request comes.
	timely = 0.85
	// leastUseful keeps a request that comes back late from being turned away by idle backend servers.
	leastUseful = 250 * time.Millisecond
)

// Useful returns the forecast up to which a request with an objective is worth sending when it has waited so long. Beyond it
// the request would come late and make those behind it late as well, where one that is turned away leaves its place to
// one that can be on time. 0 stands for any forecast.
func Useful(objective, waited time.Duration) time.Duration {
	if objective <= 0 {
		return 0
	}
	return max(leastUseful, time.Duration(float64(objective)*timely)-waited)
}
