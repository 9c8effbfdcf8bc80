package relay_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/bootclock"
)

// Guards against requests whose deadlines and timeouts come late after the VM was suspended, by the time of the suspension (found by the
// review of issue 42).
func TestDeadlinesHoldAfterSuspension(tst *testing.T) {
	const (
		timeout    = 100 * time.Millisecond
		suspension = 2 * time.Second
	)
	fix := &fixture{
		tst:       tst,
		addresses: []string{hanging(tst)},
		timeout:   timeout,
		attempts:  1,
		clock: &bootclock.Clock{
			Clock:     clockwork.NewRealClock(),
			Suspended: func() (time.Duration, error) { return suspension, nil },
		},
	}
	start := time.Now()
	qt.Assert(tst, fix.get(), qt.Equals, http.StatusGatewayTimeout)
	took := time.Since(start)
	qt.Assert(tst, took >= timeout && took < suspension/2, qt.IsTrue, qt.Commentf("%v", took))
}
