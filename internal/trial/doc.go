// Package trial validates a configuration document against the VMs that the platform lists, part by part.
//
// It does no I/O: it plans the groups of every availability zone with the same planner as the controllers, as
// if all VMs were free, and returns which part cannot be met and why.
package trial
