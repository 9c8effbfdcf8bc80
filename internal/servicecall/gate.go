package servicecall

import (
	"net"
	"sync"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/backend"
)

// gate decides once whether the first byte of a call may be sent.
type gate struct {
	// check is called immediately before the first byte is sent. An error closes the gate.
	check func() error
	// dial opens the call's connection. If it is nil, a net.Dialer is used.
	dial dialFunc

	mu    sync.Mutex
	state gateState
	cause error
}

type gateState int

const (
	gatePending gateState = iota
	gateOpen
	gateClosed
)

// allowWrite opens the gate at the first byte. It fails with ErrNotSent if the gate is closed.
func (gat *gate) allowWrite() error {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	if gat.state == gatePending {
		gat.state = gateOpen
		if gat.cause = gat.check(); gat.cause != nil {
			gat.state = gateClosed
		}
	}
	if gat.state == gateClosed {
		return errors.Annotate(backend.ErrNotSent, gat.cause.Error())
	}
	return nil
}

// close closes the gate unless it is open, so that no byte is sent later. It reports whether no byte was sent.
// net/http may return an error before its writing goroutine has started, so the gate must be closed before the
// outcome of the call is decided.
func (gat *gate) close(cause error) bool {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	if gat.state == gatePending {
		gat.state = gateClosed
		gat.cause = cause
	}
	return gat.state == gateClosed
}

// gatedConn is a connection that writes only through an open gate.
type gatedConn struct {
	net.Conn
	gat *gate
}

// Write sends data if the gate allows it.
func (con gatedConn) Write(data []byte) (int, error) {
	if err := con.gat.allowWrite(); err != nil {
		return 0, err
	}
	return con.Conn.Write(data)
}
