package requests_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/fleet"
)

// TestStopInterruptsNoRequest guards against a planned stop of a daemon that interrupts a request, whether a caller
// sent it or another daemon forwarded it, or that rejects requests before the load balancer can have noticed the
// failed readiness check.
func TestStopInterruptsNoRequest(tst *testing.T) {
	env := start(tst, fleet.Config{EntryVMs: 2, VMsPerDomain: 4}, 2, "two")
	stopping := env.Entries[1]
	var wgr sync.WaitGroup
	stream := func(ent *fleet.Entry, prompt string, tokens int, streamed bool) {
		wgr.Go(func() {
			cpl := &completion{}
			err := cpl.post(env.ctx, ent, body(prompt, tokens, streamed), nil)
			if qt.Check(tst, err, qt.IsNil, qt.Commentf("%s", prompt)) {
				checkCompletion(tst, cpl, prompt, tokens)
			}
		})
	}
	stream(env.Entries[0], "forwarded", 800, true)
	stream(env.Entries[0], "forwarded whole", 700, false)
	stream(stopping, "own", 200, true)
	stream(stopping, "own whole", 200, false)
	env.eventually("four streams are running", func() bool { return env.runningStreams() == 4 })

	exit := make(chan int, 1)
	go func() { exit <- stopping.Terminate(20 * time.Second) }()
	env.eventually("readiness fails", func() bool { return statusCode("http://"+stopping.Address+"/readyz") == http.StatusServiceUnavailable })
	time.Sleep(500 * time.Millisecond)
	stream(stopping, "in the notice", 100, true)
	time.Sleep(900 * time.Millisecond)
	sta, prb, hdr, err := sendRequest(stopping, http.MethodPost, "/v1/completions", nil, []byte(body("late", 5, false)))
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, sta, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(tst, prb.Outcome, qt.Equals, "NotRun")
	qt.Assert(tst, hdr.Get("Retry-After"), qt.Equals, "1")
	wgr.Wait()
	qt.Assert(tst, <-exit, qt.Equals, 0)
	qt.Assert(tst, env.metricValue(env.Entries[0], "StreamsResumed"), qt.Equals, 0, qt.Commentf("a forwarded stream was interrupted"))
}
