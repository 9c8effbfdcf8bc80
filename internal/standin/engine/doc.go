// Package engine is a stand-in for a model engine, for tests and measurement only.
//
// It does continuous batching, caches prompt prefixes, schedules requests by priority, starts cold, executes
// orders and reports its load with a lag. It generates a text that is a function of the prompt, so that a test
// can check whether a response is complete and belongs to its request. Rank 0 monitors the other members of its
// group and stops serving when one is missing. Faults can be switched on and off while it runs. It runs no
// model.
package engine
