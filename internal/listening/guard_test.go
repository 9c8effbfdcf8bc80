package listening_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/callermemory"
	"github.com/cumintally/cumintally/internal/listening"
	"github.com/cumintally/cumintally/internal/requestbody"
)

const (
	memory   = 1 << 20
	wholeOne = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
)

// edge is a guarded listener whose handler reads the body of each request.
type edge struct {
	tst     *testing.T
	address string
	metrics metrics.Registry
}

func newEdge(tst *testing.T, connections int, respond http.HandlerFunc) *edge {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tst, err, qt.IsNil)
	edg := &edge{
		tst:     tst,
		address: free.Addr().String(),
		metrics: metrics.NewRegistry(),
	}
	free.Close()
	bud := callermemory.New(callermemory.Config{
		Limit:       memory,
		CallerShare: memory,
	}, edg.metrics, clockwork.NewRealClock(), zap.NewNop())
	rdr := requestbody.New(bud)
	srvs, err := listening.Open([]listening.Listener{{
		Address:       edg.address,
		HeaderTimeout: time.Minute,
		Guard: listening.NewGuard(listening.GuardConfig{
			MaxConnections: connections,
			SocketBuffer:   64 << 10,
			MaxUnread:      memory / 16,
			WriteTimeout:   100 * time.Millisecond,
		}, bud, edg.metrics, clockwork.NewRealClock(), zap.NewNop()),
		Handler: http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
			bdy, err := rdr.Read(requestbody.Request{
				Writer:  wrt,
				Request: req,
				Caller:  "caller",
				MaxSize: memory / 2,
				Timeout: 10 * time.Second,
			})
			if err != nil {
				requestbody.Refuse(wrt, req, func() { http.Error(wrt, err.Error(), http.StatusServiceUnavailable) })
				return
			}
			defer bdy.Close()
			respond(wrt, req)
		}),
	}})
	qt.Assert(tst, err, qt.IsNil)
	tst.Cleanup(func() { srvs[0].Close() })
	return edg
}

func (edg *edge) dial(text string) net.Conn {
	con, err := net.Dial("tcp", edg.address)
	qt.Assert(edg.tst, err, qt.IsNil)
	edg.tst.Cleanup(func() { con.Close() })
	_, _ = io.WriteString(con, text)
	return con
}

func (edg *edge) eventually(cond func() bool) {
	edg.tst.Helper()
	for end := time.Now().Add(10 * time.Second); !cond(); time.Sleep(10 * time.Millisecond) {
		qt.Assert(edg.tst, time.Now().Before(end), qt.IsTrue)
	}
}

// status returns the status of the response that arrives on a connection, 0 if it is closed without one.
func status(con net.Conn) int {
	_ = con.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		return 0
	}
	return res.StatusCode
}

func ok(wrt http.ResponseWriter, _ *http.Request) { wrt.WriteHeader(http.StatusNoContent) }

// Guards against clients that use up the descriptors by connections without a request.
func TestWaitingConnectionsMakeRoom(tst *testing.T) {
	edg := newEdge(tst, 3, ok)
	waiting := []net.Conn{edg.dial(""), edg.dial("POST / HT"), edg.dial(wholeOne)}
	qt.Assert(tst, status(waiting[2]), qt.Equals, http.StatusNoContent)
	qt.Check(tst, status(edg.dial(wholeOne)), qt.Equals, http.StatusNoContent)
	qt.Check(tst, status(waiting[0]), qt.Equals, 0)
	open := metrics.GetOrRegisterGauge("CallerConnections", edg.metrics)
	qt.Check(tst, open.Value() <= 3, qt.IsTrue)
}

// Guards against clients that use up the descriptors by requests whose body does not arrive: the slowest one gets a response, and
// its connection closes.
func TestSlowestRequestMakesRoom(tst *testing.T) {
	edg := newEdge(tst, 2, ok)
	begun := strings.TrimSuffix(wholeOne, "y")
	slow := []net.Conn{edg.dial(begun), edg.dial(begun)}
	counted := metrics.GetOrRegisterGauge("CallerMemoryBytes", edg.metrics)
	// Both requests are in progress once a segment of each body is counted beyond the headers, which count four times.
	edg.eventually(func() bool { return counted.Value() > 2*4*int64(len(begun)) })
	edg.eventually(func() bool { return status(edg.dial(wholeOne)) == http.StatusNoContent })
	qt.Check(tst, status(slow[0]) == http.StatusServiceUnavailable || status(slow[1]) == http.StatusServiceUnavailable, qt.IsTrue)
}

// Guards against a response that a client does not receive since the connection is closed with unread bytes of its body.
func TestResponseReachesClientWhoseBodyWasNotRead(tst *testing.T) {
	edg := newEdge(tst, 10, ok)
	for range 10 {
		con := edg.dial(fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", memory, strings.Repeat("x", memory)))
		qt.Check(tst, status(con), qt.Equals, http.StatusServiceUnavailable)
	}
}

// Guards against the rejection of a legal body because of its framing while there is memory, and against a dropped request that gets no
// response: the stalled body is dropped for those that arrive.
func TestFramingCountsAsMemory(tst *testing.T) {
	edg := newEdge(tst, 10, ok)
	chunked := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", memory/12)
	stalled := edg.dial(chunked)
	counted := metrics.GetOrRegisterGauge("CallerMemoryBytes", edg.metrics)
	edg.eventually(func() bool { return counted.Value() > int64(len(chunked))-8<<10 })
	// The body has stood still for longer than a segment of the others takes.
	time.Sleep(500 * time.Millisecond)
	for range 3 {
		qt.Check(tst, status(edg.dial(chunked+"0\r\n\r\n")), qt.Equals, http.StatusNoContent)
	}
	qt.Check(tst, status(stalled), qt.Equals, http.StatusServiceUnavailable)
}

// Guards against clients that fill the kernel's buffers beside a request in progress, which is waiting for its response.
func TestUnreadDataIsBounded(tst *testing.T) {
	edg := newEdge(tst, 20, func(_ http.ResponseWriter, req *http.Request) {
		if req.Header.Get("Wait") != "" {
			<-req.Context().Done()
		}
	})
	for range 8 {
		con := edg.dial(strings.Replace(wholeOne, "Host", "Wait: 1\r\nHost", 1))
		go func() { _, _ = io.Copy(con, strings.NewReader(strings.Repeat("x", memory))) }()
	}
	closed := metrics.GetOrRegisterCounter("CallerUnreadClosed", edg.metrics)
	edg.eventually(func() bool { return status(edg.dial(wholeOne)) == http.StatusOK && closed.Count() > 0 })
}

// Guards against clients that do not read: the daemon keeps what it has to send for them, and their descriptors.
func TestClientThatDoesNotReadIsClosed(tst *testing.T) {
	failed := make(chan error, 1)
	edg := newEdge(tst, 10, func(wrt http.ResponseWriter, _ *http.Request) {
		_, err := wrt.Write(make([]byte, 64<<20))
		failed <- err
	})
	edg.dial(wholeOne)
	select {
	case err := <-failed:
		qt.Check(tst, err, qt.IsNotNil)
	case <-time.After(10 * time.Second):
		tst.Error("a response that nobody reads is still being written")
	}
}
