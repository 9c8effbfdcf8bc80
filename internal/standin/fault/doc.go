// Package fault holds the injected faults of a stand-in, which a test can replace while the stand-in runs.
//
// Each stand-in serves its faults on /faults: GET returns them, PUT replaces all of them. What a fault does is
// defined by the stand-in.
package fault
