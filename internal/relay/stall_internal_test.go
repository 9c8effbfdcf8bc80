package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/outlier"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/steppedclock"
)

// watchedStream returns the watch of a stream that counts as stalled after a second, and the number of stalls that it has found.
func watchedStream(clk clockwork.Clock) (*stallWatch, *int) {
	stalls := 0
	return &stallWatch{
		run: &run{
			relay: &Relay{
				outliers: outlier.New(),
				clock:    clk,
			},
		},
		onStall: func(time.Time) { stalls++ },
		send: &send{
			pick: placement.Pick{
				Server: &serverregistry.Server{
					ID: "vm-1",
				},
			},
		},
		sharedStreams: true,
		timeout:       time.Second,
		timer:         time.NewTimer(time.Hour),
		dueAt:         clk.Now().Add(time.Second),
	}, &stalls
}

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
			wch, stalls := watchedStream(clk)
			defer wch.stop()
			wch.recordProgress(clk.Now())
			wch.run.relay.outliers.RecordProgress("vm-1", clk.Now())
			wch.dueAt = clk.Now().Add(cas.silence)
			clk.Step(cas.step)
			clk.Advance(cas.silence)
			wch.check()
			qt.Assert(tst, *stalls > 0, qt.Equals, cas.stalled)
		})
	}
}

// Guards against sound streams that count as stalled since the daemon itself stood still and has not read them yet.
func TestStandstillOfTheDaemonIsNoStall(tst *testing.T) {
	clk := steppedclock.New()
	wch, stalls := watchedStream(clk)
	defer wch.stop()
	wch.recordProgress(clk.Now())
	wch.check()
	clk.Advance(3 * time.Second)
	wch.check()
	qt.Assert(tst, *stalls, qt.Equals, 0)
	// A stream that is silent also after that is stalled, even if each check is late.
	clk.Advance(time.Second)
	wch.check()
	qt.Assert(tst, *stalls, qt.Equals, 1)
}
