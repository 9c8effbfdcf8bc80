package listening

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/callermemory"
	"github.com/cumintally/cumintally/internal/requestbody"
	"github.com/cumintally/cumintally/internal/socket"
)

// guardLogInterval is the least time between two log lines about closed connections.
const guardLogInterval = time.Second

// GuardConfig holds the bounds of connections from clients that the operators do not control.
type GuardConfig struct {
	// MaxConnections is the number of open connections. A further one replaces one that waits, or is closed.
	MaxConnections int
	// SocketBuffer is the size in bytes of the kernel's buffers for received and for sent data of a connection.
	SocketBuffer int
	// MaxUnread bounds the sum in bytes of what was received on connections from which nothing was read for unreadInterval.
	MaxUnread int64
	// WriteTimeout bounds the time for which a client reads nothing of a response.
	WriteTimeout time.Duration
}

// Guard bounds the connections of a listener, and counts the headers that arrive on them as memory.
type Guard struct {
	config GuardConfig
	budget *callermemory.Budget
	clock  clockwork.Clock
	logger *zap.Logger

	openGauge     metrics.Gauge
	closedCounter metrics.Counter
	slowCounter   metrics.Counter
	unreadCounter metrics.Counter

	mu          sync.Mutex
	connections map[*conn]struct{}
	loggedAt    time.Time
	checkedAt   time.Time
}

// NewGuard returns a guard that counts request headers in budget. Its metrics are registered in registry.
func NewGuard(config GuardConfig, budget *callermemory.Budget, registry metrics.Registry, clock clockwork.Clock, logger *zap.Logger) *Guard {
	return &Guard{
		config:        config,
		budget:        budget,
		clock:         clock,
		logger:        logger.Named("listening"),
		openGauge:     metrics.GetOrRegisterGauge("CallerConnections", registry),
		closedCounter: metrics.GetOrRegisterCounter("CallerConnectionsClosed", registry),
		slowCounter:   metrics.GetOrRegisterCounter("CallerWritesTimedOut", registry),
		unreadCounter: metrics.GetOrRegisterCounter("CallerUnreadClosed", registry),
		connections:   map[*conn]struct{}{},
		checkedAt:     clock.Now(),
	}
}

// listen opens a listener whose connections are bounded if there is a guard.
func (grd *Guard) listen(adr string) (net.Listener, error) {
	if grd == nil {
		return net.Listen("tcp", adr)
	}
	// Connections inherit the options of their listener.
	cfg := net.ListenConfig{
		Control: socket.Buffers(grd.config.SocketBuffer),
	}
	lst, err := cfg.Listen(context.Background(), "tcp", adr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &guardedListener{
		Listener: lst,
		guard:    grd,
	}, nil
}

// apply makes a server report the states of its connections to the guard.
func (grd *Guard) apply(srv *http.Server) {
	if grd == nil {
		return
	}
	srv.ConnContext = func(ctx context.Context, con net.Conn) context.Context {
		ctx = context.WithValue(ctx, connKey{}, con)
		return requestbody.WithReceived(ctx, con.(*conn).received.Load)
	}
	srv.ConnState = func(con net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			con.(*conn).awaitRequest()
		}
	}
	next := srv.Handler
	srv.Handler = http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		con, _ := req.Context().Value(connKey{}).(*conn)
		if !con.beginRequest() {
			panic(http.ErrAbortHandler)
		}
		grd.checkUnread()
		next.ServeHTTP(wrt, req)
	})
}

type connKey struct{}

// guardedListener accepts connections that a guard bounds.
type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection for which there is room.
func (lst *guardedListener) Accept() (net.Conn, error) {
	for {
		raw, err := lst.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if con := lst.guard.admit(raw); con != nil {
			return con, nil
		}
	}
}

// admit returns the guarded connection, or nil if it was closed for lack of room.
func (grd *Guard) admit(raw net.Conn) *conn {
	con := newConn(grd, raw)
	grd.mu.Lock()
	full := len(grd.connections) >= grd.config.MaxConnections
	var victim *conn
	if full {
		victim = grd.longestWaiting()
	}
	if !full || victim != nil {
		grd.connections[con] = struct{}{}
	}
	grd.openGauge.Update(int64(len(grd.connections)))
	grd.mu.Unlock()
	switch {
	case !full:
		return con
	case victim == nil:
		// The request whose body makes the least progress ends, which makes room for the next connection.
		grd.budget.DropSlowest()
		victim = con
	}
	_ = victim.Close()
	grd.closedCounter.Inc(1)
	grd.logFull()
	if victim == con {
		return nil
	}
	return con
}

// longestWaiting returns the connection on which no request is in progress for the longest time, nil if there is none.
func (grd *Guard) longestWaiting() *conn {
	var longest *conn
	var since time.Time
	for con := range grd.connections {
		if at, waits := con.waitingSince(); waits && (longest == nil || at.Before(since)) {
			longest, since = con, at
		}
	}
	return longest
}

func (grd *Guard) remove(con *conn) {
	grd.mu.Lock()
	defer grd.mu.Unlock()
	delete(grd.connections, con)
	grd.openGauge.Update(int64(len(grd.connections)))
}

func (grd *Guard) logFull() {
	grd.mu.Lock()
	defer grd.mu.Unlock()
	if now := grd.clock.Now(); now.Sub(grd.loggedAt) >= guardLogInterval {
		grd.loggedAt = now
		grd.logger.Warn("the limit of callers' connections is reached; closing those on which no request is in progress",
			zap.Int("connections", len(grd.connections)), zap.Int64("closed", grd.closedCounter.Count()))
	}
}
