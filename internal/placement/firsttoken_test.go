package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

// Guards against forecasts that repeat the error of earlier ones. First sends of which the response came 100 ms later than
// modelled must raise the forecast and that of an idle group by as much; further sends of a request, which may have met a
// failure, must not.
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
	qt.Assert(tst, idle, qt.Equals, modelled+100*time.Millisecond)
	qt.Assert(tst, pck.Forecast > idle, qt.IsTrue)
}

// Guards against rejected requests that would often be on time: the times of first tokens vary, and a limit on the mean
// forecast alone would reject requests of which nearly half come in time.
func TestRequestsWithAFairChanceAreSent(tst *testing.T) {
	fix := newFixture()
	fix.group("one", "a", serverregistry.Ready)
	request := placement.Request{
		Service:           fix.svc,
		Model:             "recipes",
		PromptTokens:      1000,
		FirstSend:         true,
		MaxUsefulForecast: func(time.Duration) time.Duration { return time.Minute },
	}
	for num := range 32 {
		pck, err := fix.plm.Choose(request, fix.clk.Now())
		qt.Assert(tst, err, qt.IsNil)
		fix.clk.Advance(pck.Forecast - pck.Correction.Mean + 50*time.Millisecond + time.Duration(num%8)*20*time.Millisecond)
		pck.ResponseBegan()
		pck.Release()
	}
	pck, err := fix.plm.Choose(request, fix.clk.Now())
	qt.Assert(tst, err, qt.IsNil)
	pck.Release()
	request.MaxUsefulForecast = func(time.Duration) time.Duration { return pck.Forecast - 75*time.Millisecond }
	_, err = fix.plm.Choose(request, fix.clk.Now())
	qt.Assert(tst, errors.Is(err, placement.ErrBusy), qt.IsTrue, qt.Commentf("%v", err))
	request.MaxUsefulForecast = func(time.Duration) time.Duration { return pck.Forecast - 15*time.Millisecond }
	_, err = fix.plm.Choose(request, fix.clk.Now())
	qt.Assert(tst, err, qt.IsNil)
}
