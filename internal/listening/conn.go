package listening

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/callermemory"
	"github.com/cumintally/cumintally/internal/socket"
)

// headerCost is the number of bytes of memory for a byte of headers: many short fields occupy about four times their size once they
// are parsed.
const headerCost = 4

// conn is a connection of a client. While no request is in progress, what arrives on it counts as headers.
type conn struct {
	net.Conn
	guard *Guard
	host  string
	// received counts the bytes that were read.
	received atomic.Int64
	closed   sync.Once

	mu sync.Mutex
	// headers is the claim of the headers of the request that arrives or is in progress, nil if none of them has arrived.
	headers *callermemory.Claim
	// inProgress is set while a request is; since is when it was last changed.
	inProgress bool
	since      time.Time
	gone       bool
	// receivedBefore is received at the last call of unread, which the guard's lock guards.
	receivedBefore int64
}

func newConn(grd *Guard, raw net.Conn) *conn {
	host, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
	return &conn{
		Conn:  raw,
		guard: grd,
		host:  host,
		since: grd.clock.Now(),
	}
}

// Read reads from the connection and counts what arrives.
func (con *conn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	con.received.Add(int64(num))
	if num > 0 {
		if err := con.countHeaders(num); err != nil {
			_ = con.Close()
			return 0, errors.Trace(err)
		}
	}
	return num, err
}

func (con *conn) countHeaders(num int) error {
	con.mu.Lock()
	if con.inProgress || con.gone {
		con.mu.Unlock()
		return nil
	}
	if con.headers == nil {
		// Closing the connection ends the read that waits for the headers.
		con.headers = con.guard.budget.Open(con.host, func() { _ = con.Conn.Close() })
	}
	clm := con.headers
	con.mu.Unlock()
	return clm.Grow(int64(num) * headerCost)
}

// Write writes to the connection. It fails if the client reads nothing for the write timeout.
func (con *conn) Write(buf []byte) (int, error) {
	_ = con.SetWriteDeadline(time.Now().Add(con.guard.config.WriteTimeout))
	num, err := con.Conn.Write(buf)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		con.guard.slowCounter.Inc(1)
		con.guard.logger.Info("closing a connection whose client does not read its response", zap.String("client", con.host))
	}
	return num, err
}

// unread returns the number of received bytes that were not read, 0 if any were read since the last call.
func (con *conn) unread() int64 {
	got := con.received.Load()
	moved := got != con.receivedBefore
	con.receivedBefore = got
	tcp, ok := con.Conn.(*net.TCPConn)
	if moved || !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	num, err := socket.Unread(raw)
	if err != nil {
		return 0
	}
	return int64(num)
}

// CloseWrite closes the sending side, so that a client still receives what was sent before the connection is closed.
func (con *conn) CloseWrite() error {
	if tcp, ok := con.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives its memory back.
func (con *conn) Close() error {
	con.closed.Do(func() {
		con.guard.remove(con)
		con.mu.Lock()
		con.gone = true
		clm := con.headers
		con.mu.Unlock()
		clm.Close()
	})
	return con.Conn.Close()
}

// beginRequest records that the headers of a request have arrived. It reports whether the request was not dropped before.
func (con *conn) beginRequest() bool {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.inProgress = true
	con.since = con.guard.clock.Now()
	return !con.gone && con.headers.Complete()
}

// awaitRequest records that the request in progress has ended.
func (con *conn) awaitRequest() {
	con.mu.Lock()
	clm := con.headers
	con.headers = nil
	con.inProgress = false
	con.since = con.guard.clock.Now()
	con.mu.Unlock()
	clm.Close()
}

// waitingSince returns since when no request is in progress, and whether none is.
func (con *conn) waitingSince() (time.Time, bool) {
	con.mu.Lock()
	defer con.mu.Unlock()
	return con.since, !con.inProgress
}
