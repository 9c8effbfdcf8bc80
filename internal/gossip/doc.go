// Package gossip spreads versioned state between the daemons of one availability zone.
//
// A topic has a position that only grows. A daemon whose position grew tells a few random peers, and
// each daemon compares positions with one random peer every interval, so that a lost notice costs one
// interval. Only what a peer lacks is sent. The package owns no state; each topic does. When a peer is
// gone, the next one is asked.
package gossip
