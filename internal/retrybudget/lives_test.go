package retrybudget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/retrybudget"
	"github.com/cumintally/cumintally/internal/steppedclock"
)

func exampleConfig() retrybudget.Config {
	return retrybudget.Config{
		Ratio:   0.2,
		Reserve: 130,
		Window:  10 * time.Second,
	}
}

// Guards against a reserve that each process of a daemon spends again after a restart.
func TestRestartsGrantNoFurtherReserve(tst *testing.T) {
	const daemons = 6
	cfg := exampleConfig()
	clk := steppedclock.New()
	start := clk.Now()
	var buds [daemons]*retrybudget.Budget
	var sent, requests []time.Time
	for at := time.Duration(0); at < 20*time.Second; at += 50 * time.Millisecond {
		for idx := range buds {
			if at%(3*time.Second) == 0 {
				buds[idx] = retrybudget.New(cfg, func() float64 { return 1.0 / daemons }, clk.Now())
			}
			buds[idx].RecordRequest("recipes", clk.Now())
			requests = append(requests, clk.Now())
			if buds[idx].TakeRetry("recipes", clk.Now()) {
				sent = append(sent, clk.Now())
			}
		}
		clk.Advance(50 * time.Millisecond)
	}
	checkBound(tst, cfg, start, requests, sent)
}

// Guards against counts that a step of the time of day drops.
func TestClockStepsKeepTheCount(tst *testing.T) {
	cfg := exampleConfig()
	clk := steppedclock.New()
	start := clk.Now()
	bud := retrybudget.New(cfg, func() float64 { return 1 }, start)
	var sent, requests []time.Time
	for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
		switch at {
		case 6 * time.Second, 10 * time.Second:
			clk.Step(7)
		case 8500 * time.Millisecond, 12500 * time.Millisecond:
			clk.Step(-7)
		}
		bud.RecordRequest("recipes", clk.Now())
		requests = append(requests, clk.Now())
		if bud.TakeRetry("recipes", clk.Now()) {
			sent = append(sent, clk.Now())
		}
		clk.Advance(10 * time.Millisecond)
	}
	checkBound(tst, cfg, start, requests, sent)
}

// checkBound checks that the retries sent in any window since start stay within the bound for the requests in it.
func checkBound(tst *testing.T, cfg retrybudget.Config, start time.Time, requests, sent []time.Time) {
	tst.Helper()
	qt.Assert(tst, len(sent) > 0, qt.IsTrue)
	for from := start; from.Before(sent[len(sent)-1]); from = from.Add(250 * time.Millisecond) {
		till := from.Add(cfg.Window)
		num := count(sent, from, till)
		bound := cfg.Ratio*float64(count(requests, from, till)) + cfg.Reserve
		qt.Assert(tst, float64(num) <= bound, qt.IsTrue, qt.Commentf("%d retries after %v, bound %.0f", num, from.Sub(start), bound))
	}
}
