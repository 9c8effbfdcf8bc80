package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/outlier"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/steppedclock"
)

// Guards against streams that end although they make progress, and stalled ones that live on, when the time of day is stepped.
func TestClockStepsNeitherStallNorHideStreams(tst *testing.T) {
	for _, cas := range []struct {
		name    string
		step    int
		silence time.Duration
		stalled bool
	}{
		{
			name:    "a stream in progress while the clock goes ahead",
			step:    5,
			silence: 100 * time.Millisecond,
		},
		{
			name:    "a silent stream while the clock goes back",
			step:    -5,
			silence: 2 * time.Second,
			stalled: true,
		},
	} {
		tst.Run(cas.name, func(tst *testing.T) {
			clk := steppedclock.New()
			wch := &stallWatch{
				relay: &Relay{
					outliers: outlier.New(),
					clock:    clk,
				},
				server: &serverregistry.Server{
					ID: "vm-1",
				},
				replace:       func(bool) (placement.Pick, error) { return placement.Pick{}, nil },
				sharedStreams: true,
				timeout:       time.Second,
				timer:         time.NewTimer(time.Hour),
				cancel:        func() {},
			}
			defer wch.stop()
			wch.recordProgress(clk.Now())
			clk.Step(cas.step)
			clk.Advance(cas.silence)
			wch.check()
			qt.Assert(tst, wch.gaveUp(), qt.Equals, cas.stalled)
		})
	}
}
