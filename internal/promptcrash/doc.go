// Package promptcrash finds the parts of prompts that crash backend servers, so that no further request with such a part
// is sent to one.
//
// The evidence is the crashes that all daemons observe, each with the parts of the requests that were about to write their
// response, and the survivals: requests that went on writing. A part that survives is cleared of the crashes before. The
// package explains the crashes by as few parts as possible and prefers parts that few requests have. Parts that were
// always present together cannot be told apart and are blocked together: a request with only some of them still runs.
//
// After two crashes a part is held: its requests are rejected for a short time that differs from daemon to daemon, so that
// only a few of them run until the evidence suffices to block the part or clears it. The package does no I/O and sends
// nothing to other daemons.
package promptcrash
