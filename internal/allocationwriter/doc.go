// Package allocationwriter writes the allocations of fabric domains to the store and updates the daemon's copy.
//
// Each write is conditional on the version that the new allocation was derived from, so that concurrent changes are
// not lost. When the answer to a write is lost, the object is read back, and its writer token shows whether the write
// took effect. The package holds no state, does not retry writes and does not decide what to allocate.
package allocationwriter
