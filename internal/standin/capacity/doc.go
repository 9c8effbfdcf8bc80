// Package capacity measures the resources that a daemon uses for control at several sizes of an availability zone, and
// fits the slopes from which docs/CAPACITY.md is computed.
//
// It sends no requests of callers, so it does not measure the cost of serving them.
package capacity
