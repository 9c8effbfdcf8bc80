//go:build !race

package fleet

// raceDetectorEnabled builds the programs with the race detector when the test that starts them has it.
const raceDetectorEnabled = false
