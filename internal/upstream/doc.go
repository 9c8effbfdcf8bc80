// Package upstream keeps connections to backend servers and carries one request at a time on each.
//
// net/http's transport sends a request again by itself when a kept connection turns out to be closed, and
// takes whatever answer comes next for the answer to the request. Both break calls that run at most once.
// Here a request is written once, the caller learns whether a byte may have left, and an answer that
// belongs to another request is told by its ID. A connection is kept only after a whole answer.
package upstream
