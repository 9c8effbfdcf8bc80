package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/relay"
)

// Guards against resets at a server's limit of connections that cannot be told from crashes, and against crashes that are taken for such
// resets: an earlier response on the connection, or a part of this one, shows that the server had accepted it.
func TestCrashStatesWhetherAnythingHadArrived(tst *testing.T) {
	for name, cse := range map[string]struct {
		// answer is written on a new connection. The connection is closed after the next request if that is read, at once otherwise.
		answer     string
		readsNext  bool
		unanswered bool
	}{
		"new connection": {
			unanswered: true,
		},
		"kept connection": {
			answer:    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer",
			readsNext: true,
		},
		"part of the head": {
			answer: "HTTP/1.1 2",
		},
		"part of the body": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nans",
		},
	} {
		tst.Run(name, func(tst *testing.T) {
			address := serveConnections(tst, func(con net.Conn) {
				_, _ = io.WriteString(con, cse.answer)
				if cse.readsNext {
					_, _ = http.ReadRequest(bufio.NewReader(con))
				}
			})
			fix := &fixture{
				tst:       tst,
				addresses: []string{address},
				attempts:  1,
				format:    namingFormat(),
			}
			hdl := fix.handler()
			for range 2 {
				hdl.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://shop/status", nil))
			}
			qt.Assert(tst, fix.crashes, qt.Not(qt.HasLen), 0)
			qt.Assert(tst, fix.crashes[0].Unanswered, qt.Equals, cse.unanswered)
			qt.Assert(tst, fix.crashes[0].Server.Address, qt.Equals, address)
		})
	}
}

// namingFormat returns a format by which requests have IDs, which responses name, so that connections are used again.
func namingFormat() *relay.HeaderFormat {
	latest := 0
	return &relay.HeaderFormat{
		ParseRequest: func(http.Header) (relay.RequestHeaders, error) {
			latest++
			return relay.RequestHeaders{
				RequestID: strconv.Itoa(latest),
			}, nil
		},
		RewriteRequest: func(http.Header, relay.ForwardHeaders) {},
		ParseResponse: func(*http.Response) relay.ResponseHeaders {
			return relay.ResponseHeaders{
				RequestID: strconv.Itoa(latest),
				Sealed:    true,
			}
		},
	}
}
