package steppedclock

import (
	"sync"
	"time"
	"unsafe"

	"github.com/jonboulle/clockwork"
)

// Clock is a fake clock whose times have a wall clock reading and a monotonic reading, as those of time.Now.
type Clock struct {
	*clockwork.FakeClock

	startedAt time.Time
	base      time.Time

	mu   sync.Mutex
	step time.Duration
}

// New returns a clock that starts at the current time.
func New() *Clock {
	fake := clockwork.NewFakeClock()
	return &Clock{
		FakeClock: fake,
		startedAt: fake.Now(),
		base:      time.Now(),
	}
}

// Step moves the time of day, but not the steady time, by a number of seconds, back if it is negative.
func (clk *Clock) Step(seconds int) {
	clk.mu.Lock()
	defer clk.mu.Unlock()
	clk.step += time.Duration(seconds) * time.Second
}

// Now returns the current time.
func (clk *Clock) Now() time.Time {
	clk.mu.Lock()
	defer clk.mu.Unlock()
	return shiftWall(clk.base.Add(clk.FakeClock.Since(clk.startedAt)), clk.step)
}

// Since returns the time elapsed since tme, which must be a time of this clock.
func (clk *Clock) Since(tme time.Time) time.Duration {
	return clk.Now().Sub(tme)
}

// Until returns the time until tme, which must be a time of this clock.
func (clk *Clock) Until(tme time.Time) time.Duration {
	return tme.Sub(clk.Now())
}

// timeLayout is the memory layout of time.Time, which no function of package time gives a wall clock reading and another
// monotonic reading.
type timeLayout struct {
	// wall holds a flag, 33 bits of seconds and 30 bits of nanoseconds if the time has a monotonic reading.
	wall uint64
	ext  int64
	loc  *time.Location
}

const nanosecondBits = 30

// shiftWall returns a time with a monotonic reading whose wall clock reading is shifted by whole seconds.
func shiftWall(tme time.Time, shift time.Duration) time.Time {
	lay := (*timeLayout)(unsafe.Pointer(&tme))
	lay.wall += uint64(int64(shift/time.Second)) << nanosecondBits
	return tme
}
