// Package inventory holds what a daemon knows of the platform's objects: allocations, zones, VMs.
//
// It takes objects from the platform or from peers and never replaces one by an older version. It owns
// only this copy. While the platform is out, the last copy stays.
package inventory
