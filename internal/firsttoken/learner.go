package firsttoken

import (
	"slices"
	"sync"
	"time"
)

const (
	// windowSize is the number of latest requests of a load band whose differences are averaged. A daemon that sends five
	// requests a second for a model replaces them in about six seconds, in which the load of a site changes.
	windowSize = 32
	// minObservations is the number of requests from which on a band has an error of its own. A quarter of them may be
	// outliers without effect on the average.
	minObservations = 8
	// maxAge is the age from which on a request no longer counts. A daemon that sends a request every two seconds still
	// has minObservations in that time, spread over the bands.
	maxAge = time.Minute
	// MaxError bounds the average. It is the time after which placement takes a silent group for stalled: what makes
	// first tokens later than that is a failure and no property of the engine.
	MaxError = 400 * time.Millisecond
)

// bandLimits are the upper limits of the load bands, as the share of the slots that are taken. Beyond 1, requests wait for
// a slot, for which the step model tends to tell too long a time; the last band has no limit.
var bandLimits = []float64{0.5, 1, 1.25}

// Key identifies the requests that are averaged together.
type Key struct {
	Service string
	Model   string
}

// Error is the difference between measured and modelled times to the first token.
type Error struct {
	// Mean is the average without outliers, to be added to a modelled time.
	Mean time.Duration
}

// Observation is one request whose response began without a failure.
type Observation struct {
	Key Key
	// Load is the share of the slots of the group that were taken when the request was sent.
	Load float64
	// Modelled is the forecast without correction, and Correction what was added to it for the decision about the request.
	Modelled   time.Duration
	Correction Error
	// Measured is the time from the choice of the group to the first part of the response.
	Measured time.Duration
}

// Learner holds the differences that this daemon observed.
type Learner struct {
	mu    sync.Mutex
	bands map[Key][]band
}

// band holds the latest differences of one load band, oldest first, and the error that follows from them.
type band struct {
	latest []difference
	err    Error
}

type difference struct {
	value time.Duration
	at    time.Time
}

// New returns a learner without observations.
func New() *Learner {
	return &Learner{
		bands: map[Key][]band{},
	}
}

// Record adds a request that was sent first to the group that answered it. It reports whether its load band is corrected
// from this request on.
func (lrn *Learner) Record(obs Observation, now time.Time) bool {
	lrn.mu.Lock()
	defer lrn.mu.Unlock()
	bnds, ok := lrn.bands[obs.Key]
	if !ok {
		bnds = make([]band, len(bandLimits)+1)
		lrn.bands[obs.Key] = bnds
	}
	bnd := &bnds[bandOf(obs.Load)]
	wasKnown := bnd.isKnown(now)
	bnd.add(obs.Measured-obs.Modelled, now)
	return !wasKnown && bnd.isKnown(now)
}

// Error returns the error of forecasts for groups under the given load. A band without enough requests has that of the
// nearest one with less load, else with more: the fixed part of the error is the same in all of them.
func (lrn *Learner) Error(key Key, load float64, now time.Time) Error {
	lrn.mu.Lock()
	defer lrn.mu.Unlock()
	bnds := lrn.bands[key]
	if len(bnds) == 0 {
		return Error{}
	}
	own := bandOf(load)
	for idx := own; idx >= 0; idx-- {
		if bnds[idx].isKnown(now) {
			return bnds[idx].err
		}
	}
	for idx := own + 1; idx < len(bnds); idx++ {
		if bnds[idx].isKnown(now) {
			return bnds[idx].err
		}
	}
	return Error{}
}

func bandOf(load float64) int {
	for idx, limit := range bandLimits {
		if load < limit {
			return idx
		}
	}
	return len(bandLimits)
}

// isKnown reports whether enough of the differences are recent. The requests of a band end when it fills no more.
func (bnd *band) isKnown(now time.Time) bool {
	return len(bnd.latest) >= minObservations && now.Sub(bnd.latest[len(bnd.latest)-minObservations].at) <= maxAge
}

// add appends a difference, drops those that no longer count and averages the rest.
func (bnd *band) add(value time.Duration, now time.Time) {
	bnd.latest = append(bnd.latest, difference{
		value: value,
		at:    now,
	})
	bnd.latest = slices.DeleteFunc(bnd.latest, func(dif difference) bool { return now.Sub(dif.at) > maxAge })
	if excess := len(bnd.latest) - windowSize; excess > 0 {
		bnd.latest = slices.Delete(bnd.latest, 0, excess)
	}
	values := make([]time.Duration, 0, len(bnd.latest))
	for _, dif := range bnd.latest {
		values = append(values, dif.value)
	}
	slices.Sort(values)
	bnd.err = errorOf(values)
}

// errorOf returns the mean of the middle half of sorted differences (the interquartile mean), on which single outliers
// have no effect. It is never negative: forecasts are too high at groups with a long queue, but lower ones would raise the
// urgency of more requests there until the observed times rise, and so on.
func errorOf(sorted []time.Duration) Error {
	quarter := len(sorted) / 4
	middle := sorted[quarter : len(sorted)-quarter]
	sum := time.Duration(0)
	for _, value := range middle {
		sum += value
	}
	return Error{
		Mean: min(max(0, sum/time.Duration(len(middle))), MaxError),
	}
}
