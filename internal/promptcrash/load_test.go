package promptcrash_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"github.com/cumintally/cumintally/internal/promptcrash"
)

const (
	// massEvents is the number of backend servers of a large site that fail most sends, and massReports the number of requests
	// that failed at each of them.
	massEvents  = 170
	massReports = 60
)

// massFailures is a tracker in an outage in which most sends fail.
type massFailures struct {
	trk *promptcrash.Tracker
	now time.Time
	num int
}

func newMassFailures() *massFailures {
	mfl := &massFailures{
		trk: promptcrash.New(func() float64 { return 0 }),
		now: time.Unix(1000, 0),
	}
	for range massEvents * massReports {
		mfl.recordCrash()
	}
	return mfl
}

func massParts(num int) []string {
	return []string{"system", fmt.Sprint("team", num%40), fmt.Sprint("session", num)}
}

func (mfl *massFailures) recordCrash() {
	mfl.num++
	mfl.now = mfl.now.Add(time.Millisecond)
	mfl.trk.RecordCrash(promptcrash.Crash{
		Model:   "large",
		Parts:   massParts(mfl.num),
		Request: fmt.Sprint(mfl.num),
		Event:   fmt.Sprint("vm-", mfl.num%massEvents),
	}, mfl.now)
}

// serveRequest does the work for one request: a crash and ten survivals come from other daemons, the request is checked, and
// it survives.
func (mfl *massFailures) serveRequest() {
	mfl.recordCrash()
	for idx := range 10 {
		mfl.trk.ReceiveSurvival(promptcrash.Survival{
			Model: "large",
			Parts: massParts(mfl.num*11 + idx),
			Age:   time.Second,
		}, mfl.now)
	}
	mfl.trk.Blocks("large", massParts(mfl.num*13), mfl.now)
	mfl.trk.RecordSurvival(promptcrash.Survival{
		Model: "large",
		Parts: massParts(mfl.num * 7),
	}, mfl.now)
}

// processorTime returns the processor time that this process has used.
func processorTime(tst *testing.T) time.Duration {
	var use unix.Rusage
	qt.Assert(tst, unix.Getrusage(unix.RUSAGE_SELF, &use), qt.IsNil)
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// Guards against daemons that are busy with the evidence of an outage in which most sends fail: 200 requests, of which a daemon
// gets about ten a second, must take no more than a tenth of a core.
func TestMassFailuresLeaveTheProcessorFree(tst *testing.T) {
	const (
		requests = 200
		most     = 2 * time.Second
	)
	load := newMassFailures()
	start := processorTime(tst)
	for range requests {
		load.now = load.now.Add(100 * time.Millisecond)
		load.serveRequest()
	}
	took := processorTime(tst) - start
	qt.Assert(tst, took <= most, qt.IsTrue, qt.Commentf("%d requests took %v", requests, took))
}

func BenchmarkMassFailures(bmk *testing.B) {
	load := newMassFailures()
	for bmk.Loop() {
		load.serveRequest()
	}
}
