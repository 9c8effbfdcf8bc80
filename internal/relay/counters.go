package relay

import metrics "github.com/rcrowley/go-metrics"

// latencySamples is the number of latencies that a histogram keeps, weighted towards the last minutes.
const latencySamples = 512

// counters holds the relay's metrics; latencies are in milliseconds.
type counters struct {
	registry          metrics.Registry
	inProgress        metrics.Gauge
	requests          metrics.Counter
	retries           metrics.Counter
	resumedStreams    metrics.Counter
	stalledStreams    metrics.Counter
	stalledWaiting    metrics.Counter
	retriesOverBudget metrics.Counter
	rejectedForUrgent metrics.Counter
	exempt            metrics.Counter
	callerDisconnects metrics.Counter
	abortedResponses  metrics.Counter
	firstByteLatency  metrics.Histogram
	totalLatency      metrics.Histogram
}

func newCounters(reg metrics.Registry) counters {
	sample := func() metrics.Sample { return metrics.NewExpDecaySample(latencySamples, 0.015) }
	return counters{
		registry:          reg,
		inProgress:        metrics.GetOrRegisterGauge("RelayInProgress", reg),
		requests:          metrics.GetOrRegisterCounter("RelayRequests", reg),
		retries:           metrics.GetOrRegisterCounter("RelayRepeats", reg),
		resumedStreams:    metrics.GetOrRegisterCounter("RelayResumedStreams", reg),
		stalledStreams:    metrics.GetOrRegisterCounter("RelayStalledStreams", reg),
		stalledWaiting:    metrics.GetOrRegisterCounter("RelayStalledWaiting", reg),
		retriesOverBudget: metrics.GetOrRegisterCounter("RelayRepeatsOverBudget", reg),
		rejectedForUrgent: metrics.GetOrRegisterCounter("RelayRejectedForMoreUrgent", reg),
		exempt:            metrics.GetOrRegisterCounter("RelayExemptFromReservation", reg),
		callerDisconnects: metrics.GetOrRegisterCounter("RelayCallersGone", reg),
		abortedResponses:  metrics.GetOrRegisterCounter("RelayAnswersCutOff", reg),
		firstByteLatency:  metrics.GetOrRegisterHistogram("RelayFirstByteMilliseconds", reg, sample()),
		totalLatency:      metrics.GetOrRegisterHistogram("RelayAnswerMilliseconds", reg, sample()),
	}
}

// countRefusal counts refusals by title.
func (cnt *counters) countRefusal(title string) {
	metrics.GetOrRegisterCounter("RelayRefused "+title, cnt.registry).Inc(1)
}
