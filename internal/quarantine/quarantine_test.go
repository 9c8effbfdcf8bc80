package quarantine_test

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/quarantine"
)

// Guards against a fingerprint that crashes a third group, and against counting one crash twice.
func TestDecisionCountsDistinctCrashes(tst *testing.T) {
	qua := quarantine.New()
	now := time.Now()
	fpr := quarantine.FingerprintOf("model", "prompt")
	decide := func(at time.Time) quarantine.Decision {
		dec, _ := qua.Decide(fpr, at)
		return dec
	}
	qt.Assert(tst, decide(now), qt.Equals, quarantine.Clear)
	qt.Assert(tst, qua.RecordCrash(quarantine.Crash{Fingerprint: fpr, Event: "a"}, now), qt.IsTrue)
	qt.Assert(tst, qua.RecordCrash(quarantine.Crash{Fingerprint: fpr, Event: "a", Age: time.Second}, now), qt.IsFalse)
	qt.Assert(tst, decide(now), qt.Equals, quarantine.Suspect)
	qua.RecordCrash(quarantine.Crash{Fingerprint: fpr, Event: "b", Age: time.Minute}, now)
	dec, left := qua.Decide(fpr, now)
	qt.Assert(tst, dec, qt.Equals, quarantine.Quarantined)
	qt.Assert(tst, left, qt.Equals, quarantine.Period)
	qt.Assert(tst, decide(now.Add(quarantine.Period-time.Second)), qt.Equals, quarantine.Suspect)
	qt.Assert(tst, decide(now.Add(quarantine.Period)), qt.Equals, quarantine.Clear)
	qt.Assert(tst, quarantine.FingerprintOf("model", "other"), qt.Not(qt.Equals), fpr)
}

// Guards against two suspects that hold the same slot at the same time.
func TestHoldIsExclusiveUntilItExpires(tst *testing.T) {
	qua := quarantine.New()
	now := time.Now()
	qt.Assert(tst, qua.AcquireSlot("group", "one", now), qt.IsTrue)
	qt.Assert(tst, qua.AcquireSlot("group", "two", now), qt.IsFalse)
	qua.ReleaseSlot("group", "two")
	qt.Assert(tst, qua.AcquireSlot("group", "two", now), qt.IsFalse)
	qt.Assert(tst, qua.AcquireSlot("group", "one", now.Add(quarantine.SlotTime/2)), qt.IsTrue)
	qt.Assert(tst, qua.AcquireSlot("group", "two", now.Add(quarantine.SlotTime)), qt.IsFalse)
	qt.Assert(tst, qua.AcquireSlot("group", "two", now.Add(2*quarantine.SlotTime)), qt.IsTrue)
	qua.ReleaseSlot("group", "two")
	qt.Assert(tst, qua.AcquireSlot("group", "one", now), qt.IsTrue)
}

// Guards against memory use that grows with the number of crashing requests.
func TestRecordIsBounded(tst *testing.T) {
	qua := quarantine.New()
	now := time.Now()
	for idx := range 10100 {
		qua.RecordCrash(quarantine.Crash{Fingerprint: quarantine.FingerprintOf("model", strconv.Itoa(idx)), Event: "a"}, now.Add(time.Duration(idx)))
	}
	qt.Assert(tst, len(qua.Crashes(now)), qt.Equals, 10000)
	dec, _ := qua.Decide(quarantine.FingerprintOf("model", "10099"), now)
	qt.Assert(tst, dec, qt.Equals, quarantine.Suspect)
}

// Guards against copies of a request without known crashes on several groups at the same time.
func TestPlaceKeepsCopiesTogether(tst *testing.T) {
	qua := quarantine.New()
	now := time.Now()
	fpr := quarantine.FingerprintOf("model", "prompt")
	qt.Assert(tst, qua.PlaceCopy(fpr, "a", "", "one", now), qt.Equals, "a")
	qt.Assert(tst, qua.PlaceCopy(fpr, "b", "", "one", now), qt.Equals, "b", qt.Commentf("the sole holder moves"))
	qt.Assert(tst, qua.PlaceCopy(fpr, "c", "", "two", now), qt.Equals, "b")
	qt.Assert(tst, qua.PlaceCopy(fpr, "c", "", "one", now), qt.Equals, "b", qt.Commentf("the placement is shared"))
	qt.Assert(tst, qua.PlaceCopy(fpr, "c", "b", "two", now), qt.Equals, "c", qt.Commentf("b is out of service"))
	qt.Assert(tst, qua.PlaceCopy(fpr, "d", "b", "one", now), qt.Equals, "c")
	late := now.Add(quarantine.CopyPlacementTime)
	qt.Assert(tst, qua.PlaceCopy(fpr, "d", "", "three", late), qt.Equals, "d")
	qt.Assert(tst, qua.PlaceCopy(quarantine.FingerprintOf("model", "other"), "d", "", "four", now), qt.Equals, "d")
}
