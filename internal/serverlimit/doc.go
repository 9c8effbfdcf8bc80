// Package serverlimit keeps the requests that this daemon sends to a backend server within its share of the rate that the
// server says it takes from all daemons together.
//
// Each daemon has a share of the rate, and all shares add up to one. What a daemon does not use lapses after a short time, so
// that the daemons together cannot exceed the rate for long even if their callers all come at once. The package learns
// limits from responses only; it does not know how shares are divided.
package serverlimit
