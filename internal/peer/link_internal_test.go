package peer

import (
	"testing"

	qt "github.com/frankban/quicktest"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/steppedclock"
)

// Guards against a silent peer that is not checked, and one that is checked in vain, when the time of day is stepped.
func TestSilenceOfPeersSurvivesClockSteps(tst *testing.T) {
	clk := steppedclock.New()
	msh := New(Identity{}, nil, metrics.NewRegistry(), zap.NewNop())
	msh.Clock = clk
	lnk := newLink(msh)
	lnk.recordReceived()
	clk.Step(5)
	qt.Assert(tst, lnk.isSilent(), qt.IsFalse)
	clk.Step(-10)
	clk.Advance(silenceTimeout)
	qt.Assert(tst, lnk.isSilent(), qt.IsTrue)
}
