package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Path is the HTTP path at which a daemon accepts connections of peers.
const Path = "/peer"

// linkTimeout bounds the time to connect to a peer and to complete the handshake, so that a client cannot hold a
// connection open without authenticating. It also bounds the write of a frame.
const linkTimeout = 3 * time.Second

const (
	// closeTimeout bounds the closing of all connections of a daemon that stops, whose peers may not respond.
	closeTimeout = 500 * time.Millisecond
	// servedCheckInterval is the time between two checks whether all replies have been written.
	servedCheckInterval = 2 * time.Millisecond
)

// Handler serves one call of a peer and returns the body of the reply.
type Handler func(ctx context.Context, from Identity, body []byte) (any, error)

// StreamHandler serves one streamed call of a peer and sends any number of replies.
type StreamHandler func(ctx context.Context, from Identity, body []byte, send func(val any) error) error

// Mesh holds the connections of one daemon to its peers and the handlers of their calls.
type Mesh struct {
	// Dial opens connections to peers. It defaults to a net.Dialer and must not change after the first call.
	Dial func(ctx context.Context, network, adr string) (net.Conn, error)
	// Clock measures the silence of peers. It defaults to the real clock and must not change after the first call.
	Clock clockwork.Clock
	// DialTarget connects to the target of a peer's tunnel. It is nil for a daemon that accepts no tunnels, and must not
	// change after the mesh serves connections.
	DialTarget func(ctx context.Context, address string) (net.Conn, error)

	self       Identity
	key        []byte
	registry   metrics.Registry
	log        *zap.Logger
	httpClient *http.Client

	bytesSent     metrics.Counter
	bytesReceived metrics.Counter
	tunnelsOpened metrics.Counter
	tunnelsServed metrics.Counter

	tunnels tunnels

	mu             sync.Mutex
	handlers       map[string]Handler
	streamHandlers map[string]StreamHandler
	// outgoing holds the links that this daemon opened, by address; links holds all authenticated links.
	outgoing map[string]*link
	links    map[*link]struct{}
	// opened is the number of links that this daemon has opened.
	opened uint64
	closed bool
}

// New returns a mesh for the daemon self. All daemons of an environment use the same key. The counters of
// bytes sent to and received from peers are added to registry.
func New(self Identity, key []byte, registry metrics.Registry, log *zap.Logger) *Mesh {
	msh := &Mesh{
		Dial:           (&net.Dialer{}).DialContext,
		Clock:          clockwork.NewRealClock(),
		self:           self,
		key:            key,
		registry:       registry,
		log:            log.Named("peer"),
		bytesSent:      metrics.GetOrRegisterCounter("PeerBytesSent", registry),
		bytesReceived:  metrics.GetOrRegisterCounter("PeerBytesReceived", registry),
		tunnelsOpened:  metrics.GetOrRegisterCounter("PeerTunnelsOpened", registry),
		tunnelsServed:  metrics.GetOrRegisterCounter("PeerTunnelsServed", registry),
		handlers:       map[string]Handler{},
		streamHandlers: map[string]StreamHandler{},
		outgoing:       map[string]*link{},
		links:          map[*link]struct{}{},
	}
	msh.httpClient = &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, adr string) (net.Conn, error) { return msh.Dial(ctx, network, adr) },
		},
	}
	return msh
}

// SetKey sets the shared key, if it was not known when the mesh was created. Until the key is set, the mesh
// neither opens nor accepts connections.
func (msh *Mesh) SetKey(key []byte) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	msh.key = key
}

// sharedKey returns the shared key, or ErrUnreachable if it is not set.
func (msh *Mesh) sharedKey() ([]byte, error) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	if len(msh.key) == 0 {
		return nil, errors.Annotate(ErrUnreachable, "no key is known yet")
	}
	return msh.key, nil
}

// Self returns the identity of this daemon.
func (msh *Mesh) Self() Identity {
	return msh.self
}

// Handle registers the handler for calls of a kind. Call it before the mesh serves connections.
func (msh *Mesh) Handle(kind string, handler Handler) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	msh.handlers[kind] = handler
}

// HandleStream registers the handler for streamed calls of a kind. Call it before the mesh serves connections.
func (msh *Mesh) HandleStream(kind string, handler StreamHandler) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	msh.streamHandlers[kind] = handler
}

// Call sends a call to the daemon at address and decodes the reply into reply, unless reply is nil.
func (msh *Mesh) Call(ctx context.Context, address, kind string, body, reply any) error {
	return msh.Stream(ctx, address, kind, body, func(data []byte) error {
		if reply == nil {
			return nil
		}
		return Decode(data, reply)
	})
}

// Stream sends a call to the daemon at address and passes the body of each reply to onReply.
func (msh *Mesh) Stream(ctx context.Context, address, kind string, body any, onReply func(data []byte) error) error {
	data, err := encode(body)
	if err != nil {
		return errors.Annotate(ErrRejected, err.Error())
	}
	lnk, err := msh.linkTo(ctx, address)
	if err != nil {
		return errors.Trace(err)
	}
	return lnk.call(ctx, kind, data, onReply)
}

// Send sends a one-way message to the daemon at address. A nil error does not mean that it was received.
func (msh *Mesh) Send(ctx context.Context, address, kind string, body any) error {
	data, err := encode(body)
	if err != nil {
		return errors.Annotate(ErrRejected, err.Error())
	}
	lnk, err := msh.linkTo(ctx, address)
	if err != nil {
		return errors.Trace(err)
	}
	err = lnk.writeFrame(ctx, Frame{
		Kind: kind,
		Body: data,
	})
	if err == nil {
		msh.bytesSentOf(kind).Inc(int64(len(data)))
	}
	return errors.Trace(err)
}

// LinkNumber returns the number of the link that this daemon has opened to the daemon at adr, 0 if there is none. While the
// number stays the same, the frames that Send sent are delivered in their order or still in flight.
func (msh *Mesh) LinkNumber(adr string) uint64 {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	if lnk, ok := msh.outgoing[adr]; ok {
		return lnk.number
	}
	return 0
}

// BytesSent returns the total size of the bodies that Send has sent in frames of a kind.
func (msh *Mesh) BytesSent(kind string) int64 {
	return msh.bytesSentOf(kind).Count()
}

func (msh *Mesh) bytesSentOf(kind string) metrics.Counter {
	return metrics.GetOrRegisterCounter("PeerBytesSent"+kind, msh.registry)
}

// linkTo returns an authenticated link to the daemon at adr and connects if there is none.
func (msh *Mesh) linkTo(ctx context.Context, adr string) (*link, error) {
	msh.mu.Lock()
	lnk, ok := msh.outgoing[adr]
	if !ok {
		if msh.closed {
			msh.mu.Unlock()
			return nil, errors.Annotate(ErrUnreachable, "mesh is closed")
		}
		lnk = newLink(msh)
		msh.opened++
		lnk.number = msh.opened
		msh.outgoing[adr] = lnk
		go msh.connect(adr, lnk)
	}
	msh.mu.Unlock()
	select {
	case <-lnk.ready:
		return lnk, nil
	case <-lnk.done:
		return nil, errors.Annotatef(ErrUnreachable, "connect to %s: %v", adr, lnk.closeError())
	case <-ctx.Done():
		return nil, errors.Annotate(ErrUnreachable, ctx.Err().Error())
	}
}

// connect opens a link and serves it until it closes. It does not use the context of a caller, because
// several callers share the connection.
func (msh *Mesh) connect(adr string, lnk *link) {
	ctx, cancel := context.WithTimeout(context.Background(), linkTimeout)
	defer cancel()
	con, err := msh.dialWebSocket(ctx, adr, Path)
	if err == nil {
		lnk.conn = con
		err = lnk.connectHandshake(ctx)
	}
	if err != nil {
		lnk.close(err)
		msh.removeOutgoing(adr, lnk)
		return
	}
	msh.serveLink(lnk)
	msh.removeOutgoing(adr, lnk)
}

// dialWebSocket opens a WebSocket to the daemon at adr for messages of up to MaxFrameSize.
func (msh *Mesh) dialWebSocket(ctx context.Context, adr, path string) (*websocket.Conn, error) {
	con, res, err := websocket.Dial(ctx, "ws://"+adr+path, &websocket.DialOptions{
		HTTPClient:      msh.httpClient,
		CompressionMode: websocket.CompressionDisabled,
	})
	if res != nil && res.Body != nil {
		defer res.Body.Close()
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	con.SetReadLimit(MaxFrameSize)
	return con, nil
}

// acceptWebSocket accepts a WebSocket of a peer for messages of up to MaxFrameSize.
func acceptWebSocket(rsw http.ResponseWriter, req *http.Request) (*websocket.Conn, error) {
	con, err := websocket.Accept(rsw, req, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	con.SetReadLimit(MaxFrameSize)
	return con, nil
}

func (msh *Mesh) removeOutgoing(adr string, lnk *link) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	if msh.outgoing[adr] == lnk {
		delete(msh.outgoing, adr)
	}
}

// serveLink reads the frames of an authenticated link until it closes.
func (msh *Mesh) serveLink(lnk *link) {
	msh.mu.Lock()
	if msh.closed {
		msh.mu.Unlock()
		lnk.close(ErrUnreachable)
		return
	}
	msh.links[lnk] = struct{}{}
	msh.mu.Unlock()
	close(lnk.ready)
	lnk.readFrames()
	msh.mu.Lock()
	delete(msh.links, lnk)
	msh.mu.Unlock()
}

// ServeHTTP accepts a connection or a tunnel of a peer.
func (msh *Mesh) ServeHTTP(rsw http.ResponseWriter, req *http.Request) {
	if req.URL.Path == TunnelPath {
		msh.serveTunnel(rsw, req)
		return
	}
	con, err := acceptWebSocket(rsw, req)
	if err != nil {
		return
	}
	lnk := newLink(msh)
	lnk.conn = con
	ctx, cancel := context.WithTimeout(req.Context(), linkTimeout)
	err = lnk.acceptHandshake(ctx)
	cancel()
	if err != nil {
		msh.log.Warn("peer connection rejected", zap.String("remote", req.RemoteAddr), zap.Error(err))
		lnk.close(err)
		return
	}
	msh.serveLink(lnk)
}

// Close closes all authenticated connections, once the replies to calls in progress have been sent or closeTimeout has
// passed. Later calls fail.
func (msh *Mesh) Close() {
	msh.mu.Lock()
	msh.closed = true
	lnks := make([]*link, 0, len(msh.links))
	for lnk := range msh.links {
		lnks = append(lnks, lnk)
	}
	msh.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var wgr sync.WaitGroup
	for _, lnk := range lnks {
		wgr.Go(func() { lnk.closeAfterReplies(ctx) })
	}
	wgr.Wait()
}

// handleCall runs the handler for a call. It returns the body of a unary call, which is sent with the final
// reply, so that the answer takes a single frame.
func (msh *Mesh) handleCall(ctx context.Context, from Identity, frm Frame, send func(any) error) (any, error) {
	msh.mu.Lock()
	hnd := msh.handlers[frm.Kind]
	shd := msh.streamHandlers[frm.Kind]
	msh.mu.Unlock()
	switch {
	case hnd != nil:
		return hnd(ctx, from, frm.Body)
	case shd != nil:
		return nil, shd(ctx, from, frm.Body, send)
	default:
		return nil, errors.Annotatef(ErrRejected, "unknown kind %s", frm.Kind)
	}
}
