package requests_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/fleet"
)

// Guards against a planned stop that interrupts a request, its own or a forwarded one, or that refuses
// requests before the balancer can have noticed.
func TestStopInterruptsNoRequest(tst *testing.T) {
	wld := start(tst, fleet.Config{EntryVMs: 2, VMsPerDomain: 4}, 2, "two")
	stopping := wld.Entries[1]
	var wgr sync.WaitGroup
	stream := func(ent *fleet.Entry, prompt string, tokens int, streamed bool) {
		wgr.Go(func() {
			ans := &answer{}
			err := ans.post(wld.ctx, ent, body(prompt, tokens, streamed), nil)
			if qt.Check(tst, err, qt.IsNil, qt.Commentf("%s", prompt)) {
				check(tst, ans, prompt, tokens)
			}
		})
	}
	stream(wld.Entries[0], "forwarded", 800, true)
	stream(wld.Entries[0], "forwarded whole", 700, false)
	stream(stopping, "own", 200, true)
	stream(stopping, "own whole", 200, false)
	wld.eventually("four streams", func() bool { return wld.running() == 4 })

	exit := make(chan int, 1)
	go func() { exit <- stopping.Terminate(20 * time.Second) }()
	wld.eventually("readiness fails", func() bool { return status("http://"+stopping.Address+"/readyz") == http.StatusServiceUnavailable })
	time.Sleep(500 * time.Millisecond)
	stream(stopping, "in the notice", 100, true)
	time.Sleep(900 * time.Millisecond)
	sta, prb, hdr, err := send(stopping, http.MethodPost, "/v1/completions", nil, []byte(body("late", 5, false)))
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, sta, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(tst, prb.Outcome, qt.Equals, "NotRun")
	qt.Assert(tst, hdr.Get("Retry-After"), qt.Equals, "1")
	wgr.Wait()
	qt.Assert(tst, <-exit, qt.Equals, 0)
	qt.Assert(tst, wld.value(wld.Entries[0], "StreamsResumed"), qt.Equals, 0, qt.Commentf("a forwarded stream was interrupted"))
}
