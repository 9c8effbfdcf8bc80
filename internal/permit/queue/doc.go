// Package queue holds a daemon's requests in front of one group until the group's owner grants slots.
//
// It owns the daemon's slots at the group and the order of its waiting requests: by priority, then by the
// fair shares of the workspaces, then by deadline. It does no I/O and takes the time as an argument. It
// never counts a slot whose grant has expired, or that was granted for another incarnation of the engine
// or for a warm engine that is cold now (invariant 3).
package queue
