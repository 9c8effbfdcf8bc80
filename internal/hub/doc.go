// Package hub decides which daemons exchange gossip messages, so that the number of messages grows linearly with the
// fleet and not with its square.
//
// On a small site each daemon sends to all others. On a larger one two daemons of each availability zone are its hubs:
// the first two by name that respond. The daemons of a zone send to its hubs. The hubs send them the state of the whole
// site, and exchange the state of their zones with the hubs of other zones. There is no election: each daemon chooses
// the hubs by the messages that it receives. A daemon that receives a message from a daemon of its own zone answers as
// a hub, even if it is none by its own choice. The package does no I/O.
package hub
