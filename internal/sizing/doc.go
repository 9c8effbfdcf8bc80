// Package sizing decides how many groups of each model an availability zone runs.
//
// It answers the load pattern of a site whose models share one fleet: VMs go to models by their share of the
// work, and a part of the VMs stays free, so that a group that loses a member is whole again at once. It does
// no I/O; the same VMs always give the same numbers, so that groups do not move because a plan was made anew.
package sizing
