// Package follow keeps a daemon's copy of one kind of the store's objects current.
//
// It lists the kind once and then watches it; where the store has dropped the history that a watch needs, it
// lists again. While the store cannot be reached the copy stays as it is, and calls are spaced by a growing,
// random pause, so that a fleet that restarts at once does not spend the store's rate. It owns no state but
// the position in the store's history and the latest changes.
//
// On a large site most daemons are fed by another one, which passes on what its own copy took: the load pattern is a
// registry that changes many times a second, where each watch of each daemon would be one call for each change. A copy
// that is fed counts as current for a bounded time since the store confirmed it to the daemon that watched. A copy that
// is older than this daemon's patience, or that misses changes, is brought up to date by a call of its own; daemons
// closer to the store have less patience, so that few call when the daemon that watched is lost.
package follow
