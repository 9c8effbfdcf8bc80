// Package steward runs the control loop of a site's groups on the daemon that holds its lease.
//
// It plans the groups of every availability zone from what the engines register, writes allocations by
// conditional update, and gives the orders that formation decides on. It owns no durable state: a new holder
// of the lease takes over what the store holds and the engines report.
package steward
