package admission

import "time"

const (
	// onTimeShare is the share of an objective that a forecast may take. The rest is for what the forecast leaves out:
	// the step in progress when the request arrives, and requests that other daemons have just sent.
	onTimeShare = 0.85
	// lateSlackShare is the share of an objective by which the forecast may exceed that of an idle engine for a request
	// that will miss its objective anyway. Such a request runs only where it takes no slot from a request that can be
	// on time.
	lateSlackShare = 0.2
)

// MaxUsefulForecast returns the longest forecast of the first token at which a request is worth sending, given its
// objective and the time that it has already waited. The parameter idleForecast is the forecast of an idle engine: a
// request that is late in any case is still worth sending slightly beyond it. Beyond the returned forecast the request
// would be late and would delay the requests behind it; rejecting it leaves its slot to a request that can be on time.
func MaxUsefulForecast(objective, waited, idleForecast time.Duration) time.Duration {
	onTime := time.Duration(float64(objective)*onTimeShare) - waited
	return max(onTime, idleForecast+time.Duration(float64(objective)*lateSlackShare))
}
