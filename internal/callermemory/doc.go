// Package callermemory bounds the memory that callers' requests occupy together, on either edge.
//
// Every byte of a request is counted by a claim as it is read: its headers while they arrive, and its body until the request
// ends, since it may be sent again. A request that has not arrived completely may be dropped for another one; a complete one is
// never dropped. The sum of all claims never exceeds the limit, and those of one caller never exceed its share. The package
// reads nothing and rejects nothing: whoever opens a claim is told that it was dropped.
package callermemory
