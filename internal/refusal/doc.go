// Package refusal defines the error that a caller receives for a request that the system does not complete.
//
// Each refusal states exactly one of two outcomes: the request was not run, or it is unknown whether it ran. It is sent
// at once and carries the time after which the caller may retry. The package does not encode or send it.
package refusal
