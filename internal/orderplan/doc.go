// Package orderplan computes the orders that turn the groups that engines report into the allocated groups.
//
// The head of a group is its member of rank 0; it is opened to let the group serve requests. No other component checks
// the members of a group, so every order follows three rules:
//
//   - A head is opened only while every member reports that it is ready in the group with the group's epoch.
//   - A VM joins another group only once the head of its former group is broken or has left that group, or has been
//     unreachable for longer than a group keeps working without a member. A head that is only closed does not suffice,
//     because a late order could open it again.
//   - A VM that is in no allocated group leaves the group that it reports before it is used again.
//
// Orders may be lost and are repeated after a while. Epochs only grow, so that an engine rejects a late order. The
// package does no I/O and does not decide which VMs form a group. It keeps the orders that it returned with their
// times, the last known heads, the VMs that must not join a group yet, the closing times, and the token buckets of the
// load rates.
package orderplan
