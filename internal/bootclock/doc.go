// Package bootclock is a clock that goes on while the VM is suspended.
//
// The monotonic clock of the kernel stops during a suspension, so that a lease or a report that has long
// expired looks as young as before. The time from this clock includes the suspension; its timers do not, and fire
// late.
package bootclock
