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

// Guards against responses that begin late although their forecast was on time: engines take 100 ms for every first token
// that the step model lacks, and requests arrive faster than the group serves them. One response in ten is late by a
// pause, which must not raise the forecasts of the others.
func TestFixedTimeOfFirstTokensIsLearnt(tst *testing.T) {
	const objective, fixedTime, pause = 250 * time.Millisecond, 100 * time.Millisecond, 900 * time.Millisecond
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
	busy, sent, late := 40, 0, 0
	for num := range 600 {
		now := start.Add(time.Duration(num) * 50 * time.Millisecond)
		if num%2 == 0 && busy > 40 {
			busy--
		}
		lod := admission.Load{
			Requests: busy,
		}
		load := float64(busy) / float64(eng.Slots)
		modelled := admission.Forecast(eng, mod, lod, 674)
		idle := admission.Forecast(eng, mod, admission.Load{}, 674) + lrn.Error(key, 0, now).Least
		got := lrn.Error(key, load, now)
		if modelled+got.Least > admission.MaxUsefulForecast(objective, 0, idle) {
			continue
		}
		busy++
		sent++
		measured := modelled + fixedTime
		if num > 100 && measured > objective {
			late++
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
	qt.Assert(tst, late, qt.Equals, 0, qt.Commentf("of %d", sent))
	qt.Assert(tst, sent >= 250, qt.IsTrue, qt.Commentf("%d of 600 were sent", sent))
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
		Mean:  100 * time.Millisecond,
		Least: 100 * time.Millisecond,
	}
	// A load band without requests has the error of the nearest one.
	qt.Assert(tst, lrn.Error(key, 1.5, start), qt.Equals, want)
	qt.Assert(tst, lrn.Error(key, 1.5, start.Add(2*time.Minute)), qt.Equals, firsttoken.Error{})
	record(64, 3*time.Second, start)
	qt.Assert(tst, lrn.Error(key, 0, start).Mean, qt.Equals, firsttoken.MaxError)
}
