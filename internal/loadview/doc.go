// Package loadview merges the loads that the daemons of a site announce to each other.
//
// The load that a backend server reports of itself is stale, so that several daemons would see the same idle backend
// server and all send their next requests there. The daemons therefore announce what each has sent to each backend
// server about every tenth of a second. The package keeps the latest announcement of each daemon, or sums that hubs
// make of them. Announcements expire after a second, since the requests of a failed daemon end with it.
// Announcements and sums also carry the work that callers ask of each model. The package sends and receives no messages.
package loadview
