// Package follow keeps a daemon's copy of one kind of the store's objects current.
//
// It lists the kind once and then watches it; where the store has dropped the history that a watch needs, it
// lists again. While the store cannot be reached the copy stays as it is, and calls are spaced by a growing,
// random pause, so that a fleet that restarts at once does not spend the store's rate. It owns no state but
// the position in the store's history and the latest changes.
//
// On a large site most daemons are fed by another one, which passes on what its own watch returned: the load
// pattern is a registry that changes many times a second, where each watch of each daemon would be one call for
// each change. A copy that is fed counts as current for a bounded time since the store confirmed it to the feeding
// daemon. After that, and after a gap, the daemon watches the store itself.
package follow
