package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"
	"go.uber.org/zap"
)

// TunnelPath is the HTTP path at which a daemon accepts tunnels.
const TunnelPath = "/tunnel"

const (
	// maxTunnels bounds the tunnels through one daemon, each of which takes two file descriptors.
	maxTunnels = 512
	// tunnelDialTimeout bounds the time in which the daemon at the end of a tunnel connects to the target.
	tunnelDialTimeout = 500 * time.Millisecond
	// statusTargetBroken closes a tunnel whose target broke its connection; after its regular end, the tunnel is closed
	// with the normal status.
	statusTargetBroken websocket.StatusCode = 4000
	// tunnelCheckInterval is the time between two checks whether all tunnels have ended.
	tunnelCheckInterval = 10 * time.Millisecond
)

// ErrTargetBroken means that the target of a tunnel broke its connection, while the tunnel itself held.
const ErrTargetBroken = errors.ConstError("peer: the target of a tunnel broke its connection")

// tunnelRequest is the first message in a tunnel after the handshake, and tunnelReply the response.
type tunnelRequest struct {
	Address string
}

type tunnelReply struct {
	// Error says why the target cannot be reached, empty if it is.
	Error string
}

// tunnels counts the tunnels through a daemon.
type tunnels struct {
	mu      sync.Mutex
	num     int
	stopped bool
}

func (tns *tunnels) add() bool {
	tns.mu.Lock()
	defer tns.mu.Unlock()
	if tns.stopped || tns.num >= maxTunnels {
		return false
	}
	tns.num++
	return true
}

func (tns *tunnels) remove() {
	tns.mu.Lock()
	defer tns.mu.Unlock()
	tns.num--
}

func (tns *tunnels) stop() int {
	tns.mu.Lock()
	defer tns.mu.Unlock()
	tns.stopped = true
	return tns.num
}

// Tunnel connects to target, an address that the daemon at address reaches, through that daemon. An error is
// ErrUnreachable if that daemon cannot be reached, and ErrRemote if it cannot reach the target. On the connection, io.EOF
// means that the target closed it, ErrTargetBroken that the target broke it, and ErrBroken that the tunnel broke.
func (msh *Mesh) Tunnel(ctx context.Context, address, target string) (net.Conn, error) {
	con, err := msh.dialWebSocket(ctx, address, TunnelPath)
	if err != nil {
		return nil, errors.Annotatef(ErrUnreachable, "tunnel through %s: %v", address, err)
	}
	if err := msh.openTunnel(ctx, con, target); err != nil {
		_ = con.CloseNow()
		return nil, errors.Annotatef(err, "tunnel through %s", address)
	}
	msh.tunnelsOpened.Inc(1)
	return newTunnelConn(con), nil
}

func (msh *Mesh) openTunnel(ctx context.Context, con *websocket.Conn, target string) error {
	lnk := newLink(msh)
	lnk.conn = con
	if err := lnk.connectHandshake(ctx); err != nil {
		return errors.Trace(err)
	}
	req := tunnelRequest{
		Address: target,
	}
	if err := lnk.writeValue(ctx, req); err != nil {
		return errors.Trace(err)
	}
	var rep tunnelReply
	if err := lnk.readValue(ctx, &rep); err != nil {
		return errors.Trace(err)
	}
	if rep.Error != "" {
		return errors.Annotate(ErrRemote, rep.Error)
	}
	return nil
}

// serveTunnel accepts a tunnel and copies bytes between its two ends until one of them closes.
func (msh *Mesh) serveTunnel(rsw http.ResponseWriter, req *http.Request) {
	con, err := acceptWebSocket(rsw, req)
	if err != nil {
		return
	}
	defer func() { _ = con.CloseNow() }()
	target, err := msh.acceptTunnel(req.Context(), con)
	if err != nil {
		msh.log.Info("tunnel refused", zap.String("remote", req.RemoteAddr), zap.Error(err))
		return
	}
	defer msh.tunnels.remove()
	defer target.Close()
	msh.tunnelsServed.Inc(1)
	end := newTunnelConn(con)
	go func() {
		defer target.Close()
		// The other direction reports how the tunnel ended.
		_, _ = io.Copy(target, end)
	}()
	if _, err := io.Copy(end, target); err != nil {
		_ = con.Close(statusTargetBroken, "")
		return
	}
	_ = con.Close(websocket.StatusNormalClosure, "")
}

// acceptTunnel performs the handshake of a tunnel and connects to its target. Unless it returns an error, the tunnel is
// counted.
func (msh *Mesh) acceptTunnel(ctx context.Context, con *websocket.Conn) (net.Conn, error) {
	lnk := newLink(msh)
	lnk.conn = con
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	if err := lnk.acceptHandshake(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	var req tunnelRequest
	if err := lnk.readValue(ctx, &req); err != nil {
		return nil, errors.Trace(err)
	}
	target, err := msh.dialTarget(ctx, req.Address)
	var rep tunnelReply
	if err != nil {
		rep.Error = err.Error()
	}
	if werr := lnk.writeValue(ctx, rep); werr != nil && err == nil {
		msh.tunnels.remove()
		target.Close()
		return nil, errors.Trace(werr)
	}
	return target, errors.Trace(err)
}

func (msh *Mesh) dialTarget(ctx context.Context, address string) (net.Conn, error) {
	if msh.DialTarget == nil {
		return nil, errors.New("this daemon accepts no tunnels")
	}
	if !msh.tunnels.add() {
		return nil, errors.New("too many tunnels, or the daemon is stopping")
	}
	ctx, cancel := context.WithTimeout(ctx, tunnelDialTimeout)
	defer cancel()
	con, err := msh.DialTarget(ctx, address)
	if err != nil {
		msh.tunnels.remove()
		return nil, errors.Trace(err)
	}
	return con, nil
}

// StopTunnels refuses further tunnels through this daemon and waits until the present ones have ended, or until ctx ends.
func (msh *Mesh) StopTunnels(ctx context.Context) {
	for msh.tunnels.stop() > 0 && ctx.Err() == nil {
		time.Sleep(tunnelCheckInterval)
	}
}

// tunnelConn is one end of a tunnel.
type tunnelConn struct {
	net.Conn
	conn *websocket.Conn
}

func newTunnelConn(con *websocket.Conn) *tunnelConn {
	// A message is read in pieces and may be of any size.
	con.SetReadLimit(-1)
	return &tunnelConn{
		Conn: websocket.NetConn(context.Background(), con, websocket.MessageBinary),
		conn: con,
	}
}

// Read returns io.EOF only if the target closed its connection.
func (tnc *tunnelConn) Read(buf []byte) (int, error) {
	num, err := tnc.Conn.Read(buf)
	switch {
	case err == nil || err == io.EOF: //nolint:errorlint // NetConn returns io.EOF itself for a regular end, and wraps it for a broken tunnel.
		return num, err
	case websocket.CloseStatus(err) == statusTargetBroken:
		return num, ErrTargetBroken
	default:
		return num, errors.Annotate(ErrBroken, err.Error())
	}
}

// Close closes the connection at once.
func (tnc *tunnelConn) Close() error {
	return tnc.conn.CloseNow()
}
