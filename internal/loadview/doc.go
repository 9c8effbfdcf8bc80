// Package loadview tells the daemons of a site how much work each of them has sent to each backend server.
//
// It answers the load pattern in which several daemons see the same idle backend server and all send it their
// next requests, because what it reports of itself is late: what a daemon has just sent is known to the others a
// tenth of a second later. The package owns the latest word of each daemon. A daemon that falls silent counts for
// a moment longer, then not at all, since its requests end with it.
package loadview
