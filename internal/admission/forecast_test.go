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
		Slots:          26,
		Step:           6 * time.Millisecond,
		StepPerRequest: 240 * time.Microsecond,
		ReadRate:       46000,
		Stride:         5,
		UsualPrompt:    1000,
		UsualAnswer:    100,
	}
	model = &route.Model{
		Pace: 1,
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

// Guards against late answers and unused capacity during a lasting overload: requests arrive twice as fast as the group
// serves them. Those that are sent must begin within their objective, and as many must be sent as the group can begin
// on time.
func TestOverloadLeavesSlotsToRequestsOnTime(tst *testing.T) {
	const objective = 500 * time.Millisecond
	alone := admission.Forecast(engine, model, load(0, 0), engine.UsualPrompt)
	busy := 0
	sent, late := 0, 0
	for num := range 400 {
		// One request ends for every two that arrive.
		if num%2 == 0 && busy > engine.Slots {
			busy--
		}
		forecast := admission.Forecast(engine, model, load(busy, 0), engine.UsualPrompt)
		if forecast > admission.Useful(objective, 0, alone) {
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
	for _, prompt := range []int{100, engine.UsualPrompt, 12000} {
		alone := admission.Forecast(engine, model, load(0, 0), prompt)
		qt.Assert(tst, admission.Useful(objective, 3*time.Second, alone) > alone, qt.IsTrue)
	}
	alone := admission.Forecast(engine, model, load(0, 0), engine.UsualPrompt)
	busy := admission.Forecast(engine, model, load(engine.Slots, 5000), engine.UsualPrompt)
	qt.Assert(tst, busy <= admission.Useful(objective, 0, alone), qt.IsTrue)
	qt.Assert(tst, busy <= admission.Useful(objective, 600*time.Millisecond, alone), qt.IsFalse)
}
