// Package zone maintains the membership of the daemons of one availability zone and assigns keys to them.
//
// It uses a SWIM protocol. In each period a daemon pings a few peers in turn. A peer that answers neither a
// direct ping nor an indirect one through other members is suspected, and is declared dead unless it refutes
// the suspicion in time. Updates are piggybacked on the pings, so that the traffic of a daemon does not grow
// with the size of the zone.
//
// Membership provides no consensus. Daemons may have different views; a wrong view causes unnecessary or
// failed calls, but never violates safety. The package owns the list of members, which is kept in memory only.
package zone
