package servicecall

import (
	"net"
	"sync"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/backend"
)

// gate decides once whether the first byte of a call may go out.
type gate struct {
	// check is asked at the moment of sending; an error keeps the gate shut.
	check func() error
	// dial opens the call's connection; nil stands for a plain net.Dialer.
	dial dialFunc

	mu    sync.Mutex
	state gateState
	cause error
}

type gateState int

const (
	gateWaiting gateState = iota
	gateOpened
	gateShut
)

// pass opens the gate at the first byte; it fails if the gate is shut.
func (gat *gate) pass() error {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	if gat.state == gateWaiting {
		gat.state = gateOpened
		if gat.cause = gat.check(); gat.cause != nil {
			gat.state = gateShut
		}
	}
	if gat.state == gateShut {
		return errors.Annotate(backend.ErrNotSent, gat.cause.Error())
	}
	return nil
}

// shut keeps later bytes back; it reports whether none has gone out. net/http may return an error while
// its writing goroutine has not yet begun, so the gate must be shut before the answer is decided.
func (gat *gate) shut(cause error) bool {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	if gat.state == gateWaiting {
		gat.state = gateShut
		gat.cause = cause
	}
	return gat.state == gateShut
}

// gatedConn is a connection whose bytes pass a gate.
type gatedConn struct {
	net.Conn
	gat *gate
}

// Write sends bytes if the gate lets them pass.
func (con gatedConn) Write(data []byte) (int, error) {
	if err := con.gat.pass(); err != nil {
		return 0, err
	}
	return con.Conn.Write(data)
}
