// Package router chooses the replica that a request is sent to.
//
// It spreads the requests of daemons that share a stale view, avoids slow or full replicas, and prefers replicas
// that have probably cached the prompt's prefix. It holds the daemon's hints of which replica has cached which
// prefix. It does no I/O, takes views and the time as arguments, and maintains no invariant: a poor choice costs
// time, never correctness.
package router
