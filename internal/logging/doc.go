// Package logging writes a daemon's log as JSON lines to an output that may be slow.
//
// Lines pass through a bounded buffer to a single writer goroutine, so that no request waits for the output. Lines
// that do not fit into the buffer are dropped and counted, and the count is logged with the next write. The package
// does not rotate or store logs.
package logging
