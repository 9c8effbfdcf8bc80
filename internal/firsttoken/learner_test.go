package firsttoken_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/firsttoken"
	"github.com/cumintally/cumintally/internal/route"
)

var (
	start = time.Unix(1000, 0)
	key   = firsttoken.Key{
		Service: "engines",
		Model:   "m1",
	}
)

// Guards against forecasts that repeat an error: engines take 100 ms for every first token that the step model lacks, while
// the load of the group rises and falls. One response in ten is late by a pause, which must not raise the forecasts of the
// others.
func TestFixedTimeOfFirstTokensIsLearnt(tst *testing.T) {
	const fixedTime, pause = 100 * time.Millisecond, 900 * time.Millisecond
	eng := &route.Engine{
		Slots:            48,
		BaseStepTime:     6450 * time.Microsecond,
		PrefillRate:      56100,
		StepsPerEvent:    5,
		MeanPromptTokens: 1000,
		MeanOutputTokens: 150,
	}
	mod := &route.Model{
		TimeFactor: 1,
	}
	lrn := firsttoken.New()
	for num := range 600 {
		now := start.Add(time.Duration(num) * 50 * time.Millisecond)
		lod := admission.Load{
			Requests: num % 60,
		}
		load := float64(lod.Requests) / float64(eng.Slots)
		modelled := admission.Forecast(eng, mod, lod, 674)
		measured := modelled + fixedTime
		if num > 200 {
			miss := measured - modelled - lrn.Error(key, load, now).Mean
			qt.Assert(tst, miss.Abs() <= time.Millisecond, qt.IsTrue, qt.Commentf("request %d: %v", num, miss))
		}
		if num%10 == 0 {
			measured += pause
		}
		lrn.Record(firsttoken.Observation{
			Key:      key,
			Load:     load,
			Modelled: modelled,
			Measured: measured,
		}, now)
	}
}

// Guards against forecasts that are lowered at groups with a queue, where a model that is too high keeps admission steady.
func TestForecastsAreOnlyRaised(tst *testing.T) {
	lrn := firsttoken.New()
	for range 16 {
		lrn.Record(firsttoken.Observation{
			Key:      key,
			Load:     1.5,
			Modelled: 900 * time.Millisecond,
			Measured: 600 * time.Millisecond,
		}, start)
	}
	qt.Assert(tst, lrn.Error(key, 1.5, start), qt.Equals, firsttoken.Error{})
}

// Guards against a correction by a few requests, by requests of long ago, or by failures of any length.
func TestErrorNeedsRecentRequestsAndIsBounded(tst *testing.T) {
	lrn := firsttoken.New()
	record := func(num int, measured time.Duration, now time.Time) {
		for range num {
			lrn.Record(firsttoken.Observation{
				Key:      key,
				Load:     0.2,
				Modelled: 50 * time.Millisecond,
				Measured: measured,
			}, now)
		}
	}
	record(7, 150*time.Millisecond, start)
	qt.Assert(tst, lrn.Error(key, 0, start), qt.Equals, firsttoken.Error{})
	record(1, 150*time.Millisecond, start)
	want := firsttoken.Error{
		Mean: 100 * time.Millisecond,
	}
	// A load band without requests has the error of the nearest one.
	qt.Assert(tst, lrn.Error(key, 1.5, start), qt.Equals, want)
	qt.Assert(tst, lrn.Error(key, 1.5, start.Add(2*time.Minute)), qt.Equals, firsttoken.Error{})
	record(64, 3*time.Second, start)
	qt.Assert(tst, lrn.Error(key, 0, start).Mean, qt.Equals, firsttoken.MaxError)
}
