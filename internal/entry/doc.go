// Package entry assembles the daemon of an entry VM, starts it and stops it gracefully.
//
// It connects the packages that do the work: it creates the components, supplies the functions that they
// call, and runs their loops. It also implements the calls between daemons that grant slots, forward
// requests and share crashes. When the daemon is stopped, requests in progress may finish within DrainTimeout
// before it exits. The rules for limits, routing, quarantine and placement are in the packages permit, router,
// quarantine and placement.
package entry
