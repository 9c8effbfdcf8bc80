// Package site wires the daemon of an entry VM on prepared machines: the platform's adapter, the relay of
// requests, and the groups of engines.
//
// All daemons are equal. What lasts is in the platform's store; a daemon that starts knows nothing else.
package site
