package permit

import (
	"testing"

	"pgregory.net/rapid"
)

// TestShare guards against sides of a partition that together grant more than the limit, and against a
// limit that decreases when one of three or more daemons is lost.
func TestShare(t *testing.T) {
	rapid.Check(t, func(rpt *rapid.T) {
		known := rapid.IntRange(1, 70).Draw(rpt, "known")
		limit := rapid.IntRange(1, 64).Draw(rpt, "limit")
		sum := 0
		for rest := known; rest > 0; {
			seen := rapid.IntRange(1, rest).Draw(rpt, "side")
			rest -= seen
			viw := view{
				counted: seen,
				known:   known,
			}
			sum += viw.sideShare(limit)
		}
		if sum > limit {
			rpt.Fatalf("the sides grant %d of %d", sum, limit)
		}
		viw := view{
			counted: known - 1,
			known:   known,
		}
		if known >= 3 && viw.sideShare(limit) != limit {
			rpt.Fatalf("%d of %d daemons grant %d of %d", viw.counted, known, viw.sideShare(limit), limit)
		}
	})
}
