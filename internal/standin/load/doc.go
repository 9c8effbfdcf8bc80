// Package load is an open-loop load generator for entry VMs and engines, for tests and measurement only.
//
// It plans all requests from a seed before it starts, sends each one at its planned time whether or not
// earlier ones have been answered, and checks that every streamed answer is whole and belongs to its own
// request. Latencies count from the planned time, so that a stalled server cannot hide its own delay.
package load
