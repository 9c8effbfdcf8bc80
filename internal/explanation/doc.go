// Package explanation holds the question where a request would go now, and its answer: the route, the candidates and what
// excludes each of them.
//
// It encodes both for the daemon's interface and for people. It does no I/O and decides nothing; the answer comes from
// the placement of the daemon that was asked.
package explanation
