package dispatch

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/cumintally/cumintally/internal/stream"
)

// counters holds the dispatcher's metrics.
type counters struct {
	foreign     metrics.Counter
	repeated    metrics.Counter
	early       metrics.Counter
	resumed     metrics.Counter
	continued   metrics.Counter
	cancelled   metrics.Counter
	retries     metrics.Counter
	overBudget  metrics.Counter
	crashes     metrics.Counter
	quarantined metrics.Counter
	inProgress  metrics.Gauge
}

func newCounters(met metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, met) }
	return counters{
		foreign:     counter("FramesForeign"),
		repeated:    counter("FramesRepeated"),
		early:       counter("FramesEarly"),
		resumed:     counter("StreamsResumed"),
		continued:   counter("StreamsContinued"),
		cancelled:   counter("StreamsCancelled"),
		retries:     counter("Retries"),
		overBudget:  counter("RetriesOverBudget"),
		crashes:     counter("RequestsAtCrash"),
		quarantined: counter("RequestsQuarantined"),
		inProgress:  metrics.GetOrRegisterGauge("RequestsInProgress", met),
	}
}

func (cnt counters) countDropped(drp stream.DropCounts) {
	cnt.foreign.Inc(int64(drp.Foreign))
	cnt.repeated.Inc(int64(drp.Repeated))
	cnt.early.Inc(int64(drp.Early))
}
