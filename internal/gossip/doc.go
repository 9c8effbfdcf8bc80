// Package gossip replicates versioned state between the daemons of one availability zone.
//
// Each topic has a position that only increases. A daemon whose position has increased notifies a few
// random peers, which pull the changes and notify others in turn. In addition each daemon compares its
// positions with one random peer every interval, so that a lost notice delays a change by about an
// interval. A reply contains only the changes that the peer does not have. The topics own the state; the
// package keeps none. A failed call is not retried; the next interval selects a random peer again. There is
// no ordering between topics and no confirmation that all daemons have a change.
package gossip
