package coldlimit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/coldlimit"
)

// Guards against overloading a group that returns cold while every daemon has requests for it: in no second may all
// daemons together send more than the rate.
func TestColdRateHoldsOverAllDaemons(tst *testing.T) {
	const daemons, rate = 8, 36.0
	start := time.Unix(1000, 0)
	var sent []time.Time
	for range daemons {
		lim := coldlimit.New(func() int { return daemons }, start)
		for at := time.Duration(0); at < 5*time.Second; at += 7 * time.Millisecond {
			if lim.Take("vm-1", rate, start.Add(at)) {
				sent = append(sent, start.Add(at))
			}
		}
	}
	qt.Assert(tst, len(sent) > 5*daemons, qt.IsTrue)
	checkRate(tst, sent, rate)
}

func TestOpenDoesNotCount(tst *testing.T) {
	start := time.Unix(1000, 0)
	lim := coldlimit.New(func() int { return 1 }, start)
	now := start.Add(coldlimit.Window)
	for range 5 {
		qt.Assert(tst, lim.Allowed("vm-1", 1, now), qt.IsTrue)
	}
	qt.Assert(tst, lim.Take("vm-1", 1, now), qt.IsTrue)
	qt.Assert(tst, lim.Allowed("vm-1", 1, now), qt.IsFalse)
}

// Guards against a rate that each process of a daemon spends again after a restart.
func TestRestartsKeepColdRate(tst *testing.T) {
	const daemons, rate = 6, 36.0
	start := time.Unix(1000, 0)
	var sent []time.Time
	for range daemons {
		var lim *coldlimit.Limiter
		for at := time.Duration(0); at < 6*time.Second; at += 10 * time.Millisecond {
			if at%(1700*time.Millisecond) == 0 {
				lim = coldlimit.New(func() int { return daemons }, start.Add(at))
			}
			if lim.Take("vm-1", rate, start.Add(at)) {
				sent = append(sent, start.Add(at))
			}
		}
	}
	qt.Assert(tst, len(sent) > daemons, qt.IsTrue)
	checkRate(tst, sent, rate)
}

// checkRate checks that no second has more sends than the rate.
func checkRate(tst *testing.T, sent []time.Time, rate float64) {
	tst.Helper()
	for _, from := range sent {
		num := 0
		for _, tme := range sent {
			if !tme.Before(from) && tme.Sub(from) < coldlimit.Window {
				num++
			}
		}
		qt.Assert(tst, float64(num) <= rate, qt.IsTrue, qt.Commentf("%d requests in a second", num))
	}
}
