// Package serverregistry holds a daemon's copy of the registered backend servers, with the group membership that each
// reports.
//
// It accepts complete lists and single changes, and never replaces an entry by an older version on a change. While the
// store is unavailable, the last copy remains in use. It does no I/O and makes no decisions on groups or placement.
package serverregistry
