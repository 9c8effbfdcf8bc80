// Package hub decides which daemons exchange words, so that their number grows with the fleet and not with its square.
//
// On a small site each daemon tells all others. On a larger one two daemons of each availability zone, the first by
// name that answer, are hubs: the daemons of a zone tell its hubs, which tell them what the whole site does, and hubs
// tell those of other zones. Nobody elects a hub: each daemon chooses by what it hears, and whoever is told something
// by a daemon of its zone answers as a hub. The package does no I/O.
package hub
