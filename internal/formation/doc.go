// Package formation decides which orders turn the groups that engines report into those that are allocated.
//
// Nobody but the system checks the members of a group, so three rules hold for every order. A head is opened
// only while every member reports that it is ready in the group with its epoch. A VM is ordered into another
// group only once the head of its former group is broken or has gone on from it, or has been out of reach for
// longer than a group works on without a member; a head that is merely closed could be opened by a late order.
// A VM that is in no group any more is ordered out of it before it is used again. Orders that were lost are
// given again after a while; epochs only grow, so that an engine rejects one that arrives late. The package
// does no I/O; it owns the times of the orders given.
package formation
