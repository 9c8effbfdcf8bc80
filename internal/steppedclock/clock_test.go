package steppedclock_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/steppedclock"
)

// Guards against a layout of time.Time for which a step would also move the steady time, or nothing at all.
func TestStepMovesTheTimeOfDayOnly(tst *testing.T) {
	for _, step := range []int{5, -5, 3600} {
		clk := steppedclock.New()
		before := clk.Now()
		clk.Step(step)
		clk.Advance(time.Second)
		now := clk.Now()
		qt.Assert(tst, now.Sub(before), qt.Equals, time.Second)
		qt.Assert(tst, clk.Since(before), qt.Equals, time.Second)
		qt.Assert(tst, clk.Until(before), qt.Equals, -time.Second)
		wall := now.Round(0).Sub(before.Round(0))
		qt.Assert(tst, wall, qt.Equals, time.Duration(step+1)*time.Second)
	}
}
