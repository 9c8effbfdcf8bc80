// Package experiment compares policies of the limits and of the choice of a replica, for measurement only.
//
// Each run starts the daemons and the stand-ins as separate processes, warms the replicas up, and sends
// the same seeded plan of requests to each policy.
package experiment
