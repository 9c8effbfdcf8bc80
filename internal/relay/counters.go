package relay

import metrics "github.com/rcrowley/go-metrics"

// latencySamples is the number of latencies that a histogram keeps, favouring those of the last minutes.
const latencySamples = 512

// counters are the relay's metrics; latencies are in milliseconds.
type counters struct {
	reg        metrics.Registry
	inProgress metrics.Gauge
	requests   metrics.Counter
	repeats    metrics.Counter
	resumed    metrics.Counter
	stalled    metrics.Counter
	overBudget metrics.Counter
	callerGone metrics.Counter
	cutOff     metrics.Counter
	first      metrics.Histogram
	total      metrics.Histogram
}

func newCounters(reg metrics.Registry) counters {
	sample := func() metrics.Sample { return metrics.NewExpDecaySample(latencySamples, 0.015) }
	return counters{
		reg:        reg,
		inProgress: metrics.GetOrRegisterGauge("RelayInProgress", reg),
		requests:   metrics.GetOrRegisterCounter("RelayRequests", reg),
		repeats:    metrics.GetOrRegisterCounter("RelayRepeats", reg),
		resumed:    metrics.GetOrRegisterCounter("RelayResumedStreams", reg),
		stalled:    metrics.GetOrRegisterCounter("RelayStalledStreams", reg),
		overBudget: metrics.GetOrRegisterCounter("RelayRepeatsOverBudget", reg),
		callerGone: metrics.GetOrRegisterCounter("RelayCallersGone", reg),
		cutOff:     metrics.GetOrRegisterCounter("RelayAnswersCutOff", reg),
		first:      metrics.GetOrRegisterHistogram("RelayFirstByteMilliseconds", reg, sample()),
		total:      metrics.GetOrRegisterHistogram("RelayAnswerMilliseconds", reg, sample()),
	}
}

// refused counts refusals by status.
func (cnt *counters) refused(title string) {
	metrics.GetOrRegisterCounter("RelayRefused "+title, cnt.reg).Inc(1)
}
