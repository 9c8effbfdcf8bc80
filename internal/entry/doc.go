// Package entry assembles the daemon of an entry VM, starts it and stops it gracefully.
//
// It connects the packages that do the work: it creates the components, supplies the functions that they
// call, and runs their loops. It also implements the calls between daemons that grant slots, forward
// requests and share crashes. On SIGTERM, requests in progress finish before the daemon exits. Limits,
// routing, quarantine and placement are decided in the packages of these names, not here.
package entry
