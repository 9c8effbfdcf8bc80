package promptcache_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/promptcache"
)

var (
	start  = time.Unix(1000, 0)
	server = promptcache.Holder{
		ServerID:  "vm-1",
		StartTime: 7,
		Group:     "grp",
		Epoch:     3,
	}
)

const retention = 10 * time.Second

func newEstimator() *promptcache.Estimator {
	return promptcache.New(promptcache.Config{
		Retention:        retention,
		MaxPrefixes:      64,
		HoldersPerPrefix: 16,
	})
}

// cached returns the expected number of cached tokens of a prompt at a holder.
func cached(est *promptcache.Estimator, hld promptcache.Holder, pmt promptcache.Prompt, now time.Time) int {
	var mat promptcache.Matches
	est.Match(pmt.Prefixes, now, &mat)
	return pmt.CachedTokens(hld, &mat)
}

func prompt(parts ...string) promptcache.Prompt {
	return promptcache.NewPrompt("m", parts, []int{1000, 500, 500}, 4000)
}

// Guards against estimates that never expire, and that outlive the process or the group whose cache they describe.
func TestEstimateBelongsToOneProcessAndEpochAndAges(tst *testing.T) {
	est := newEstimator()
	pmt := prompt("system", "document", "turn")
	est.RecordRead(server, pmt.Prefixes, pmt.Tokens, promptcache.Occupancy{}, start)
	qt.Assert(tst, cached(est, server, pmt, start), qt.Equals, 2000)
	qt.Assert(tst, cached(est, server, prompt("system", "other", "turn"), start), qt.Equals, 1000)
	qt.Assert(tst, cached(est, server, prompt("document", "system"), start), qt.Equals, 0)
	qt.Assert(tst, cached(est, server, promptcache.NewPrompt("n", []string{"system"}, []int{1000}, 4000), start), qt.Equals, 0)
	qt.Assert(tst, cached(est, server, pmt, start.Add(retention/2)), qt.Equals, 1000)
	qt.Assert(tst, cached(est, server, pmt, start.Add(retention)), qt.Equals, 0)
	for _, change := range []func(hld *promptcache.Holder){
		func(hld *promptcache.Holder) { hld.StartTime++ },
		func(hld *promptcache.Holder) { hld.Epoch++ },
		func(hld *promptcache.Holder) { hld.Group = "next" },
	} {
		next := server
		change(&next)
		qt.Assert(tst, cached(est, next, pmt, start), qt.Equals, 0)
	}
}

// Guards against estimates that a report has contradicted, and against memory that grows with the number of prompts.
func TestEstimatesAreCorrectedAndBounded(tst *testing.T) {
	est := newEstimator()
	pmt := prompt("system", "document")
	est.RecordRead(server, pmt.Prefixes, pmt.Tokens, promptcache.Occupancy{}, start)
	est.RecordEvicted(server.ServerID, pmt.Prefixes[1])
	qt.Assert(tst, cached(est, server, pmt, start), qt.Equals, 1000)
	est.Forget(server.ServerID)
	qt.Assert(tst, est.Prefixes(), qt.Equals, 0)
	for num := range 10_000 {
		est.RecordCached(server, []uint64{uint64(num)}, start)
	}
	qt.Assert(tst, est.Prefixes() <= 64, qt.IsTrue, qt.Commentf("%d", est.Prefixes()))
}

// Guards against preferring an engine that had to evict a prompt: its memory holds 4,000 tokens.
func TestMemoryBoundsWhatIsRetained(tst *testing.T) {
	est := newEstimator()
	occ := promptcache.Occupancy{
		Capacity: 4000,
	}
	record := func(pmt promptcache.Prompt, now time.Time) {
		est.RecordRead(server, pmt.Prefixes, pmt.Tokens, occ, now)
	}
	one, two, three := prompt("one", "a"), prompt("two", "b"), prompt("three", "c")
	record(one, start)
	record(two, start.Add(1))
	record(one, start.Add(2))
	qt.Assert(tst, cached(est, server, two, start) > 1400, qt.IsTrue)
	record(three, start.Add(3))
	qt.Assert(tst, cached(est, server, two, start.Add(3)), qt.Equals, 999, qt.Commentf("the longest prefix used least recently is evicted first"))
	qt.Assert(tst, cached(est, server, one, start.Add(3)) > 1400, qt.IsTrue)
	occ.InFlight = 3000
	est.Shrink(server, occ, start.Add(4))
	qt.Assert(tst, cached(est, server, one, start.Add(4)), qt.Equals, 0)
	qt.Assert(tst, cached(est, server, three, start.Add(4)), qt.Equals, 999)
}

// Guards against a caller whose statements are wrong: no prefix exceeds the prompt, and missing counts count nothing.
func TestPromptIsBoundedByItsTokens(tst *testing.T) {
	pmt := promptcache.NewPrompt("m", []string{"a", "b", "c"}, []int{-5, 1 << 40}, 900)
	qt.Assert(tst, pmt.Tokens, qt.DeepEquals, []int{0, 900, 900})
}
