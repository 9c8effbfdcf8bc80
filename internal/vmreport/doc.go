// Package vmreport holds the latest report of each VM and the time of that report.
//
// A group may receive requests only while the latest report of every member confirms the group, its fencing
// token and the member's rank, shows a serving state, has not been invalidated by a failed connection, and is
// not older than a maximum age on the monotonic clock. When a VM or the daemon that probes it fails, the report
// of the VM exceeds that age and the group is no longer complete. When an engine restarts, its new incarnation
// reports no group, so the group is not complete either. The package owns the reports that one daemon has
// received, in shards that each have a lock. It does not collect reports and does not select groups.
package vmreport
