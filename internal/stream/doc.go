// Package stream checks the order of the frames of a generated text and encodes the resume tokens by which a caller
// resumes a stream at any entry VM.
//
// Frames of another request or attempt, duplicates and frames out of order are dropped and counted, so that a caller
// gets the whole text of its own request exactly once. The package neither opens connections nor resumes streams:
// package dispatch does.
package stream
