// Package inventory holds a daemon's copy of the objects in the store: allocations, availability zones and VMs.
//
// It receives allocations and zone states from the store or from peers and never replaces one with an older version.
// While the store is unavailable, the last copy stays in use. The package does not write to the store.
package inventory
