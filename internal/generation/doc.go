// Package generation holds the generation of the accepted document that is in force on a daemon.
//
// Generation numbers only increase: the store never applies a generation that is lower than the one in force, so
// a late message cannot revert an accepted document. The store fetches only the parts that changed, from a peer's
// difference or from the platform. It owns the document in memory; the durable copy is in the platform's store.
// While the platform is unavailable, the generation in force stays in force. The package does not validate
// documents and does not run their trials.
package generation
