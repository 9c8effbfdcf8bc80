package retrybudget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/retrybudget"
)

// Guards against daemons that each spend the whole reserve of a service: the retries of all daemons in any window must
// stay within the bound for the service.
func TestRetriesOfAllDaemonsStayWithinTheBound(tst *testing.T) {
	const daemons = 8
	cfg := retrybudget.Config{
		Ratio:   0.2,
		Reserve: 134,
		Window:  10 * time.Second,
	}
	start := time.Unix(1000, 0)
	var sent []time.Time
	var requests []time.Time
	for range daemons {
		bud := retrybudget.New(cfg, func() float64 { return 1.0 / daemons }, start)
		for at := time.Duration(0); at < 40*time.Second; at += 50 * time.Millisecond {
			now := start.Add(at)
			bud.RecordRequest("recipes", now)
			requests = append(requests, now)
			for range 3 {
				if bud.TakeRetry("recipes", now) {
					sent = append(sent, now)
				}
			}
		}
	}
	for from := time.Duration(0); from < 30*time.Second; from += 500 * time.Millisecond {
		lo, hi := start.Add(from), start.Add(from+cfg.Window)
		bound := cfg.Ratio*float64(count(requests, lo, hi)) + cfg.Reserve
		qt.Assert(tst, float64(count(sent, lo, hi)) <= bound, qt.IsTrue, qt.Commentf("%d retries after %v, bound %.0f", count(sent, lo, hi), from, bound))
	}
	qt.Assert(tst, len(sent) > 0, qt.IsTrue)
}

func count(times []time.Time, lo, hi time.Time) int {
	num := 0
	for _, tme := range times {
		if !tme.Before(lo) && tme.Before(hi) {
			num++
		}
	}
	return num
}

// Guards against one service that spends the retries of another.
func TestServicesHaveBudgetsOfTheirOwn(tst *testing.T) {
	start := time.Unix(1000, 0)
	bud := retrybudget.New(retrybudget.Config{
		Reserve: 2,
		Window:  time.Second,
	}, func() float64 { return 1 }, start)
	now := start.Add(2 * time.Second)
	qt.Assert(tst, bud.TakeRetry("one", now), qt.IsTrue)
	qt.Assert(tst, bud.TakeRetry("one", now), qt.IsFalse)
	qt.Assert(tst, bud.TakeRetry("two", now), qt.IsTrue)
	qt.Assert(tst, bud.TakeRetry("one", now.Add(3*time.Second)), qt.IsTrue)
}

// Guards against a process that takes a part of the reserve before it knows its share, and against one that can't earn retries
// without a share.
func TestUnknownShareGrantsNoReserve(tst *testing.T) {
	share := 0.0
	start := time.Unix(1000, 0)
	bud := retrybudget.New(exampleConfig(), func() float64 { return share }, start)
	now := start.Add(time.Minute)
	qt.Assert(tst, bud.TakeRetry("recipes", now), qt.IsFalse)
	for range 13 {
		bud.RecordRequest("recipes", now)
	}
	qt.Assert(tst, bud.TakeRetry("recipes", now), qt.IsTrue)
	qt.Assert(tst, bud.TakeRetry("recipes", now), qt.IsFalse)
	share = 0.5
	now = now.Add(10 * time.Second)
	qt.Assert(tst, bud.TakeRetry("recipes", now), qt.IsTrue)
	qt.Assert(tst, bud.TakeRetry("recipes", now), qt.IsTrue)
}
