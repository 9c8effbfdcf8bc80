// Package queue holds a daemon's requests for one group until the group's owner grants slots for them.
//
// Under overload it decides which request is sent next: by priority, then by the fair shares of the workspaces,
// then by deadline. It rejects requests that cannot start in time and requests beyond its bound. It keeps the
// daemon's slots at the group and never uses a slot whose grant has expired, or that was granted for another
// incarnation of the engine or for a warm engine that is cold now (invariant 3).
//
// It does no I/O and takes the time as an argument: its user calls the owner and sends the requests.
package queue
