package bootclock

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// recheck is the age up to which the length of past suspensions is not looked up again.
const recheck = 10 * time.Millisecond

// Clock is a real clock that counts suspensions.
type Clock struct {
	clockwork.Clock
	// Suspended returns for how long the VM has been suspended since it started.
	Suspended func() (time.Duration, error)

	mu    sync.Mutex
	at    time.Time
	known time.Duration
}

// New returns a clock of this VM.
func New() clockwork.Clock {
	return &Clock{
		Clock:     clockwork.NewRealClock(),
		Suspended: suspended,
	}
}

// suspended compares the clock that counts suspensions with the one that does not.
func suspended() (time.Duration, error) {
	var boot, mono unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - mono.Nano()), nil
}

// Now returns the time, with suspensions included in its monotonic part.
func (clk *Clock) Now() time.Time {
	now := clk.Clock.Now()
	clk.mu.Lock()
	defer clk.mu.Unlock()
	if clk.at.IsZero() || now.Sub(clk.at) > recheck {
		clk.at = now
		// Without an answer the last known length stays; the clock then counts no further suspension.
		if span, err := clk.Suspended(); err == nil {
			clk.known = span
		}
	}
	return now.Add(clk.known)
}

// Since returns the time that has passed since tme, which must be a time of this clock.
func (clk *Clock) Since(tme time.Time) time.Duration {
	return clk.Now().Sub(tme)
}

// Until returns the time until tme, which must be a time of this clock.
func (clk *Clock) Until(tme time.Time) time.Duration {
	return tme.Sub(clk.Now())
}
