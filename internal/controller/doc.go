// Package controller runs the control loop of an availability zone on the daemon that holds the zone's lease.
//
// In each cycle it plans which VMs form which group, writes changed allocations to the store by conditional
// update, and sends orders to the engines whose reports do not match the allocations. It keeps no durable
// state and routes no requests. A controller that was paused until its lease expired fails at the conditional
// update. If one of its orders still reaches an engine late, the engine's report shows it, so that no daemon
// sends a request to the group.
package controller
