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
		lim := coldlimit.New(func() int { return daemons })
		for at := time.Duration(0); at < 5*time.Second; at += 7 * time.Millisecond {
			if lim.Take("vm-1", rate, start.Add(at)) {
				sent = append(sent, start.Add(at))
			}
		}
	}
	qt.Assert(tst, len(sent) > 5*daemons, qt.IsTrue)
	for _, from := range sent {
		num := 0
		for _, tme := range sent {
			if !tme.Before(from) && tme.Sub(from) < coldlimit.Window {
				num++
			}
		}
		qt.Assert(tst, num <= rate, qt.IsTrue, qt.Commentf("%d requests in a second", num))
	}
}

func TestOpenDoesNotCount(tst *testing.T) {
	lim := coldlimit.New(func() int { return 1 })
	now := time.Unix(1000, 0)
	for range 5 {
		qt.Assert(tst, lim.Allowed("vm-1", 1, now), qt.IsTrue)
	}
	qt.Assert(tst, lim.Take("vm-1", 1, now), qt.IsTrue)
	qt.Assert(tst, lim.Allowed("vm-1", 1, now), qt.IsFalse)
}
