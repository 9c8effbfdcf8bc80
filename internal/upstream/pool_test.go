package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"github.com/cumintally/cumintally/internal/steppedclock"
	"github.com/cumintally/cumintally/internal/upstream"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// server is a TCP server that passes each request to reply, which writes the response, and counts connections.
type server struct {
	lst  net.Listener
	cons atomic.Int32
}

func newServer(tst *testing.T, reply func(con net.Conn, req *http.Request, num int) bool) *server {
	lst, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tst, err, qt.IsNil)
	srv := &server{
		lst: lst,
	}
	tst.Cleanup(func() { lst.Close() })
	go func() {
		for {
			con, err := lst.Accept()
			if err != nil {
				return
			}
			srv.cons.Add(1)
			go serve(con, reply)
		}
	}()
	return srv
}

func serve(con net.Conn, reply func(con net.Conn, req *http.Request, num int) bool) {
	defer con.Close()
	rdr := bufio.NewReader(con)
	for num := 0; ; num++ {
		req, err := http.ReadRequest(rdr)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil || !reply(con, req, num) {
			return
		}
	}
}

func write(con net.Conn, id, body string) {
	_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newPool() *upstream.Pool {
	return upstream.New((&net.Dialer{}).DialContext, clockwork.NewRealClock(), metrics.NewCounter())
}

func call(id string) upstream.Request {
	return upstream.Request{
		Method: http.MethodPost,
		Target: "/x",
		Host:   "shop",
		Header: http.Header{"Id": {id}},
		Body:   [][]byte{[]byte("body")},
		Match: func(res *http.Response) upstream.Match {
			switch res.Header.Get("Id") {
			case id:
				return upstream.Same
			case "":
				return upstream.Unnamed
			default:
				return upstream.Other
			}
		},
	}
}

// ask sends a call and returns the body of its response.
func ask(ctx context.Context, pol *upstream.Pool, adr, id string) (string, error) {
	con, err := pol.Get(ctx, adr)
	if err != nil {
		return "", err
	}
	rsp, err := con.Do(ctx, call(id))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(rsp.Body)
	rsp.Finish(err == nil)
	return string(body), err
}

func closePool(pol *upstream.Pool) {
	pol.Trim(func(string) bool { return false })
}

func TestConnectionsAreReused(tst *testing.T) {
	srv := newServer(tst, func(con net.Conn, req *http.Request, _ int) bool {
		write(con, req.Header.Get("Id"), "answer")
		return true
	})
	pol := newPool()
	defer closePool(pol)
	for num := range 5 {
		body, err := ask(tst.Context(), pol, srv.lst.Addr().String(), fmt.Sprint(num))
		qt.Assert(tst, err, qt.IsNil)
		qt.Assert(tst, body, qt.Equals, "answer")
	}
	qt.Assert(tst, srv.cons.Load(), qt.Equals, int32(1))
}

// Guards against a duplicate response to one request that is taken for the response to the next one, whether it
// arrives before or after the next request is sent.
func TestUnmatchedResponsesAreSkipped(tst *testing.T) {
	for _, pause := range []time.Duration{0, 30 * time.Millisecond} {
		srv := newServer(tst, func(con net.Conn, req *http.Request, _ int) bool {
			id := req.Header.Get("Id")
			write(con, id, "answer "+id)
			time.Sleep(pause)
			write(con, id, "stray "+id)
			return true
		})
		pol := newPool()
		for num := range 8 {
			id := fmt.Sprint(num)
			body, err := ask(tst.Context(), pol, srv.lst.Addr().String(), id)
			qt.Assert(tst, err, qt.IsNil)
			qt.Assert(tst, body, qt.Equals, "answer "+id)
		}
		closePool(pol)
	}
}

// Guards against an earlier refusal, written once more on a kept connection without the ID of its request, that is taken for
// the refusal of a request which the server runs. The first response on a connection needs no ID.
func TestUnnamedRefusalOnKeptConnectionIsNoAnswer(tst *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	srv := newServer(tst, func(con net.Conn, req *http.Request, num int) bool {
		_, _ = io.WriteString(con, refusal)
		if num > 0 {
			write(con, req.Header.Get("Id"), "answer")
		}
		return true
	})
	pol := newPool()
	defer closePool(pol)
	con, err := pol.Get(tst.Context(), srv.lst.Addr().String())
	qt.Assert(tst, err, qt.IsNil)
	rsp, err := con.Do(tst.Context(), call("1"))
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, rsp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	rsp.Finish(rsp.Discard() == nil)
	_, err = ask(tst.Context(), pol, srv.lst.Addr().String(), "2")
	qt.Assert(tst, errors.Is(err, upstream.ErrBroken), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(tst, srv.cons.Load(), qt.Equals, int32(1))
}

// Guards against the use of a pooled connection that the peer has closed.
func TestClosedConnectionsAreNotUsed(tst *testing.T) {
	srv := newServer(tst, func(con net.Conn, req *http.Request, _ int) bool {
		write(con, req.Header.Get("Id"), "answer")
		return false
	})
	pol := newPool()
	defer closePool(pol)
	for num := range 3 {
		_, err := ask(tst.Context(), pol, srv.lst.Addr().String(), fmt.Sprint(num))
		qt.Assert(tst, err, qt.IsNil)
		time.Sleep(20 * time.Millisecond)
	}
	qt.Assert(tst, srv.cons.Load(), qt.Equals, int32(3))
}

// Guards against reporting a request that may have run as not sent, and the reverse.
func TestErrorsReportWhetherBytesWereSent(tst *testing.T) {
	pol := newPool()
	defer closePool(pol)
	srv := newServer(tst, func(net.Conn, *http.Request, int) bool { return false })
	_, err := ask(tst.Context(), pol, srv.lst.Addr().String(), "1")
	qt.Assert(tst, errors.Is(err, upstream.ErrBroken), qt.IsTrue, qt.Commentf("%v", err))
	adr := srv.lst.Addr().String()
	srv.lst.Close()
	_, err = ask(tst.Context(), pol, adr, "2")
	qt.Assert(tst, errors.Is(err, upstream.ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against a truncated response that is taken for a complete one.
func TestTruncatedResponseIsAnError(tst *testing.T) {
	srv := newServer(tst, func(con net.Conn, req *http.Request, _ int) bool {
		_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 100\r\n\r\npart", req.Header.Get("Id"))
		return false
	})
	pol := newPool()
	defer closePool(pol)
	_, err := ask(tst.Context(), pol, srv.lst.Addr().String(), "1")
	qt.Assert(tst, err, qt.IsNotNil)
}

// Guards against a backend server that keeps working on a request whose caller has disconnected.
func TestCancelClosesTheConnection(tst *testing.T) {
	closed := make(chan struct{})
	srv := newServer(tst, func(con net.Conn, _ *http.Request, _ int) bool {
		defer close(closed)
		_, err := con.Read(make([]byte, 1))
		return err == nil
	})
	pol := newPool()
	defer closePool(pol)
	ctx, cancel := context.WithTimeout(tst.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := ask(ctx, pol, srv.lst.Addr().String(), "1")
	qt.Assert(tst, err, qt.IsNotNil)
	select {
	case <-closed:
	case <-time.After(time.Second):
		tst.Fatal("the connection stays open")
	}
}

// Guards against a server that seems to send nothing, or still to send, when the time of day is stepped.
func TestLastReadSurvivesClockSteps(tst *testing.T) {
	srv := newServer(tst, func(con net.Conn, req *http.Request, _ int) bool {
		write(con, req.Header.Get("Id"), "answer")
		return true
	})
	clk := steppedclock.New()
	pol := upstream.New((&net.Dialer{}).DialContext, clk, metrics.NewCounter())
	defer closePool(pol)
	adr := srv.lst.Addr().String()
	_, err := ask(tst.Context(), pol, adr, "1")
	qt.Assert(tst, err, qt.IsNil)
	clk.Step(5)
	qt.Assert(tst, clk.Since(pol.LastRead(adr)), qt.Equals, time.Duration(0))
	clk.Step(-10)
	clk.Advance(time.Second)
	qt.Assert(tst, clk.Since(pol.LastRead(adr)), qt.Equals, time.Second)
}
