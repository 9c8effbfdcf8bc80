// Package storefeed decides which daemons pass changes of the store on to other daemons, and which changes each of
// those still lacks.
//
// The holder of the site's lease always watches the store. It sends changes to the hubs, and the first hub of each zone
// whose copy is current sends them to the daemons of its zone. Each gossip message carries the revisions of its
// sender's copies, so that a daemon that feeds others knows which changes they lack. Changes in a lost frame are sent
// again, or the receiver detects the gap and reads the store. The age of a copy is bounded by the receiver's own clock,
// over any number of daemons between it and the store. Two daemons that feed at the same time cost extra bytes but no
// extra calls to the store. A daemon that is not fed for long enough reads the store itself; that is the task of package
// storesync.
package storefeed
