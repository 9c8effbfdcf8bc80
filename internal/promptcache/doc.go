// Package promptcache estimates which backend servers have probably cached which prefixes of prompts.
//
// The load pattern is many requests that share the beginning of their prompt: a system prompt, the documents of a
// workspace or the turns of a session. A server that still caches that beginning responds sooner, unless its queue or
// its memory is full. The package holds this daemon's estimates for both edges: of the requests that this daemon sent,
// and of what servers report. It does no I/O, gets the time as an argument and decides nothing: router and placement
// weigh the time saved against the wait.
//
// Estimates are bounded in number, age, and belong to one process of a server and one epoch of its group. Where the
// engine's memory is known, the tokens in flight and those retained never exceed it in the estimate. Losing all
// estimates costs prefill time, never correctness.
package promptcache
