package feeding_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/feeding"
)

// TestWhoFeeds guards against a zone that no daemon feeds, or all of them, while some hub has a current copy.
func TestWhoFeeds(tst *testing.T) {
	type word struct {
		name    string
		current bool
		age     time.Duration
	}
	cases := []struct {
		name    string
		words   []word
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
			name: "own copy is old",
			hubs: []string{"m"},
		},
		{
			name:    "no hub",
			current: true,
			hubs:    []string{"a", "b"},
		},
		{
			name:    "the first hub's copy is current",
			words:   []word{{"a", true, 0}},
			current: true,
			hubs:    []string{"a", "m"},
		},
		{
			name:    "the first hub's copy is old",
			words:   []word{{"a", false, 0}},
			current: true,
			hubs:    []string{"a", "m"},
			want:    true,
		},
		{
			name:    "the first hub has fallen silent",
			words:   []word{{"a", true, time.Second}},
			current: true,
			hubs:    []string{"a", "m"},
			want:    true,
		},
		{
			name:    "the first hub has never spoken",
			current: true,
			hubs:    []string{"a", "m"},
			want:    true,
		},
		{
			name:    "the second hub's copy is current",
			words:   []word{{"z", true, 0}},
			current: true,
			hubs:    []string{"m", "z"},
			want:    true,
		},
		{
			name:    "a daemon that is no hub has a lower name",
			words:   []word{{"a", true, 0}},
			current: true,
			hubs:    []string{"m", "z"},
			want:    true,
		},
	}
	for _, cse := range cases {
		tst.Run(cse.name, func(tst *testing.T) {
			clk := clockwork.NewFakeClock()
			fdg := feeding.New("m", 1, clk)
			for _, wrd := range cse.words {
				fdg.Hear(wrd.name, feeding.Word{
					Current: wrd.current,
				})
				clk.Advance(wrd.age)
			}
			qt.Check(tst, fdg.Feeds(fdg.Say(cse.current, nil), cse.hubs), qt.Equals, cse.want)
		})
	}
}

// TestEcho guards against a copy that counts as current by a frame that waited on its way or was meant for a process
// before this one: its age is bounded by the receiver's own stamp.
func TestEcho(tst *testing.T) {
	clk := clockwork.NewFakeClock()
	feeder := feeding.New("a", 1, clk)
	fed := feeding.New("b", 2, clk)
	reborn := feeding.New("b", 3, clk)
	qt.Check(tst, feeder.For("b", nil), qt.DeepEquals, feeding.Feed{}, qt.Commentf("nobody is fed before it was heard"))

	clk.Advance(time.Second)
	feeder.Hear("b", fed.Say(true, nil))
	clk.Advance(time.Second)
	frm := feeder.For("b", nil)
	at := clk.Now()
	clk.Advance(time.Minute)
	sent, ok := fed.SentAt(frm)
	qt.Check(tst, ok, qt.IsTrue)
	qt.Check(tst, sent, qt.Equals, at)
	_, ok = reborn.SentAt(frm)
	qt.Check(tst, ok, qt.IsFalse)
}
