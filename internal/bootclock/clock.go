package bootclock

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// recheckInterval is the time for which a measured total of suspensions is reused.
const recheckInterval = 10 * time.Millisecond

// Clock is a clock whose time includes suspensions of the VM.
type Clock struct {
	clockwork.Clock
	// Suspended returns the total time for which the VM has been suspended since it booted.
	Suspended func() (time.Duration, error)

	mu sync.Mutex
	// measuredAt is the time of the last call of Suspended, on the underlying clock.
	measuredAt time.Time
	// suspendedFor is the last total that Suspended returned.
	suspendedFor time.Duration
}

// New returns the clock of this VM.
func New() clockwork.Clock {
	return &Clock{
		Clock:     clockwork.NewRealClock(),
		Suspended: totalSuspension,
	}
}

// totalSuspension returns the difference between CLOCK_BOOTTIME, which includes suspensions, and CLOCK_MONOTONIC,
// which does not.
func totalSuspension() (time.Duration, error) {
	var boot, mono unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - mono.Nano()), nil
}

// Now returns the current time. Its monotonic part includes suspensions.
func (clk *Clock) Now() time.Time {
	now := clk.Clock.Now()
	clk.mu.Lock()
	defer clk.mu.Unlock()
	if clk.measuredAt.IsZero() || now.Sub(clk.measuredAt) > recheckInterval {
		clk.measuredAt = now
		// After an error the clock keeps the last known total, so it misses later suspensions until a call succeeds.
		if span, err := clk.Suspended(); err == nil {
			clk.suspendedFor = span
		}
	}
	return now.Add(clk.suspendedFor)
}

// Since returns the time elapsed since tme, which must be a time of this clock.
func (clk *Clock) Since(tme time.Time) time.Duration {
	return clk.Now().Sub(tme)
}

// Until returns the time until tme, which must be a time of this clock.
func (clk *Clock) Until(tme time.Time) time.Duration {
	return tme.Sub(clk.Now())
}
