package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/suspicion"
)

// Guards against requests to servers that other daemons report as failing, and against requests that find none because all
// are reported.
func TestReportedServersReceiveNoRequestsWhileOthersCan(tst *testing.T) {
	cases := []struct {
		name     string
		verdicts map[string]suspicion.Verdict
		chosen   []string
	}{
		{
			name:     "one avoided, one ranked last",
			verdicts: map[string]suspicion.Verdict{"a": suspicion.Avoided, "b": suspicion.RankedLast},
			chosen:   []string{"c"},
		},
		{
			name:     "none trusted",
			verdicts: map[string]suspicion.Verdict{"a": suspicion.Avoided, "b": suspicion.RankedLast, "c": suspicion.Avoided},
			chosen:   []string{"b"},
		},
		{
			name:     "one to be tried",
			verdicts: map[string]suspicion.Verdict{"a": suspicion.DueForTrial},
			chosen:   []string{"a"},
		},
		{
			name:     "all avoided",
			verdicts: map[string]suspicion.Verdict{"a": suspicion.Avoided, "b": suspicion.Avoided, "c": suspicion.Avoided},
			chosen:   []string{"a", "b", "c"},
		},
	}
	for _, cse := range cases {
		tst.Run(cse.name, func(tst *testing.T) {
			fix := newFixture()
			for _, name := range []string{"a", "b", "c"} {
				fix.group(name, "a", serverregistry.Open)
			}
			fix.verdicts = cse.verdicts
			counts, err := fix.counts(30, 0)
			qt.Assert(tst, err, qt.IsNil)
			for _, name := range cse.chosen {
				qt.Assert(tst, counts[name] > 0, qt.IsTrue)
				delete(counts, name)
			}
			qt.Assert(tst, counts, qt.HasLen, 0)
		})
	}
}

// Guards against stalls of engines that are known only once a response is overdue that has not begun, and against reports of
// engines whose streams wait for a slow caller, or that all are silent because the link of this daemon failed.
func TestSilentStreamsRevealStalls(tst *testing.T) {
	fix := newFixture()
	groups := []string{"a", "b", "c"}
	picks := map[string]placement.Pick{}
	for _, name := range groups {
		fix.group(name, "a", serverregistry.Open)
	}
	for len(picks) < len(groups) {
		pck, err := fix.plm.Choose(placement.Request{
			Service:      fix.svc,
			Model:        "recipes",
			PromptTokens: 1000,
		}, fix.now)
		qt.Assert(tst, err, qt.IsNil)
		if _, ok := picks[pck.Server.ID]; ok {
			pck.Release()
			continue
		}
		picks[pck.Server.ID] = pck
		pck.ResponseBegan()
	}
	// A pass takes 53 ms: five steps of 6.24 ms, and 22 ms for a prompt.
	pass := func(span time.Duration, writing ...string) int {
		fix.clk.Advance(span)
		for _, name := range writing {
			fix.trk.RecordProgress(name, fix.clk.Now())
		}
		return len(fix.plm.ReportSilent(fix.clk.Now()))
	}
	qt.Assert(tst, pass(150*time.Millisecond, "b", "c"), qt.Equals, 0)
	qt.Assert(tst, pass(20*time.Millisecond, "b", "c"), qt.Equals, 1)
	qt.Assert(tst, fix.reported, qt.DeepEquals, []string{"a"})
	picks["a"].SetReading(false)
	qt.Assert(tst, pass(20*time.Millisecond, "b", "c"), qt.Equals, 0)
	picks["a"].SetReading(true)
	qt.Assert(tst, pass(150*time.Millisecond, "b", "c"), qt.Equals, 0)
	qt.Assert(tst, pass(300*time.Millisecond), qt.Equals, 0)
	picks["a"].Release()
	qt.Assert(tst, pass(0, "b"), qt.Equals, 1)
	// The pause of b is known from here on: it is slower than the step model says.
	for range 3 {
		qt.Assert(tst, pass(300*time.Millisecond, "c"), qt.Equals, 0)
		qt.Assert(tst, pass(0, "b", "c"), qt.Equals, 0)
	}
	qt.Assert(tst, pass(410*time.Millisecond, "c"), qt.Equals, 1)
}
