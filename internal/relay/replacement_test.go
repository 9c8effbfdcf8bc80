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

// settled is longer than a request that is no longer wanted takes to end.
const settled = 100 * time.Millisecond
