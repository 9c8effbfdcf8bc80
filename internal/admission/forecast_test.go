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

func work(requests, unread int) admission.Work {
	return admission.Work{
		Requests: requests,
		Unread:   unread,
	}
}

func TestForecastGrowsWithTheWork(tst *testing.T) {
	last := time.Duration(0)
	for num := 0; num < 80; num += 4 {
		got := admission.Forecast(engine, model, work(num, 100*num), 1000)
		qt.Assert(tst, got > last, qt.IsTrue)
		last = got
	}
}

// Replays a group whose batch is full: every request beyond it waits for one that ends.
func TestFullBatchMakesRequestsWait(tst *testing.T) {
	free := admission.Forecast(engine, model, work(25, 0), 1000)
	full := admission.Forecast(engine, model, work(26, 0), 1000)
	qt.Assert(tst, free < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", free))
	qt.Assert(tst, full-free >= admission.Turn(engine, model), qt.IsTrue)
}
