// Package router chooses the replica that a request is sent to.
//
// It owns the daemon's hints of which replica has cached which prompt prefix. It does no I/O, takes views
// and the time as arguments, and maintains no invariant: a poor choice costs time, never correctness.
package router
