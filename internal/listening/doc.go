// Package listening opens the TCP listeners of a daemon and serves HTTP on them.
//
// All listeners are opened before any serves, so that a wrong address fails the start of the daemon. The package sets
// up no TLS and does not shut the servers down.
package listening
