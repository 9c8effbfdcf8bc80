package feeding_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/feeding"
)

// TestWhoFeeds guards against a site that nobody feeds, or that all feed, while some daemon has the store's word.
func TestWhoFeeds(tst *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	fresh, stale := now.Add(-time.Second), now.Add(-4*time.Second)
	type word struct {
		name      string
		confirmed time.Time
		leads     bool
	}
	cases := []struct {
		name      string
		words     []word
		confirmed time.Time
		leads     bool
		want      bool
	}{
		{
			name:      "alone",
			confirmed: fresh,
			want:      true,
		},
		{
			name:      "own copy is old",
			confirmed: stale,
			leads:     true,
		},
		{
			name:      "a lower name has the store's word",
			words:     []word{{"a", fresh, false}},
			confirmed: fresh,
		},
		{
			name:      "a lower name is cut off from the store",
			words:     []word{{"a", stale, false}},
			confirmed: fresh,
			want:      true,
		},
		{
			name:      "a higher name has the store's word",
			words:     []word{{"z", fresh, false}},
			confirmed: fresh,
			want:      true,
		},
		{
			name:      "another one leads",
			words:     []word{{"z", fresh, true}},
			confirmed: fresh,
		},
		{
			name:      "the leader's copy is old",
			words:     []word{{"z", stale, true}},
			confirmed: fresh,
			want:      true,
		},
		{
			name:      "leads, and a lower name has the store's word",
			words:     []word{{"a", fresh, false}},
			confirmed: fresh,
			leads:     true,
			want:      true,
		},
		{
			name:      "the word of the holder before is still young",
			words:     []word{{"a", fresh, true}},
			confirmed: fresh,
			leads:     true,
		},
	}
	for _, cse := range cases {
		tst.Run(cse.name, func(tst *testing.T) {
			fdg := feeding.New("m")
			for _, wrd := range cse.words {
				fdg.Heard(wrd.name, wrd.confirmed, wrd.leads)
			}
			qt.Check(tst, fdg.Feeds(cse.confirmed, cse.leads, now), qt.Equals, cse.want)
		})
	}
}
