// Package group plans which VMs form which group.
//
// One allocation object per fabric domain holds all groups of the domain and their members. It is changed only by
// conditional update, so that concurrent writers cannot put a VM into two groups. Plan takes the current allocations of
// an availability zone, the state of its VMs and the desired groups, and returns the next allocations: it replaces lost
// members, drains groups before planned changes and forms missing groups. The package does no I/O and sends no orders.
package group
