// Package platform is a stand-in for the platform's object API, for tests and measurement only.
//
// It keeps objects in memory with versions, conditional updates and watches, and counts calls. Its faults are outages,
// delays, rate limits, lost writes, lost responses to writes and stale lists of VMs. Its state is not persistent.
package platform
