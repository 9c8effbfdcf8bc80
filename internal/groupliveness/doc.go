// Package groupliveness decides whether a serving group is alive although registrations of some of its members were
// removed.
//
// Load pattern: a tenth of the engine VMs lose the store for 5 s while their groups go on sending tokens, and at the same
// time two VMs fail every 3 s. The registration of a VM that failed is removed three heartbeats after its group sent its
// last token, so that a group that sends a token after the removal has all its members, and one that sent a token just
// before it is not the group of a failed VM. The package gets the time and its inputs as arguments; it does no I/O and keeps
// no state. It never counts a group as alive whose head is not registered as open, that has a draining member, or whose
// missing members were not ready in its epoch when last seen.
package groupliveness
