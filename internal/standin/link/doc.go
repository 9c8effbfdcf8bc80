// Package link relays TCP connections between the processes of a test fleet and injects network faults into
// them, for tests and measurement only. A process listens on its own address in 127.0.0.0/8; its peers get the
// address of a relay in front of it. A relay identifies the client by its source IP, so that cutting connections
// needs neither network namespaces nor a firewall.
//
// A relay accepts a connection before it is known whether the target can be reached. Behind a cut of kind Drop,
// a client therefore sees an established connection without data, while a real network would leave its SYN
// unanswered.
package link
