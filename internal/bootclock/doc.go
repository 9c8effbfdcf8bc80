// Package bootclock provides a clock that continues while the VM is suspended.
//
// The kernel's monotonic clock stops during a suspension. After a suspension, a lease or a report that expired long
// ago would therefore seem as recent as before. The time of this clock includes suspensions. Its timers do not
// include them, so they fire late.
package bootclock
