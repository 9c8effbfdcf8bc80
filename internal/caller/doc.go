// Package caller serves the HTTP interface for callers: completions, services, and the health checks of the
// load balancer.
//
// It translates the HTTP conventions of callers' clients into requests to the dispatcher, and refusals into
// problem details (RFC 9457). It bounds the size of bodies and the time to receive them, so that slow or
// large requests do not exhaust the daemon's memory. It does not decide where a request runs. Its only state
// is whether the daemon is stopping and the count of requests in progress.
package caller
