package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/route"
)

var (
	engine = &route.Engine{
		Slots:              26,
		BaseStepTime:       6 * time.Millisecond,
		StepTimePerRequest: 240 * time.Microsecond,
		PrefillRate:        46000,
		StepsPerEvent:      5,
		MeanPromptTokens:   1000,
		MeanOutputTokens:   100,
	}
	model = &route.Model{
		TimeFactor: 1,
	}
)

func load(requests, unread int) admission.Load {
	return admission.Load{
		Requests:     requests,
		UnreadTokens: unread,
	}
}

func TestForecastGrowsWithTheLoad(tst *testing.T) {
	last := time.Duration(0)
	for num := 0; num < 80; num += 4 {
		got := admission.Forecast(engine, model, load(num, 100*num), 1000)
		qt.Assert(tst, got > last, qt.IsTrue)
		last = got
	}
}

// Guards against a forecast that ignores the queue: once the batch is full, a further request waits until one ends.
func TestFullBatchMakesRequestsWait(tst *testing.T) {
	free := admission.Forecast(engine, model, load(25, 0), 1000)
	full := admission.Forecast(engine, model, load(26, 0), 1000)
	qt.Assert(tst, free < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", free))
	qt.Assert(tst, full-free >= admission.CompletionInterval(engine, model), qt.IsTrue)
}

// Guards against late responses and unused capacity during a lasting overload: requests arrive twice as fast as the
// group serves them. Those that are sent must begin within their objective, and as many must be sent as the group can
// begin on time.
func TestOverloadLeavesSlotsToRequestsOnTime(tst *testing.T) {
	const objective = 500 * time.Millisecond
	idleForecast := admission.Forecast(engine, model, load(0, 0), engine.MeanPromptTokens)
	busy := 0
	sent, late := 0, 0
	for num := range 400 {
		// One request ends for every two that arrive.
		if num%2 == 0 && busy > engine.Slots {
			busy--
		}
		forecast := admission.Forecast(engine, model, load(busy, 0), engine.MeanPromptTokens)
		if forecast > admission.MaxUsefulForecast(objective, 0, idleForecast) {
			continue
		}
		busy++
		sent++
		if forecast > objective {
			late++
		}
	}
	qt.Assert(tst, late, qt.Equals, 0)
	qt.Assert(tst, sent >= 200, qt.IsTrue, qt.Commentf("%d of 400 were sent", sent))
}

// Guards against retried requests taking slots from requests that can be on time during an overload. The objective of a
// retried request has passed, so that it may run only where the group is almost idle.
func TestLateRetryNeedsSpareCapacity(tst *testing.T) {
	const objective = 500 * time.Millisecond
	for _, prompt := range []int{100, engine.MeanPromptTokens, 12000} {
		idleForecast := admission.Forecast(engine, model, load(0, 0), prompt)
		qt.Assert(tst, admission.MaxUsefulForecast(objective, 3*time.Second, idleForecast) > idleForecast, qt.IsTrue)
	}
	idleForecast := admission.Forecast(engine, model, load(0, 0), engine.MeanPromptTokens)
	busy := admission.Forecast(engine, model, load(engine.Slots, 5000), engine.MeanPromptTokens)
	qt.Assert(tst, busy <= admission.MaxUsefulForecast(objective, 0, idleForecast), qt.IsTrue)
	qt.Assert(tst, busy <= admission.MaxUsefulForecast(objective, 600*time.Millisecond, idleForecast), qt.IsFalse)
}

// Guards against a measure of work that differs from what groups serve: a group whose batch stays full completes as much
// work in a second as it has VMs.
func TestWorkOfAFullGroupKeepsItsVMsBusy(tst *testing.T) {
	group := &route.Model{
		TimeFactor: 0.6,
		VMs:        4,
	}
	perSecond := float64(time.Second) / float64(admission.CompletionInterval(engine, group))
	work := perSecond * admission.Work(engine, group, engine.MeanPromptTokens, engine.MeanOutputTokens)
	qt.Assert(tst, work > 3.99 && work < 4.01, qt.IsTrue, qt.Commentf("%v", work))
}
