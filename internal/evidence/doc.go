// Package evidence holds the latest report of each VM and the time of that report.
//
// A group may receive requests only while every member has reported its membership in the group with the
// current fencing token no longer ago than a limit on the monotonic clock. The package owns the reports that
// one daemon has received, in shards that each have a lock. When a VM or the daemon that probes it fails, the
// report of the VM exceeds that age and the group is no longer complete. The same happens when an engine
// restarts, because its new incarnation reports no group. The package does not collect
// reports and does not select a group.
package evidence
