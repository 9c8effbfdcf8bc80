package promptload

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an estimate that does not reach the choice: engines that retain prompts must have cached more of them
// when placement estimates where, and no request may fail. Times are not checked, since they depend on the machine.
func TestEstimateFindsCachedPrompts(tst *testing.T) {
	measure := func(mode Mode) Result {
		res, err := Measure(context.Background(), Config{
			Mode:              mode,
			Engines:           6,
			Daemons:           2,
			Documents:         12,
			CacheBlocks:       1 << 12,
			RequestsPerSecond: 25,
			Duration:          2500 * time.Millisecond,
			Seed:              1,
		})
		qt.Assert(tst, err, qt.IsNil)
		qt.Assert(tst, res.Failed, qt.Equals, 0)
		return res
	}
	off, reports := measure(Off), measure(Reports)
	qt.Assert(tst, reports.CachedShare > off.CachedShare, qt.IsTrue, qt.Commentf("%v, off %v", reports.CachedShare, off.CachedShare))
}
