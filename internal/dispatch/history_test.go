package dispatch

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against duplicate events, an event of an earlier attempt after one of a later attempt, and a second final
// event. All of them can occur when a request is both resumed and forwarded.
func TestHistoryKeepsTheOrderOfOneAnswer(tst *testing.T) {
	his := newHistory()
	for _, cas := range []struct {
		attempt, sequence int
		finish            string
		kept              bool
	}{
		{attempt: 0, sequence: 0, kept: true},
		{attempt: 0, sequence: 1, kept: true},
		{attempt: 0, sequence: 1},
		{attempt: 0, sequence: 0},
		{attempt: 2, sequence: 0, kept: true},
		{attempt: 0, sequence: 2},
		{attempt: 2, sequence: 1, finish: "stop", kept: true},
		{attempt: 2, sequence: 2, finish: "stop"},
		{attempt: 3, sequence: 0},
	} {
		kept := his.add(Event{Attempt: cas.attempt, Sequence: cas.sequence, Text: "x", Finish: cas.finish})
		qt.Check(tst, kept, qt.Equals, cas.kept, qt.Commentf("%+v", cas))
	}
	qt.Assert(tst, his.receivedText(), qt.Equals, "xxxx")
	for _, cas := range []struct {
		attempt, sequence, idx int
		ok                     bool
	}{
		{attempt: 0, sequence: -1, idx: 0, ok: true},
		{attempt: 0, sequence: 0, idx: 1, ok: true},
		{attempt: 0, sequence: 1, idx: 2, ok: true},
		{attempt: 2, sequence: 0, idx: 3, ok: true},
		{attempt: 1, sequence: 0},
		{attempt: 2, sequence: 7},
	} {
		idx, ok := his.after(cas.attempt, cas.sequence)
		qt.Check(tst, idx, qt.Equals, cas.idx, qt.Commentf("%+v", cas))
		qt.Check(tst, ok, qt.Equals, cas.ok, qt.Commentf("%+v", cas))
	}
	his.end(nil)
	_, ok, err := his.next(context.Background(), 4)
	qt.Assert(tst, ok, qt.IsFalse)
	qt.Assert(tst, err, qt.IsNil)
}
