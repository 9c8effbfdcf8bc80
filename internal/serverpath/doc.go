// Package serverpath decides whether a daemon connects to a backend server directly or through another daemon.
//
// A daemon whose own connections to servers fail cannot tell by itself whether the servers are dead or only its path to
// them. What other daemons reach tells them apart: when a connection fails, the Selector probes this server directly, and
// if it does not respond, others, too, and then some of them through other daemons. If the latter succeeds, it connects to
// the servers that do not respond through other daemons until it reaches them again. The other daemons relay bytes and
// take no decisions, so that limits, retries and the outcome of a request stay with the daemon that accepted it. A daemon
// at the end of such a tunnel connects directly, never through a further one. The package sends no requests, and it does
// not choose the server.
package serverpath
