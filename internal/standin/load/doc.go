// Package load is an open-loop load generator for entry VMs and engines, for tests and measurement only.
//
// It plans all requests from a seed before it starts and sends each one at its planned time, whether or not
// earlier ones have ended. It checks that every streamed response is complete and belongs to its own
// request. Latencies are measured from the planned time, so that a stalled server does not hide its own
// delay (coordinated omission).
//
// It sends only streamed completions of one model. It does not retry rejected requests.
package load
