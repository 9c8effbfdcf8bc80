package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a part of a response that looks complete, and against an empty success, when the caller closes its side of the
// connection: the relay takes it for gone and ends the request.
func TestEndedResponseOfHalfClosedCallerLooksIncomplete(tst *testing.T) {
	for name, parts := range silentAnswers {
		tst.Run(name, func(tst *testing.T) {
			tst.Parallel()
			server, _ := pausing(tst, silence, parts...)
			fix := &fixture{
				tst:       tst,
				addresses: []string{server},
			}
			srv := httptest.NewServer(fix.handler())
			defer srv.Close()
			con, err := net.Dial("tcp", srv.Listener.Addr().String())
			qt.Assert(tst, err, qt.IsNil)
			defer con.Close()
			_, err = io.WriteString(con, "GET /status HTTP/1.1\r\nHost: shop\r\n\r\n")
			qt.Assert(tst, err, qt.IsNil)
			qt.Assert(tst, con.(*net.TCPConn).CloseWrite(), qt.IsNil)
			res, err := http.ReadResponse(bufio.NewReader(con), nil)
			if err != nil {
				return
			}
			defer res.Body.Close()
			body, err := io.ReadAll(res.Body)
			whole := string(body) == "answer" || string(body) == firstEvent+secondEvent
			qt.Check(tst, err != nil || whole, qt.IsTrue, qt.Commentf("status %d, body %q", res.StatusCode, body))
		})
	}
}
