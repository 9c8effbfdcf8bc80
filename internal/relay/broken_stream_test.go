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

// serveConnections returns the address of a backend server that reads one request on each connection, calls answer and closes the
// connection.
func serveConnections(tst *testing.T, answer func(con net.Conn)) string {
	lst, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tst, err, qt.IsNil)
	tst.Cleanup(func() { lst.Close() })
	go func() {
		for {
			con, err := lst.Accept()
			if err != nil {
				return
			}
			go func() {
				defer con.Close()
				if _, err := http.ReadRequest(bufio.NewReader(con)); err == nil {
					answer(con)
				}
			}()
		}
	}()
	return lst.Addr().String()
}

// rawServer returns the address of a backend server that answers each request with text and closes the connection.
func rawServer(tst *testing.T, text string) string {
	return serveConnections(tst, func(con net.Conn) { _, _ = io.WriteString(con, text) })
}

const (
	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
	// openHead begins a stream that has no length and ends with its connection.
	openHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	// longHead begins a stream that breaks off before its length.
	longHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 1000\r\n\r\n"
)

// fetch sends one request through a listener and returns the status and body that the caller gets; the error is that of
// reading the body.
func (fix *fixture) fetch() (int, string, error) {
	srv := httptest.NewServer(fix.handler())
	defer srv.Close()
	req, err := http.NewRequest(http.MethodGet, srv.URL+"/status", nil)
	qt.Assert(fix.tst, err, qt.IsNil)
	req.Host = "shop"
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

// checkWholeStream sends one request and checks that the caller gets both events.
func (fix *fixture) checkWholeStream() {
	status, body, err := fix.fetch()
	qt.Check(fix.tst, err, qt.IsNil)
	qt.Check(fix.tst, status, qt.Equals, http.StatusOK)
	qt.Check(fix.tst, body, qt.Equals, firstEvent+secondEvent)
}

// Guards against a stream without a length that breaks off inside an event and is passed on as complete.
func TestStreamThatEndsInsideAnEventIsBroken(tst *testing.T) {
	for _, head := range []string{openHead, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 21\r\n\r\n"} {
		broken := rawServer(tst, head+firstEvent+"id: 2\n")
		fix := &fixture{
			tst:         tst,
			addresses:   []string{broken, rawServer(tst, openHead+firstEvent+secondEvent)},
			retriesLeft: 1,
		}
		status, body, err := fix.fetch()
		qt.Assert(tst, err, qt.IsNil)
		qt.Assert(tst, status, qt.Equals, http.StatusOK)
		qt.Assert(tst, body, qt.Equals, firstEvent+secondEvent)
		// Without another server the caller must see that the stream is not complete.
		fix = &fixture{
			tst:       tst,
			addresses: []string{broken},
		}
		_, body, err = fix.fetch()
		qt.Assert(tst, err, qt.IsNotNil)
		qt.Assert(tst, body, qt.Equals, firstEvent)
	}
}

// Guards against the text of an error in the middle of a stream, and against a stream that ends as if it were complete, when
// the server that is to go on with it answers with anything but a stream.
func TestErrorAfterTheStreamBeganIsNotForwarded(tst *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nwrong",
		"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/event-stream\r\n\r\ndata: wrong\n\n",
		"HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nwrong",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n\r\nwrong",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
		"HTTP/1.1 200 OK\r\n\r\nwrong",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Encoding: gzip\r\n\r\nwrong\n\n",
		"wrong\r\n\r\n",
	} {
		fix := &fixture{
			tst:         tst,
			addresses:   []string{rawServer(tst, longHead+firstEvent), rawServer(tst, answer)},
			retriesLeft: 10,
		}
		_, body, err := fix.fetch()
		qt.Assert(tst, err, qt.IsNotNil, qt.Commentf("%q", answer))
		qt.Assert(tst, body, qt.Equals, firstEvent, qt.Commentf("%q", answer))
	}
}

// Guards against an answer with an empty or short body that is framed as whole, when a server stops inside the head or the
// body of its answer.
func TestAnswerThatStopsInItsHeadIsNotForwarded(tst *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nX-Seal: some-seal\r\nContent-Length: 12\r\n\r\nwhole answer"
	for cut := range len(whole) {
		fix := &fixture{
			tst:       tst,
			addresses: []string{rawServer(tst, whole[:cut])},
		}
		status, body, err := fix.fetch()
		qt.Assert(tst, err, qt.IsNil)
		qt.Assert(tst, status, qt.Equals, http.StatusBadGateway, qt.Commentf("cut after %q: %q", whole[:cut], body))
	}
}
