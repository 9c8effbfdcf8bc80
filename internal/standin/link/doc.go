// Package link relays TCP connections between the processes of a test fleet and cuts them, for tests and
// measurement only. A process listens at an address of its own in 127.0.0.0/8; its peers are told the
// address of a relay in front of it. A relay knows who connects by the source IP, so that cuts need
// neither namespaces nor a firewall.
//
// A relay accepts a connection before it is known whether the target can be reached, so that behind a cut
// of kind Drop a client sees a connection without bytes where a real network would leave its SYN
// unanswered.
package link
