// Package steppedclock provides a fake clock for tests whose time of day can be stepped while its steady time runs on.
//
// The times of clockwork.FakeClock have no monotonic reading, so that a test with them can't tell code that measures
// durations by the time of day. The package is used by tests only.
package steppedclock
