package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Path is the HTTP path of a daemon's peer listener.
const Path = "/peer"

// handshakeTimeout bounds how long a stranger can hold a connection before it has authenticated.
const handshakeTimeout = 3 * time.Second

// Handler answers one call of a peer; the returned value is the reply's body.
type Handler func(ctx context.Context, from Identity, body []byte) (any, error)

// StreamHandler answers one streamed call of a peer with any number of replies.
type StreamHandler func(ctx context.Context, from Identity, body []byte, send func(val any) error) error

// Mesh holds the connections of one daemon to its peers.
type Mesh struct {
	// Dial opens connections to peers in place of net.Dialer; it is set before the first call.
	Dial func(ctx context.Context, network, adr string) (net.Conn, error)

	self Identity
	key  []byte
	log  *zap.Logger
	htc  *http.Client

	sent     metrics.Counter
	received metrics.Counter

	mu       sync.Mutex
	handlers map[string]Handler
	streams  map[string]StreamHandler
	outgoing map[string]*link
	links    map[*link]struct{}
	closed   bool
}

// New returns a mesh for the daemon self; all daemons of an environment share key. The registry gets
// the counters of bytes sent to and received from peers.
func New(self Identity, key []byte, reg metrics.Registry, log *zap.Logger) *Mesh {
	msh := &Mesh{
		Dial:     (&net.Dialer{}).DialContext,
		self:     self,
		key:      key,
		log:      log.Named("peer"),
		sent:     metrics.GetOrRegisterCounter("PeerBytesSent", reg),
		received: metrics.GetOrRegisterCounter("PeerBytesReceived", reg),
		handlers: map[string]Handler{},
		streams:  map[string]StreamHandler{},
		outgoing: map[string]*link{},
		links:    map[*link]struct{}{},
	}
	msh.htc = &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, adr string) (net.Conn, error) { return msh.Dial(ctx, network, adr) },
		},
	}
	return msh
}

// SetKey sets the key that all daemons share, where it is not known when the mesh is made. Without a key no
// connection is made or taken.
func (msh *Mesh) SetKey(key []byte) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	msh.key = key
}

// sharedKey returns the key, or ErrUnreachable while there is none.
func (msh *Mesh) sharedKey() ([]byte, error) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	if len(msh.key) == 0 {
		return nil, errors.Annotate(ErrUnreachable, "no key is known yet")
	}
	return msh.key, nil
}

// Self returns the daemon's own identity.
func (msh *Mesh) Self() Identity {
	return msh.self
}

// Handle sets the handler for calls of a kind; it must be set before the mesh serves.
func (msh *Mesh) Handle(kind string, hnd Handler) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	msh.handlers[kind] = hnd
}

// HandleStream sets the handler for streamed calls of a kind.
func (msh *Mesh) HandleStream(kind string, hnd StreamHandler) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	msh.streams[kind] = hnd
}

// Call sends a call to the daemon at adr and decodes its reply into reply unless that is nil.
func (msh *Mesh) Call(ctx context.Context, adr, kind string, body, reply any) error {
	return msh.Stream(ctx, adr, kind, body, func(data []byte) error {
		if reply == nil {
			return nil
		}
		return Decode(data, reply)
	})
}

// Stream sends a call to the daemon at adr and hands each reply's body to take.
func (msh *Mesh) Stream(ctx context.Context, adr, kind string, body any, take func(data []byte) error) error {
	data, err := encode(body)
	if err != nil {
		return errors.Annotate(ErrRejected, err.Error())
	}
	lnk, err := msh.link(ctx, adr)
	if err != nil {
		return errors.Trace(err)
	}
	return lnk.call(ctx, kind, data, take)
}

// Send sends a frame without waiting for a reply.
func (msh *Mesh) Send(ctx context.Context, adr, kind string, body any) error {
	data, err := encode(body)
	if err != nil {
		return errors.Annotate(ErrRejected, err.Error())
	}
	lnk, err := msh.link(ctx, adr)
	if err != nil {
		return errors.Trace(err)
	}
	return lnk.write(ctx, Frame{
		Kind: kind,
		Body: data,
	})
}

func (msh *Mesh) link(ctx context.Context, adr string) (*link, error) {
	msh.mu.Lock()
	lnk, ok := msh.outgoing[adr]
	if !ok {
		if msh.closed {
			msh.mu.Unlock()
			return nil, errors.Annotate(ErrUnreachable, "mesh is closed")
		}
		lnk = newLink(msh)
		msh.outgoing[adr] = lnk
		go msh.connect(adr, lnk)
	}
	msh.mu.Unlock()
	select {
	case <-lnk.ready:
		return lnk, nil
	case <-lnk.done:
		return nil, errors.Annotatef(ErrUnreachable, "connect to %s: %v", adr, lnk.cause())
	case <-ctx.Done():
		return nil, errors.Annotate(ErrUnreachable, ctx.Err().Error())
	}
}

// connect dials apart from any caller's context, since callers share the connection.
func (msh *Mesh) connect(adr string, lnk *link) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	con, res, err := websocket.Dial(ctx, "ws://"+adr+Path, &websocket.DialOptions{
		HTTPClient:      msh.htc,
		CompressionMode: websocket.CompressionDisabled,
	})
	if res != nil && res.Body != nil {
		defer res.Body.Close()
	}
	if err == nil {
		con.SetReadLimit(MaxFrameSize)
		lnk.con = con
		err = lnk.greet(ctx)
	}
	if err != nil {
		lnk.close(err)
		msh.forget(adr, lnk)
		return
	}
	msh.serve(lnk)
	msh.forget(adr, lnk)
}

func (msh *Mesh) forget(adr string, lnk *link) {
	msh.mu.Lock()
	defer msh.mu.Unlock()
	if msh.outgoing[adr] == lnk {
		delete(msh.outgoing, adr)
	}
}

func (msh *Mesh) serve(lnk *link) {
	msh.mu.Lock()
	if msh.closed {
		msh.mu.Unlock()
		lnk.close(ErrUnreachable)
		return
	}
	msh.links[lnk] = struct{}{}
	msh.mu.Unlock()
	close(lnk.ready)
	lnk.read()
	msh.mu.Lock()
	delete(msh.links, lnk)
	msh.mu.Unlock()
}

// ServeHTTP takes the connection of a peer.
func (msh *Mesh) ServeHTTP(rsw http.ResponseWriter, req *http.Request) {
	con, err := websocket.Accept(rsw, req, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return
	}
	con.SetReadLimit(MaxFrameSize)
	lnk := newLink(msh)
	lnk.con = con
	ctx, cancel := context.WithTimeout(req.Context(), handshakeTimeout)
	err = lnk.admit(ctx)
	cancel()
	if err != nil {
		msh.log.Warn("rejected a connection", zap.String("remote", req.RemoteAddr), zap.Error(err))
		lnk.close(err)
		return
	}
	msh.serve(lnk)
}

// Close closes all connections; later calls fail.
func (msh *Mesh) Close() {
	msh.mu.Lock()
	msh.closed = true
	lnks := make([]*link, 0, len(msh.links))
	for lnk := range msh.links {
		lnks = append(lnks, lnk)
	}
	msh.mu.Unlock()
	for _, lnk := range lnks {
		lnk.close(ErrUnreachable)
	}
}

// handle answers a call: the last reply carries the body of a unary call, so that it takes one frame.
func (msh *Mesh) handle(ctx context.Context, from Identity, frm Frame, send func(any) error) (any, error) {
	msh.mu.Lock()
	hnd := msh.handlers[frm.Kind]
	shd := msh.streams[frm.Kind]
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
