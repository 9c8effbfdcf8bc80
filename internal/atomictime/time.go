package atomictime

import (
	"sync/atomic"
	"time"
)

// Time is a time with its monotonic reading, the zero time at first. It is safe for concurrent use.
type Time struct {
	val atomic.Pointer[time.Time]
}

// Store sets the time.
func (atm *Time) Store(tme time.Time) {
	atm.val.Store(&tme)
}

// Load returns the time.
func (atm *Time) Load() time.Time {
	if tme := atm.val.Load(); tme != nil {
		return *tme
	}
	return time.Time{}
}
