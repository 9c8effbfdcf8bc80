package rejections_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/rejections"
)

var start = time.Unix(1000, 0)

// Guards against a retry that counts as a new request at another daemon: one daemon rejects a request, and another,
// which receives the mark through a hub, receives the retry.
func TestRetryIsRecognizedByOtherDaemons(tst *testing.T) {
	first, hub, second := rejections.New(), rejections.New(), rejections.New()
	first.RecordRejection(7, start, start)
	hub.Receive(first.TakeUnsent(), true, start.Add(100*time.Millisecond))
	second.Receive(hub.TakeUnsent(), false, start.Add(200*time.Millisecond))
	now := start.Add(700 * time.Millisecond)
	qt.Assert(tst, first.SinceFirstArrival(7, now), qt.Equals, 700*time.Millisecond)
	qt.Assert(tst, second.SinceFirstArrival(7, now), qt.Equals, 500*time.Millisecond)
	qt.Assert(tst, second.SinceFirstArrival(8, now), qt.Equals, time.Duration(0))
	// Each mark is sent once, and only forwarded by daemons that must forward it.
	qt.Assert(tst, first.TakeUnsent(), qt.HasLen, 0)
	qt.Assert(tst, hub.TakeUnsent(), qt.HasLen, 0)
	qt.Assert(tst, second.TakeUnsent(), qt.HasLen, 0)
	hub.Receive([]rejections.Mark{7}, true, now)
	qt.Assert(tst, hub.TakeUnsent(), qt.HasLen, 0)
}

// Guards against marks that never expire, and against an unbounded number of marks.
func TestMarksExpireAndAreBounded(tst *testing.T) {
	trk := rejections.New()
	trk.RecordRejection(1, start, start)
	qt.Assert(tst, trk.SinceFirstArrival(1, start.Add(5*time.Second)), qt.Equals, time.Duration(0))
	for num := range rejections.Mark(10000) {
		trk.RecordRejection(num+2, start, start)
	}
	qt.Assert(tst, trk.SinceFirstArrival(2, start), qt.Equals, time.Duration(0))
	qt.Assert(tst, trk.SinceFirstArrival(10001, start.Add(time.Second)), qt.Equals, time.Second)
	qt.Assert(tst, len(trk.TakeUnsent()) < 10000, qt.IsTrue)
}
