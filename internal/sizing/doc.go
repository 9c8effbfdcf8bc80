// Package sizing decides how many groups of each model every fabric domain runs.
//
// It answers the load pattern of a site whose models share one fleet while VMs fail and come back all day. What a site
// waits for grows with the work of a model over the VMs that serve it, so that VMs go where they lower the sum of these
// waits most. VMs count for the models whose weights they have at hand: a group that waits for a load keeps its other
// members idle. A group that is formed counts less than one that works, since each change costs seconds of capacity.
// It does no I/O.
package sizing
