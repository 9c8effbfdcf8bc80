// Package dispatch runs a request to a model from admission to its final event: it chooses a group, takes a permit,
// checks the reports of its members, sends the request, and fails over when the replica is lost.
//
// No request is sent to a group without a fresh report of every member, checked at the moment of sending. Requests to
// models are idempotent: when a replica fails, another one continues the text from what was received. A request runs
// independently of its caller's connection, so a caller that lost the connection can resume its stream. The package
// tracks the requests in progress and maintains invariants 5, 6 and 9 for them. It does not write to the caller: its
// events are passed to an emit function.
package dispatch
