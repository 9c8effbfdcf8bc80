package relay_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// hanging returns the address of a backend server that answers no request.
func hanging(tst *testing.T) string {
	stop := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		select {
		case <-req.Context().Done():
		case <-stop:
		}
	}))
	tst.Cleanup(srv.Close)
	tst.Cleanup(func() { close(stop) })
	return srv.Listener.Addr().String()
}

// Guards against a call that waits at a hanging server until its objective has passed, although another server would
// answer in time. In an overload all calls take long, and an early retry would only add to it.
func TestHangingCallIsRetriedWithinItsObjective(tst *testing.T) {
	for _, cse := range []struct {
		usual   time.Duration
		within  time.Duration
		atLeast time.Duration
	}{
		{
			usual:  20 * time.Millisecond,
			within: 300 * time.Millisecond,
		},
		{
			usual:   130 * time.Millisecond,
			atLeast: 390 * time.Millisecond,
			within:  time.Second,
		},
	} {
		fix := &fixture{
			tst:         tst,
			addresses:   []string{hanging(tst), answering(tst, http.StatusOK)},
			retriesLeft: 1,
			objective:   300 * time.Millisecond,
			usualTime:   cse.usual,
		}
		start := time.Now()
		qt.Assert(tst, fix.get(), qt.Equals, http.StatusOK)
		took := time.Since(start)
		qt.Assert(tst, took < cse.within && took >= cse.atLeast, qt.IsTrue, qt.Commentf("calls usually take %v, this one took %v", cse.usual, took))
	}
}
