package relay_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// resetting returns the address of a backend server that resets each connection, as servers do beyond their limit of connections.
func resetting(tst *testing.T) string {
	return serveConnections(tst, func(con net.Conn) { _ = con.(*net.TCPConn).SetLinger(0) })
}

// uselessReplacements are backend servers that answer no request that is sent to them instead of another one.
var uselessReplacements = map[string]func(tst *testing.T) string{
	"declines":                  func(tst *testing.T) string { return answering(tst, http.StatusServiceUnavailable) },
	"fails":                     func(tst *testing.T) string { return answering(tst, http.StatusInternalServerError) },
	"closes the connection":     func(tst *testing.T) string { return rawServer(tst, "") },
	"resets the connection":     resetting,
	"is unreachable":            unreachable,
	"is silent":                 hanging,
	"is silent after its head":  func(tst *testing.T) string { return headOnly(tst, openHead) },
	"breaks off after its head": func(tst *testing.T) string { return rawServer(tst, openHead) },
}

// headOnly returns the address of a backend server that sends head and then nothing.
func headOnly(tst *testing.T, head string) string {
	return serveConnections(tst, func(con net.Conn) {
		_, _ = io.WriteString(con, head)
		_, _ = con.Read(make([]byte, 1))
	})
}

// Guards against responses in progress that are given up for a backend server that then does not answer (issue 51: LOST).
func TestResponseOutlastsUselessReplacement(tst *testing.T) {
	for name, parts := range silentAnswers {
		for fault, useless := range uselessReplacements {
			tst.Run(name+", replacement "+fault, func(tst *testing.T) {
				tst.Parallel()
				server, givenUp := pausing(tst, silence, parts...)
				fix := &fixture{
					tst:         tst,
					addresses:   []string{server, useless(tst)},
					retriesLeft: 1,
					choicesLeft: 2,
					// The test is not about servers that are reached late on a busy machine.
					connectSlack: time.Second,
				}
				status, body, err := fix.fetch()
				qt.Check(tst, err, qt.IsNil)
				qt.Check(tst, status, qt.Equals, http.StatusOK)
				qt.Check(tst, body == "answer" || body == firstEvent+secondEvent, qt.IsTrue, qt.Commentf("%q", body))
				qt.Check(tst, givenUp.Load(), qt.Equals, int32(0))
				time.Sleep(settled)
				qt.Check(tst, fix.inFlight.Load(), qt.Equals, int32(0))
			})
		}
	}
}

// Guards against a stalled response that waits for the next check once a replacement has declined, and against retries that are spent
// on servers that were not reached.
func TestNextReplacementIsTriedAtOnce(tst *testing.T) {
	server, _ := pausing(tst, time.Minute, silentAnswers["stream between two events"]...)
	other, _ := pausing(tst, 0, openHead+firstEvent+secondEvent)
	declining := answering(tst, http.StatusServiceUnavailable)
	fix := &fixture{
		tst:         tst,
		addresses:   []string{server, unreachable(tst), declining, declining, other},
		retriesLeft: 3,
		attempts:    3,
	}
	start := time.Now()
	fix.checkWholeStream()
	qt.Check(tst, fix.retriesLeft, qt.Equals, 0)
	took := time.Since(start)
	qt.Check(tst, took < stallAfter+2*stallInterval, qt.IsTrue, qt.Commentf("%v", took))
}

// stallAfter is the time after which a call counts as stalled, and stallInterval the time between two checks of it.
const (
	stallAfter    = 600 * time.Millisecond
	stallInterval = 150 * time.Millisecond
)

// settled is longer than a request that is no longer wanted takes to end.
const settled = 100 * time.Millisecond
