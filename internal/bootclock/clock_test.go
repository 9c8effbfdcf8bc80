package bootclock_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/bootclock"
)

// TestNowIncludesSuspensions guards against a lease that seems recent after its holder was suspended.
func TestNowIncludesSuspensions(tst *testing.T) {
	fake := clockwork.NewFakeClock()
	asleep := time.Duration(0)
	clk := &bootclock.Clock{
		Clock:     fake,
		Suspended: func() (time.Duration, error) { return asleep, nil },
	}
	start := clk.Now()
	fake.Advance(time.Second)
	qt.Assert(tst, clk.Since(start), qt.Equals, time.Second)
	asleep = 5 * time.Second
	fake.Advance(50 * time.Millisecond)
	qt.Assert(tst, clk.Since(start), qt.Equals, 6050*time.Millisecond)
	qt.Assert(tst, clk.Until(start.Add(10*time.Second)), qt.Equals, 3950*time.Millisecond)
}

// TestRealClockAdvances guards against a wrong unit or sign of the suspensions that the kernel reports.
func TestRealClockAdvances(tst *testing.T) {
	clk := bootclock.New()
	start := clk.Now()
	time.Sleep(20 * time.Millisecond)
	qt.Assert(tst, clk.Since(start) >= 20*time.Millisecond, qt.IsTrue)
	qt.Assert(tst, clk.Since(start) < 10*time.Second, qt.IsTrue)
}
