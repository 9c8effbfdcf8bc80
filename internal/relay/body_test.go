package relay_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/relay"
)

// newEcho starts a backend server that returns the body of each request, behind a relay for requests that have the given time.
func newEcho(tst *testing.T, timeout time.Duration) (front string, runs *atomic.Int32) {
	runs = &atomic.Int32{}
	back := httptest.NewServer(http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		runs.Add(1)
		body, _ := io.ReadAll(req.Body)
		_, _ = wrt.Write(body)
	}))
	tst.Cleanup(back.Close)
	fix := &fixture{
		tst:       tst,
		addresses: []string{back.Listener.Addr().String()},
		format: &relay.HeaderFormat{
			ParseRequest: func(http.Header) (relay.RequestHeaders, error) {
				return relay.RequestHeaders{
					Timeout: timeout,
				}, nil
			},
			RewriteRequest: func(http.Header, relay.ForwardHeaders) {},
			ParseResponse: func(*http.Response) relay.ResponseHeaders {
				return relay.ResponseHeaders{
					Sealed: true,
				}
			},
		},
	}
	srv := httptest.NewServer(fix.handler())
	tst.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), runs
}

// Guards against a body of several segments that reaches the backend server changed.
func TestBodyArrivesUnchanged(tst *testing.T) {
	front, _ := newEcho(tst, 10*time.Second)
	for _, size := range []int{0, 1, 4 << 10, 32 << 10, 32<<10 + 1, 50_000} {
		var text bytes.Buffer
		for num := 0; text.Len() < size; num++ {
			fmt.Fprintf(&text, "%d,", num)
		}
		body := text.Bytes()[:size]
		// A reader of an unknown type is sent in chunks.
		for _, src := range []io.Reader{bytes.NewReader(body), struct{ io.Reader }{bytes.NewReader(body)}} {
			req, err := http.NewRequest(http.MethodPost, "http://"+front+"/status", src)
			qt.Assert(tst, err, qt.IsNil)
			req.Host = "shop"
			res, err := http.DefaultClient.Do(req)
			qt.Assert(tst, err, qt.IsNil)
			got, err := io.ReadAll(res.Body)
			res.Body.Close()
			qt.Assert(tst, err, qt.IsNil)
			qt.Check(tst, bytes.Equal(got, body), qt.IsTrue, qt.Commentf("%d bytes: status %d, %d bytes", size, res.StatusCode, len(got)))
		}
	}
}

// Guards against connections that bodies hold without end, and against a rejected request that runs.
func TestBodyMustArriveBeforeTheDeadline(tst *testing.T) {
	front, runs := newEcho(tst, 200*time.Millisecond)
	for _, length := range []string{"Content-Length: 10", "Transfer-Encoding: chunked"} {
		con, err := net.Dial("tcp", front)
		qt.Assert(tst, err, qt.IsNil)
		defer con.Close()
		_, err = io.WriteString(con, "POST /status HTTP/1.1\r\nHost: shop\r\n"+length+"\r\n\r\n4\r\nabcd")
		qt.Assert(tst, err, qt.IsNil)
		_ = con.SetReadDeadline(time.Now().Add(10 * time.Second))
		reader := bufio.NewReader(con)
		res, err := http.ReadResponse(reader, nil)
		qt.Assert(tst, err, qt.IsNil)
		text, err := io.ReadAll(res.Body)
		qt.Assert(tst, err, qt.IsNil)
		qt.Check(tst, res.StatusCode, qt.Equals, http.StatusRequestTimeout)
		qt.Check(tst, strings.Contains(string(text), "NotRun"), qt.IsTrue)
		_, err = reader.ReadByte()
		qt.Check(tst, err, qt.ErrorIs, io.EOF)
	}
	qt.Check(tst, runs.Load(), qt.Equals, int32(0))
}
