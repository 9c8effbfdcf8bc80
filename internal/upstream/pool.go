package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
)

const (
	// ErrNotSent says that no byte of the request left.
	ErrNotSent = errors.ConstError("upstream: request not sent")
	// ErrBroken says that the connection ended after bytes of the request may have arrived.
	ErrBroken = errors.ConstError("upstream: connection broken")
)

const (
	// maxIdle is the number of idle connections kept for one backend server. One daemon seldom has more
	// requests in progress at one backend server.
	maxIdle = 16
	// idleFor is the time for which an idle connection is kept where the backend server states none.
	idleFor = 4 * time.Second
	// idleShare is the part of the stated idle time after which a connection is no longer used, so that a
	// request does not cross the backend server's close.
	idleShare = 0.7
	// dialTimeout bounds a new connection: a VM without power or behind a partition does not answer.
	dialTimeout = 600 * time.Millisecond
	// readBuffer holds the headers of an answer and some events of a stream.
	readBuffer = 4 << 10
)

// Pool holds the connections of one daemon.
type Pool struct {
	dial func(ctx context.Context, network, adr string) (net.Conn, error)
	clk  clockwork.Clock
	made metrics.Counter

	mu   sync.Mutex
	idle map[string][]*Conn
}

// Conn is one connection; it is used by one request at a time.
type Conn struct {
	net.Conn
	pool    *Pool
	adr     string
	lmt     *headLimit
	rdr     *bufio.Reader
	keepFor time.Duration
	since   time.Time
}

// New returns an empty pool that counts the connections it makes.
func New(dial func(ctx context.Context, network, adr string) (net.Conn, error), clk clockwork.Clock, made metrics.Counter) *Pool {
	return &Pool{
		dial: dial,
		clk:  clk,
		made: made,
		idle: map[string][]*Conn{},
	}
}

// Get returns an idle connection to adr that is still open, or makes one. Errors are ErrNotSent.
func (pol *Pool) Get(ctx context.Context, adr string) (*Conn, error) {
	for {
		con := pol.take(adr)
		if con == nil {
			break
		}
		if pol.clk.Since(con.since) < con.keepFor && con.quiet() {
			return con, nil
		}
		con.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := pol.dial(ctx, "tcp", adr)
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "connect to %s", adr), ErrNotSent)
	}
	pol.made.Inc(1)
	lmt := &headLimit{
		Reader: raw,
	}
	return &Conn{
		Conn:    raw,
		pool:    pol,
		adr:     adr,
		lmt:     lmt,
		rdr:     bufio.NewReaderSize(lmt, readBuffer),
		keepFor: idleFor,
	}, nil
}

func (pol *Pool) take(adr string) *Conn {
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

func (pol *Pool) put(con *Conn) {
	con.since = pol.clk.Now()
	pol.mu.Lock()
	defer pol.mu.Unlock()
	if len(pol.idle[con.adr]) >= maxIdle {
		con.Close()
		return
	}
	pol.idle[con.adr] = append(pol.idle[con.adr], con)
}

// Trim closes connections that have been idle for too long, and those to addresses that are not kept.
func (pol *Pool) Trim(keep func(adr string) bool) {
	pol.mu.Lock()
	defer pol.mu.Unlock()
	for adr, cons := range pol.idle {
		var left []*Conn
		for _, con := range cons {
			if keep(adr) && pol.clk.Since(con.since) < con.keepFor {
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

// quiet reports whether the peer has neither closed the connection nor sent bytes that no request asked for.
func (con *Conn) quiet() bool {
	if con.rdr.Buffered() > 0 {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
