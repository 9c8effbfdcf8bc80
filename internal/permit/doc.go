// Package permit limits the requests in flight at each replica across all daemons of an availability zone.
//
// Without a common limit, daemons that choose replicas independently would together overload a replica, in
// particular a cold one. One daemon of the zone owns each group. It grants slots that expire to the daemons
// that hold requests for the group (the holders). A slot covers one request from before it is sent until its
// stream has ended; its holder can use it again for another request until the next renewal. The package
// maintains invariant 3: while a backend server is cold, the requests in flight at it over all daemons
// together do not exceed its ColdLimit.
//
// The package holds the owner's state: which holder has how many slots, and the part of the limit that may be
// granted during a partition of the zone. It never blocks and does no I/O, and it neither queues requests
// (package queue does) nor chooses replicas.
package permit
