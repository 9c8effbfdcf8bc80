// Package lease implements the lease that elects the leader of a control loop.
//
// The lease avoids duplicate work; safety rests on the conditional updates of the allocations. The holder
// measures the age of the lease on its own monotonic clock from before each write was sent, and another daemon
// acquires the lease only after it has seen it unchanged for a whole duration, so that no two clocks are
// compared. The package owns the object Lease/<name>, whose name is that of the availability zone or another
// scope of control.
package lease
