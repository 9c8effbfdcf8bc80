// Package quarantine knows which requests crash backend servers.
//
// A request in progress at a crash of its group is a suspect. A fingerprint seen in two distinct crashes
// is quarantined for a stated time. The package also holds the exclusive slots under which suspects
// run, one at a time for a fingerprint and one at a time for a group, so that one request costs a zone
// at most two groups and a crash has one suspect. Copies of a request that nothing is known of yet are
// placed on one group, so that copies sent at once cost one group before the first crash is known. It
// does no I/O and knows nothing of the load or the state of groups.
package quarantine
