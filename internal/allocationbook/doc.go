// Package allocationbook writes allocations of fabric domains to the store and keeps the daemon's copy current.
//
// Each write is conditional on the version that the plan was made from. When the answer to a write was lost,
// the object is read back and told by the writer's token. The package owns no state.
package allocationbook
