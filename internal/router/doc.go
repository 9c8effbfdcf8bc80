// Package router chooses the replica that a request is sent to.
//
// It spreads the requests of daemons that share a stale view, avoids slow or full replicas, and prefers replicas that
// have probably cached the prompt's prefix, as package promptcache estimates. It does no I/O, takes views and the time
// as arguments, and maintains no invariant: a poor choice costs time, never correctness.
package router
