// Package listening opens the TCP listeners of a daemon and serves HTTP on them.
//
// All listeners are opened before any serves, so that a wrong address fails the start of the daemon. The package sets
// up no TLS and does not shut the servers down. A guard bounds the connections of clients that the operators do not control: their
// number, their buffers in the kernel, and the time for which they read nothing.
package listening
