package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/explanation"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

// Guards against an explanation that changes what it explains (a request in flight, a cold server's rate, an ejection),
// and against one that differs from the choice.
func TestExplanationMatchesTheChoiceAndChangesNothing(tst *testing.T) {
	fix := newPromptFixture(time.Minute)
	holder := fix.read(tst)
	fix.group("partial", "a", serverregistry.Joining)
	fix.group("ejected", "a", serverregistry.Ready)
	fix.trk.Eject("ejected", fix.clk.Now())
	explain := func() (map[string]explanation.Candidate, error) {
		byServer := map[string]explanation.Candidate{}
		cnds, err := fix.plm.Explain(fix.req, fix.clk.Now())
		for _, cnd := range cnds {
			byServer[cnd.Server] = cnd
		}
		return byServer, err
	}
	for range 20 {
		got, err := explain()
		qt.Assert(tst, err, qt.IsNil)
		qt.Assert(tst, got, qt.HasLen, 4)
		qt.Assert(tst, got[holder].PrefillSaved, qt.Equals, 600*time.Millisecond)
		qt.Assert(tst, got[holder].Wait, qt.Equals, time.Duration(0))
		qt.Assert(tst, got[holder].Share > 0.99, qt.IsTrue, qt.Commentf("%v", got[holder].Share))
		qt.Assert(tst, got["partial"].Excluded, qt.Matches, ".*lacks a member")
		qt.Assert(tst, got["ejected"].Excluded, qt.Matches, "it is ejected.*")
	}
	qt.Assert(tst, fix.plm.Loads(), qt.HasLen, 0)
	fix.req.MaxUsefulForecast = func(time.Duration) time.Duration { return time.Millisecond }
	got, err := explain()
	qt.Assert(tst, errors.Is(err, placement.ErrBusy), qt.IsTrue)
	qt.Assert(tst, got[holder].Excluded, qt.Matches, ".*too late")
}

// Guards against using up the rate of a cold server: after any number of explanations it still gets all eight requests.
func TestExplanationTakesNothingFromALimit(tst *testing.T) {
	fix := newFixture()
	fix.group("cold", "a", serverregistry.Ready)
	head, _ := fix.reg.View().Server("cold")
	cold := *head
	cold.ColdUntil = fix.now.Add(time.Minute)
	fix.apply(cold)
	req := placement.Request{
		Service: fix.svc,
		Model:   "recipes",
	}
	for range 50 {
		_, err := fix.plm.Explain(req, fix.now)
		qt.Assert(tst, err, qt.IsNil)
	}
	chosen, _ := fix.counts(20, 0)
	qt.Assert(tst, chosen["cold"], qt.Equals, 8)
	_, err := fix.plm.Explain(req, fix.now)
	qt.Assert(tst, errors.Is(err, placement.ErrNoServer), qt.IsTrue)
}
