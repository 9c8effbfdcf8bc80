package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

// Guards against forecasts that repeat the error of earlier ones. First sends of which the response came 100 ms later than
// modelled must raise the forecast by as much, though not that of an idle group by which requests are rejected; further sends
// of a request, which may have met a failure, must not.
func TestForecastIncludesTheErrorOfEarlierOnes(tst *testing.T) {
	fix := newFixture()
	fix.group("one", "a", serverregistry.Ready)
	idle := time.Duration(0)
	choose := func(firstSend bool) placement.Pick {
		pck, err := fix.plm.Choose(placement.Request{
			Service:        fix.svc,
			Model:          "recipes",
			PromptTokens:   1000,
			ExpectedTokens: 100,
			FirstSend:      firstSend,
			MaxUsefulForecast: func(idleForecast time.Duration) time.Duration {
				idle = idleForecast
				return time.Minute
			},
		}, fix.clk.Now())
		qt.Assert(tst, err, qt.IsNil)
		return pck
	}
	modelled := choose(true).Forecast
	qt.Assert(tst, modelled, qt.Equals, idle)
	for num := range 24 {
		pck := choose(num >= 12)
		delay := pck.Forecast - pck.Correction.Mean + 100*time.Millisecond
		if num < 12 {
			delay += 200 * time.Millisecond
		}
		fix.clk.Advance(delay)
		pck.ResponseBegan()
		fix.clk.Advance(time.Second)
		pck.ResponseBegan()
		pck.Release()
	}
	pck := choose(true)
	qt.Assert(tst, pck.Correction.Mean, qt.Equals, 100*time.Millisecond)
	qt.Assert(tst, idle, qt.Equals, modelled)
	qt.Assert(tst, pck.Forecast >= idle+100*time.Millisecond, qt.IsTrue)
}

// Guards against rejected requests that would be late by the learned correction only: they are worth something late, whereas
// a rejected request is late whenever it returns. The limit applies to the modelled time.
func TestCorrectionRejectsNoRequest(tst *testing.T) {
	fix := newFixture()
	fix.group("one", "a", serverregistry.Ready)
	limit := time.Minute
	request := placement.Request{
		Service:           fix.svc,
		Model:             "recipes",
		PromptTokens:      1000,
		FirstSend:         true,
		MaxUsefulForecast: func(time.Duration) time.Duration { return limit },
	}
	for range 32 {
		pck, err := fix.plm.Choose(request, fix.clk.Now())
		qt.Assert(tst, err, qt.IsNil)
		fix.clk.Advance(pck.Forecast - pck.Correction.Mean + 100*time.Millisecond)
		pck.ResponseBegan()
		pck.Release()
	}
	pck, err := fix.plm.Choose(request, fix.clk.Now())
	qt.Assert(tst, err, qt.IsNil)
	pck.Release()
	qt.Assert(tst, pck.Correction.Mean, qt.Equals, 100*time.Millisecond)
	for _, cas := range []struct {
		beyondModel time.Duration
		sent        bool
	}{
		{time.Millisecond, true},
		{-time.Millisecond, false},
	} {
		limit = pck.Forecast - pck.Correction.Mean + cas.beyondModel
		_, err := fix.plm.Choose(request, fix.clk.Now())
		qt.Assert(tst, err == nil, qt.Equals, cas.sent, qt.Commentf("%v", err))
	}
}
