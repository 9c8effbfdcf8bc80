package servicecall

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/standin/endless"
	"github.com/cumintally/cumintally/internal/standin/memory"
)

// Guards against memory exhaustion by calls to a faulty server that sends bytes without end (report of another operator): many of
// them at once must fit into a part of the 184 MB of the smallest VM.
func TestEndlessAnswersFitIntoMemory(t *testing.T) {
	const (
		calls = 100
		most  = 128 << 20
	)
	for name, handler := range map[string]http.HandlerFunc{
		"head":            endless.Handler("HTTP/1.1 200 OK\r\nX: ", "x"),
		"interim answers": endless.Handler("", "HTTP/1.1 102 Processing\r\n\r\n"),
		"body":            endless.Handler("HTTP/1.1 200 OK\r\n\r\n", "body"),
		"chunks":          endless.Handler("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			faulty := newBackendServer(t, handler)
			fix := newFixture(t, clockwork.NewRealClock(), faulty.vm())
			peak := memory.PeakGrowth(func() {
				var wgr sync.WaitGroup
				for range calls {
					wgr.Go(func() {
						if _, err := fix.cli.Call(context.Background(), bookingRequest("", 5*time.Second)); err == nil {
							t.Error("an endless answer was accepted")
						}
					})
				}
				wgr.Wait()
			})
			t.Logf("peak heap growth: %d MB", peak>>20)
			qt.Check(t, peak < most, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
		})
	}
}

// Guards against a long body that is cut and taken for a whole one, and a long whole one that is changed.
func TestLongBodies(t *testing.T) {
	whole := bytes.Repeat([]byte("0123456789"), maxResponseSize/10)
	for name, tcs := range map[string]struct {
		size     int
		sent     int
		accepted bool
	}{
		"short":        {size: maxShortBody, sent: maxShortBody, accepted: true},
		"long":         {size: maxShortBody + 2*pieceSize + 1, sent: maxShortBody + 2*pieceSize + 1, accepted: true},
		"longest":      {size: len(whole), sent: len(whole), accepted: true},
		"cut at start": {size: len(whole), sent: maxShortBody + 1},
		"cut in piece": {size: len(whole), sent: maxShortBody + pieceSize + pieceSize/2},
		"cut at piece": {size: len(whole), sent: maxShortBody + 1 + pieceSize},
	} {
		t.Run(name, func(t *testing.T) {
			up := newBackendServer(t, func(rsw http.ResponseWriter, _ *http.Request) {
				rsw.Header().Set("Content-Length", strconv.Itoa(tcs.size))
				_, _ = rsw.Write(whole[:tcs.sent])
			})
			fix := newFixture(t, clockwork.NewRealClock(), up.vm())
			rsp, err := fix.cli.Call(context.Background(), bookingRequest("", 5*time.Second))
			qt.Assert(t, err == nil, qt.Equals, tcs.accepted, qt.Commentf("%v", err))
			if tcs.accepted {
				qt.Assert(t, bytes.Equal(rsp.Body, whole[:tcs.size]), qt.IsTrue)
			}
		})
	}
}
