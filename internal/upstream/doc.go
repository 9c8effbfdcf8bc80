// Package upstream pools HTTP/1.1 connections to backend servers and carries one request at a time on each.
//
// The transport of net/http resends a request by itself when a kept-alive connection turns out to be closed, and takes
// whatever response arrives next for the response to the request. Both break at-most-once calls. This package writes a
// request once, reports whether any byte of it may have left, and recognizes a response to another request by its ID.
// A connection returns to the pool only after a complete response. The package does not retry: its callers do.
package upstream
