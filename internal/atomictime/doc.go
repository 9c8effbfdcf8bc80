// Package atomictime provides a time that goroutines share.
//
// A time that is stored as a number loses its monotonic reading, so that durations since then change when the time of day is
// stepped.
package atomictime
