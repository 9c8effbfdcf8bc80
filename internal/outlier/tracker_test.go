package outlier_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/outlier"
)

// Guards against sending requests on to a server that fails 45% of them while its health check is good: it must be
// ejected for most of the time.
func TestServerThatFailsPartOfItsRequestsIsEjected(tst *testing.T) {
	trk := outlier.New()
	now := time.Unix(1000, 0)
	used := 0
	for idx := range 600 {
		now = now.Add(50 * time.Millisecond)
		if !trk.Usable("vm-1", now) {
			continue
		}
		used++
		if idx%20 < 9 {
			trk.RecordFailure("vm-1", now)
		} else {
			trk.RecordSuccess("vm-1", now)
		}
	}
	qt.Assert(tst, used < 300, qt.IsTrue, qt.Commentf("used for %d of 600 requests", used))
}

// Guards against ejecting a healthy server that answers one in seven requests with an error of the application.
func TestUsualFailuresAreTolerated(tst *testing.T) {
	trk := outlier.New()
	now := time.Unix(1000, 0)
	for idx := range 700 {
		now = now.Add(50 * time.Millisecond)
		if idx%7 == 0 {
			trk.RecordFailure("vm-1", now)
		} else {
			trk.RecordSuccess("vm-1", now)
		}
		qt.Assert(tst, trk.Usable("vm-1", now), qt.IsTrue)
	}
}

// Guards against a server that stays ejected after it has recovered.
func TestServerIsTriedAgain(tst *testing.T) {
	trk := outlier.New()
	now := time.Unix(1000, 0)
	for range 5 {
		trk.Eject("vm-1", now)
		qt.Assert(tst, trk.Usable("vm-1", now), qt.IsFalse)
		now = now.Add(6 * time.Second)
		qt.Assert(tst, trk.Usable("vm-1", now), qt.IsTrue)
	}
}
