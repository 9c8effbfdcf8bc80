// Package capacity measures what control costs a daemon at several sizes of an availability zone, and
// fits slopes from which docs/CAPACITY.md is worked out.
package capacity
