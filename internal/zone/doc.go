// Package zone knows the daemons of one availability zone and divides work over them.
//
// Membership is kept by probing in the manner of SWIM: each period a daemon pings a few peers in turn; a
// peer that answers neither it nor others on its behalf is suspected, and counts as dead unless it
// refutes the suspicion in time. What is learnt travels with the pings, so that the traffic of a daemon
// does not grow with the zone.
//
// Nothing is agreed through membership: a wrong view costs calls, never safety. The package owns the
// list of peers in memory.
package zone
