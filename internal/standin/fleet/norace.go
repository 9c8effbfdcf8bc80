//go:build !race

package fleet

// raceDetector builds the programs with the race detector when the test that starts them has it.
const raceDetector = false
