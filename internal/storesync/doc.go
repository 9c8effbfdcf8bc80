// Package storesync keeps a daemon's copy of all objects of one kind in the store current.
//
// It lists the kind once and then watches it. Where the store no longer has the history that a watch needs, it lists
// again. While the store cannot be reached the copy stays as it is, and calls are spaced by a growing, random backoff,
// so that a fleet that restarts at once does not use up the rate limit of the store. The package keeps no objects
// itself: its only state is the revision that it has reached and the latest changes.
//
// On a large site most daemons are fed by another daemon, which passes on the changes that its own copy applied. This
// is the remedy for the load of a registry that changes many times a second, where each watch of each daemon would cost
// one call for each change. A copy that is fed counts as current for a bounded time after the store confirmed it to the
// daemon that watched. A daemon calls the store itself when its copy is older than its read age or lacks changes.
// Daemons closer to the store have a lower read age, so that few daemons call the store when the daemon that watched is
// lost.
package storesync
