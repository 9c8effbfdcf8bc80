package callermemory_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/callermemory"
)

// Guards against a memory that requests without progress hold while others are rejected, against the loss of a complete request, and
// against one caller that takes all of it.
func TestRequestsWithoutProgressAreDropped(tst *testing.T) {
	clk := clockwork.NewFakeClock()
	bud := callermemory.New(callermemory.Config{
		Limit:       100,
		CallerShare: 80,
	}, metrics.NewRegistry(), clk, zap.NewNop())
	dropped := ""
	open := func(name, caller string, size int64) *callermemory.Claim {
		clm := bud.Open(caller, func() { dropped += name })
		qt.Assert(tst, clm.Grow(size), qt.IsNil)
		return clm
	}
	whole := open("w", "one", 40)
	qt.Assert(tst, whole.Complete(), qt.IsTrue)
	stalled := open("s", "one", 30)
	clk.Advance(time.Second)
	active := open("a", "two", 30)
	qt.Assert(tst, dropped, qt.Equals, "")
	open("n", "two", 10)
	qt.Check(tst, dropped, qt.Equals, "s")
	qt.Check(tst, stalled.Grow(1), qt.ErrorIs, callermemory.ErrDropped)
	qt.Check(tst, stalled.Complete(), qt.IsFalse)
	qt.Check(tst, active.Complete(), qt.IsTrue)
	// The share of the first caller is used by a complete request.
	qt.Check(tst, bud.Open("one", func() {}).Grow(41), qt.ErrorIs, callermemory.ErrDropped)
	whole.Close()
	whole.Close()
	open("o", "one", 60)
}
