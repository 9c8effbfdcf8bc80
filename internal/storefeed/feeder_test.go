package storefeed_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/storefeed"
)

// TestFeedsZone guards against a zone that no daemon feeds, or that all of its hubs feed, while some hub has a current
// copy.
func TestFeedsZone(tst *testing.T) {
	type state struct {
		name    string
		current bool
		age     time.Duration
	}
	cases := []struct {
		name    string
		states  []state
		current bool
		hubs    []string
		want    bool
	}{
		{
			name:    "alone",
			current: true,
			hubs:    []string{"m"},
			want:    true,
		},
		{
			name: "own copy is stale",
			hubs: []string{"m"},
		},
		{
			name:    "not a hub",
			current: true,
			hubs:    []string{"a", "b"},
		},
		{
			name:    "the first hub's copy is current",
			states:  []state{{"a", true, 0}},
			current: true,
			hubs:    []string{"a", "m"},
		},
		{
			name:    "the first hub's copy is stale",
			states:  []state{{"a", false, 0}},
			current: true,
			hubs:    []string{"a", "m"},
			want:    true,
		},
		{
			name:    "the first hub has stopped reporting",
			states:  []state{{"a", true, time.Second}},
			current: true,
			hubs:    []string{"a", "m"},
			want:    true,
		},
		{
			name:    "the first hub has never reported",
			current: true,
			hubs:    []string{"a", "m"},
			want:    true,
		},
		{
			name:    "the second hub's copy is current",
			states:  []state{{"z", true, 0}},
			current: true,
			hubs:    []string{"m", "z"},
			want:    true,
		},
		{
			name:    "a daemon that is no hub has a lower name",
			states:  []state{{"a", true, 0}},
			current: true,
			hubs:    []string{"m", "z"},
			want:    true,
		},
	}
	for _, cse := range cases {
		tst.Run(cse.name, func(tst *testing.T) {
			clk := clockwork.NewFakeClock()
			fdr := storefeed.New("m", 1, clk)
			for _, ste := range cse.states {
				fdr.Receive(ste.name, storefeed.CopyState{
					Current: ste.current,
				})
				clk.Advance(ste.age)
			}
			qt.Check(tst, fdr.FeedsZone(fdr.State(cse.current, nil), cse.hubs), qt.Equals, cse.want)
		})
	}
}

// TestEcho guards against a copy that counts as current because of a frame that was delayed or that was sent to an
// earlier process of this daemon: the age of an update is bounded by the receiver's own echoed time.
func TestEcho(tst *testing.T) {
	clk := clockwork.NewFakeClock()
	feeder := storefeed.New("a", 1, clk)
	receiver := storefeed.New("b", 2, clk)
	restarted := storefeed.New("b", 3, clk)
	qt.Check(tst, feeder.UpdateFor("b", nil), qt.DeepEquals, storefeed.Update{}, qt.Commentf("a daemon is not fed before it has reported"))

	clk.Advance(time.Second)
	feeder.Receive("b", receiver.State(true, nil))
	clk.Advance(time.Second)
	upd := feeder.UpdateFor("b", nil)
	at := clk.Now()
	clk.Advance(time.Minute)
	sent, ok := receiver.EarliestSent(upd)
	qt.Check(tst, ok, qt.IsTrue)
	qt.Check(tst, sent, qt.Equals, at)
	_, ok = restarted.EarliestSent(upd)
	qt.Check(tst, ok, qt.IsFalse)
}
