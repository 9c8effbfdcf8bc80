// Package dispatch runs the life of one request to a model: choose a group, take a permit, check the
// evidence, send, and continue elsewhere when the replica is lost.
//
// No request is sent to a group without fresh evidence of every member, checked at the moment of
// sending. Requests to models are idempotent: when a replica fails, the text continues at another one
// from what was received. A request runs apart from its caller's connection, so a caller that lost the
// connection resumes its stream. The package owns the requests in progress and maintains invariants 5,
// 6 and 9 for them. It never writes to a caller.
package dispatch
