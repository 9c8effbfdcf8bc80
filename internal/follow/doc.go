// Package follow keeps a daemon's copy of one kind of the store's objects current.
//
// It lists the kind once and then watches it; where the store has dropped the history that a watch needs, it
// lists again. While the store cannot be reached the copy stays as it is, and calls are spaced by a growing,
// random pause, so that a fleet that restarts at once does not spend the store's rate. It owns no state but
// the position in the store's history.
package follow
