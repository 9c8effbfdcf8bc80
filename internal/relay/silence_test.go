package relay_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
)

// pausing returns the address of a backend server that falls silent for pause between the parts of each answer, and the number of
// connections that were closed before their answer was complete.
func pausing(tst *testing.T, pause time.Duration, parts ...string) (string, *atomic.Int32) {
	var givenUp atomic.Int32
	server := serveConnections(tst, func(con net.Conn) {
		for num, part := range parts {
			if num > 0 && closedWithin(con, pause) {
				givenUp.Add(1)
				return
			}
			_, _ = io.WriteString(con, part)
		}
	})
	return server, &givenUp
}

// closedWithin waits for span and reports whether the peer closes the connection meanwhile.
func closedWithin(con net.Conn, span time.Duration) bool {
	_ = con.SetReadDeadline(time.Now().Add(span))
	_, err := con.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// silence is longer than the time after which the relay takes calls and streams for stalled.
const silence = 1500 * time.Millisecond

// silentAnswers holds the parts of answers between which a server falls silent.
var silentAnswers = map[string][]string{
	"call before its head":          {"", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"},
	"call inside its body":          {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nans", "wer"},
	"stream before its head":        {"", openHead + firstEvent + secondEvent},
	"stream before its first event": {openHead, firstEvent + secondEvent},
	"stream between two events":     {openHead + firstEvent, secondEvent},
	"stream inside an event":        {openHead + firstEvent + "id: 2\n", "data: b\n\n"},
}

// Guards against answers in progress that are given up because their server is silent, although the request can be sent to no other
// server: no retry is left, or no server is.
func TestSilenceWithoutReplacementEndsNoAnswer(tst *testing.T) {
	for name, parts := range silentAnswers {
		for _, lack := range []string{"no retry left", "no other server"} {
			tst.Run(name+", "+lack, func(tst *testing.T) {
				tst.Parallel()
				server, givenUp := pausing(tst, silence, parts...)
				fix := &fixture{
					tst:       tst,
					addresses: []string{server},
				}
				if lack == "no other server" {
					fix.retriesLeft = 1
					fix.choicesLeft = 1
				}
				status, body, err := fix.fetch()
				qt.Check(tst, err, qt.IsNil)
				qt.Check(tst, status, qt.Equals, http.StatusOK)
				qt.Check(tst, body == "answer" || body == firstEvent+secondEvent, qt.IsTrue, qt.Commentf("%q", body))
				qt.Check(tst, givenUp.Load(), qt.Equals, int32(0))
				qt.Check(tst, fix.retriesLeft >= 0, qt.IsTrue)
				qt.Check(tst, fix.inFlight.Load(), qt.Equals, int32(0))
			})
		}
	}
}

// Guards against answers that wait for a silent server although another one would serve them, also one that is found later.
func TestSilentAnswerMovesOnceItHasAReplacement(tst *testing.T) {
	for name, parts := range silentAnswers {
		tst.Run(name, func(tst *testing.T) {
			tst.Parallel()
			server, givenUp := pausing(tst, time.Minute, parts...)
			other, _ := pausing(tst, 0, "", strings.Join(parts, ""))
			fix := &fixture{
				tst:         tst,
				addresses:   []string{server, other},
				retriesLeft: 1,
				choicesLeft: 1,
			}
			time.AfterFunc(silence, func() { fix.allowChoices(1) })
			start := time.Now()
			status, body, err := fix.fetch()
			qt.Check(tst, err, qt.IsNil)
			qt.Check(tst, status, qt.Equals, http.StatusOK)
			qt.Check(tst, body == "answer" || body == firstEvent+secondEvent, qt.IsTrue, qt.Commentf("%q", body))
			qt.Check(tst, time.Since(start) >= silence, qt.IsTrue)
			time.Sleep(settled)
			qt.Check(tst, givenUp.Load(), qt.Equals, int32(1))
			qt.Check(tst, fix.retriesLeft, qt.Equals, 0)
			qt.Check(tst, fix.inFlight.Load(), qt.Equals, int32(0))
		})
	}
}

// longBody is longer than what is buffered before a response is forwarded.
var longBody = strings.Repeat("0123456789abcdef", 10<<10)

// longParts returns the parts of an answer with longBody, whose head states its length. The first part is longer than what is buffered.
func longParts(num int) []string {
	const begin = 96 << 10
	parts := []string{"HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(longBody)) + "\r\n\r\n" + longBody[:begin]}
	rest := longBody[begin:]
	for range num {
		parts = append(parts, rest[:(len(longBody)-begin)/num])
		rest = rest[(len(longBody)-begin)/num:]
	}
	return parts
}

// Guards against long answers that are cut once a part of them has been forwarded, when the time for stalled calls has passed, although
// bytes keep arriving and nothing can replace the rest (review/3).
func TestLongAnswerOfSlowServerIsForwardedWhole(tst *testing.T) {
	// The whole answer takes longer than the time after which a call counts as stalled.
	slow, givenUp := pausing(tst, silence/8, longParts(8)...)
	other, _ := pausing(tst, 0, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
	fix := &fixture{
		tst:         tst,
		addresses:   []string{slow, other},
		retriesLeft: 1,
	}
	status, body, err := fix.fetch()
	qt.Check(tst, err, qt.IsNil)
	qt.Check(tst, status, qt.Equals, http.StatusOK)
	qt.Check(tst, body == longBody, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
	qt.Check(tst, givenUp.Load(), qt.Equals, int32(0))
}

// Guards against a backend server that counts as busy, and as stalled, for good after an answer of it was cut.
func TestCutAnswerLeavesNothingInFlight(tst *testing.T) {
	fix := &fixture{
		tst:       tst,
		addresses: []string{rawServer(tst, longParts(2)[0])},
	}
	_, _, err := fix.fetch()
	qt.Check(tst, err, qt.IsNotNil)
	qt.Check(tst, fix.inFlight.Load(), qt.Equals, int32(0))
}

// slowCaller is a caller that takes long to read each part of a response.
type slowCaller struct {
	*httptest.ResponseRecorder

	wait time.Duration
}

func (slc slowCaller) Write(part []byte) (int, error) {
	time.Sleep(slc.wait)
	return slc.ResponseRecorder.Write(part)
}

// Guards against a server that counts as silent while a slow caller reads: the relay reads nothing meanwhile.
func TestSlowCallerIsNoSilence(tst *testing.T) {
	for name, answer := range map[string]string{
		"call":   "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer",
		"stream": openHead + firstEvent + secondEvent,
		"long":   strings.Join(longParts(1), ""),
	} {
		tst.Run(name, func(tst *testing.T) {
			tst.Parallel()
			server, _ := pausing(tst, 0, answer)
			fix := &fixture{
				tst:         tst,
				addresses:   []string{server},
				retriesLeft: 1,
				// The response arrives in an unknown number of parts, each of which takes the caller this long.
				timeout: 20 * silence,
			}
			rsp := httptest.NewRecorder()
			caller := slowCaller{
				ResponseRecorder: rsp,
				wait:             silence,
			}
			fix.handler().ServeHTTP(caller, httptest.NewRequest(http.MethodGet, "http://shop/status", nil))
			qt.Check(tst, rsp.Code, qt.Equals, http.StatusOK)
			qt.Check(tst, strings.HasSuffix(answer, rsp.Body.String()), qt.IsTrue)
			qt.Check(tst, fix.choices, qt.Equals, 1)
			qt.Check(tst, fix.retriesLeft, qt.Equals, 1)
		})
	}
}
