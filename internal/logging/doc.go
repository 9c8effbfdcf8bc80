// Package logging makes a daemon's log: JSON lines on an output that may be slow.
//
// Lines go through a bounded buffer to one writer, so that no request waits for the output. Lines that find the
// buffer full are dropped and counted, and the count is written as soon as there is room.
package logging
