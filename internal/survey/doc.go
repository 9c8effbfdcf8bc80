// Package survey sends one query to every daemon on the platform's list of VMs and collects the responses and
// the errors of the daemons that did not respond. It owns no state.
package survey
