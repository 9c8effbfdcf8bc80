// Package experiment compares policies for request limits and for the choice of a replica, for measurement only.
//
// Each run starts the daemons and the stand-ins as separate processes, warms the replicas up, and sends the same
// seeded sequence of requests under each policy. All processes run on one machine, so it does not show the effects of
// a real network.
package experiment
