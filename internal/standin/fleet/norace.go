//go:build !race

package fleet

// RaceDetectorEnabled says whether this program is built with the race detector; the started programs are then
// built with it too.
const RaceDetectorEnabled = false
