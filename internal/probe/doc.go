// Package probe collects the reports of all VMs of an availability zone at each of its daemons.
//
// The VMs are divided among the daemons by rendezvous hashing. Each daemon probes its own VMs and pulls the
// reports of the others from the feeds of other daemons, so that it does not have to probe the whole zone. While
// the latest report of a VM is stale or invalidated, up to two further daemons probe the VM as well, because the
// network may be cut only between the VM and its owner. The age of a report is counted from before the request
// for it was sent, so that network delay or a pause of either process can only make a report look older than it
// is. The package keeps no durable state and does not decide whether a VM has failed.
package probe
