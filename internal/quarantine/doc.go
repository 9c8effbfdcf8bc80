// Package quarantine records which requests crash backend servers, so that they are not sent on to further groups.
//
// A request in flight at a crash of its group is a suspect. A fingerprint is quarantined while at least two distinct
// crashes of the last ten minutes count against it. Suspects run under exclusive slots, one at a time per fingerprint
// and one at a time per group, so that one request crashes at most two groups of an availability zone and each crash
// has a single suspect. Copies of a request without known crashes are placed on the same group, so that copies sent at
// the same time crash one group at most before the first crash is known. The package does no I/O and does not know the
// load or the state of groups.
package quarantine
