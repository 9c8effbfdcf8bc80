// Package engine is a stand-in of a model engine, for tests and measurement only.
//
// It batches continuously, caches prompt prefixes, takes requests by priority, starts cold, takes orders,
// reports its load with a lag, and generates a text that is a function of the prompt, so that a test can
// tell whether an answer is whole and belongs to its request. Rank 0 watches the other members of its
// group and stops serving when one is gone. Faults can be switched while it runs.
package engine
