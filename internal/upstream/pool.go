package upstream

import (
	"bufio"
	"context"
	"io"
	"maps"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/cumintally/cumintally/internal/atomictime"
)

const (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.ConstError("upstream: request not sent")
	// ErrBroken means that the connection failed after bytes of the request may have reached the backend server.
	ErrBroken = errors.ConstError("upstream: connection broken")
	// ErrPathBroken means that what broke is known to be the path to the backend server.
	ErrPathBroken = errors.ConstError("upstream: path to the backend server broken")
)

const (
	// maxIdlePerServer limits the idle connections kept for one backend server. One daemon seldom has more requests in
	// flight at one backend server.
	maxIdlePerServer = 16
	// defaultIdleTimeout is how long an idle connection is kept if the backend server states no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the part of the stated idle timeout after which a connection is no longer used, so that no
	// request is sent while the backend server closes it.
	idleTimeoutShare = 0.7
	// dialTimeout limits connecting: a VM that is down or behind a partition does not respond.
	dialTimeout = 600 * time.Millisecond
	// readBufferSize is the read buffer in bytes; it holds the headers of a response and several events of a stream.
	readBufferSize = 4 << 10
)

// Pool holds the idle connections of one daemon to its backend servers.
type Pool struct {
	dial   func(ctx context.Context, network, adr string) (net.Conn, error)
	clock  clockwork.Clock
	dialed metrics.Counter

	mu   sync.Mutex
	idle map[string][]*Conn
	// lastReads holds when bytes last arrived on any connection that the pool dialed, by address.
	lastReads map[string]*atomictime.Time
}

// Conn is one connection; one request at a time uses it.
type Conn struct {
	net.Conn
	pool        *Pool
	address     string
	headLimit   *headLimiter
	reader      *bufio.Reader
	idleTimeout time.Duration
	idleSince   time.Time
	// singleUse is set if the connection serves one request only.
	singleUse bool
	// carried holds the IDs of the latest requests, among them the one in progress.
	carried []string
}

// New returns an empty pool that counts new connections in dialed.
func New(dial func(ctx context.Context, network, address string) (net.Conn, error), clock clockwork.Clock, dialed metrics.Counter) *Pool {
	return &Pool{
		dial:   dial,
		clock:  clock,
		dialed: dialed,
		idle:   map[string][]*Conn{},

		lastReads: map[string]*atomictime.Time{},
	}
}

// Get returns an idle connection to address that is still open, or dials a new one. Errors are ErrNotSent.
func (pol *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	if con, ok := pol.GetIdle(address); ok {
		return con, nil
	}
	return pol.Dial(ctx, address)
}

// Dial returns a new connection to address. Errors are ErrNotSent.
func (pol *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := pol.dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "connect to %s", address), ErrNotSent)
	}
	pol.dialed.Inc(1)
	return pol.newConn(raw, address, &timedReader{
		Reader: raw,
		clock:  pol.clock,
		last:   pol.lastReadOf(address),
	}), nil
}

// GetIdle returns an idle connection to address that is still open, and false if there is none.
func (pol *Pool) GetIdle(address string) (*Conn, bool) {
	for {
		con := pol.takeIdle(address)
		if con == nil {
			return nil, false
		}
		if pol.clock.Since(con.idleSince) < con.idleTimeout && con.isIdle() {
			return con, true
		}
		con.Close()
	}
}

// SingleUse returns a connection for one request over raw, a connection to address that the pool has not dialed.
func (pol *Pool) SingleUse(raw net.Conn, address string) *Conn {
	con := pol.newConn(raw, address, raw)
	con.singleUse = true
	return con
}

func (pol *Pool) newConn(raw net.Conn, address string, rdr io.Reader) *Conn {
	lmt := &headLimiter{
		Reader: rdr,
	}
	return &Conn{
		Conn:        raw,
		pool:        pol,
		address:     address,
		headLimit:   lmt,
		reader:      bufio.NewReaderSize(lmt, readBufferSize),
		idleTimeout: defaultIdleTimeout,
	}
}

// timedReader records when bytes arrive.
type timedReader struct {
	io.Reader
	clock clockwork.Clock
	last  *atomictime.Time
}

// Read records the time if it returns bytes.
func (trd *timedReader) Read(buf []byte) (int, error) {
	num, err := trd.Reader.Read(buf)
	if num > 0 {
		trd.last.Store(trd.clock.Now())
	}
	return num, err
}

func (pol *Pool) lastReadOf(address string) *atomictime.Time {
	pol.mu.Lock()
	defer pol.mu.Unlock()
	last, ok := pol.lastReads[address]
	if !ok {
		last = &atomictime.Time{}
		pol.lastReads[address] = last
	}
	return last
}

// LastRead returns when bytes last arrived on any connection to address that the pool dialed.
func (pol *Pool) LastRead(address string) time.Time {
	pol.mu.Lock()
	defer pol.mu.Unlock()
	last, ok := pol.lastReads[address]
	if !ok {
		return time.Time{}
	}
	return last.Load()
}

// CloseIdle closes the idle connections to address.
func (pol *Pool) CloseIdle(address string) {
	pol.mu.Lock()
	defer pol.mu.Unlock()
	for _, con := range pol.idle[address] {
		con.Close()
	}
	delete(pol.idle, address)
}

func (pol *Pool) takeIdle(adr string) *Conn {
	pol.mu.Lock()
	defer pol.mu.Unlock()
	cons := pol.idle[adr]
	if len(cons) == 0 {
		return nil
	}
	con := cons[len(cons)-1]
	pol.idle[adr] = cons[:len(cons)-1]
	return con
}

func (pol *Pool) putIdle(con *Conn) {
	con.idleSince = pol.clock.Now()
	pol.mu.Lock()
	defer pol.mu.Unlock()
	if len(pol.idle[con.address]) >= maxIdlePerServer {
		con.Close()
		return
	}
	pol.idle[con.address] = append(pol.idle[con.address], con)
}

// Trim closes connections whose idle timeout has passed and those to addresses for which keep returns false.
func (pol *Pool) Trim(keep func(adr string) bool) {
	pol.mu.Lock()
	defer pol.mu.Unlock()
	maps.DeleteFunc(pol.lastReads, func(adr string, _ *atomictime.Time) bool { return !keep(adr) })
	for adr, cons := range pol.idle {
		var left []*Conn
		for _, con := range cons {
			if keep(adr) && pol.clock.Since(con.idleSince) < con.idleTimeout {
				left = append(left, con)
			} else {
				con.Close()
			}
		}
		if len(left) == 0 {
			delete(pol.idle, adr)
		} else {
			pol.idle[adr] = left
		}
	}
}

// isIdle reports whether the peer has neither closed the connection nor sent unsolicited bytes.
func (con *Conn) isIdle() bool {
	if con.reader.Buffered() > 0 {
		return false
	}
	sys, ok := con.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}
