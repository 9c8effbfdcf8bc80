// Package permit limits the requests in progress at each replica over all daemons of an availability zone.
//
// The owner daemon of a group grants slots with an expiry to the daemons that hold requests for it. A
// slot covers a request from before it is sent until its stream has ended, and can be used again by its
// holder until the next renewal. The package never waits and does no I/O: it owns the owner's view of who
// holds how many slots. It maintains invariant 3: while a backend server is cold, the requests at it over
// all daemons together do not exceed its ColdLimit.
package permit
