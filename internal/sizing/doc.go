// Package sizing decides how many groups of each model every fabric domain runs.
//
// It is made for a site whose models share one fleet of VMs while VMs fail and return all day. The queueing delay of a
// model grows with its share of the work divided by the VMs that serve it. The package assigns VMs to models so that
// the sum of these delays is lowest. A VM counts only for models whose weights it has locally (in memory or on its
// host), because a group that loads weights keeps its other members idle. A new group counts for less than a running
// one, because each change costs seconds of capacity.
//
// The package decides only the numbers of groups. Package group chooses their members. It does no I/O.
package sizing
