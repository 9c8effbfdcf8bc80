package peer

import (
	"context"
	"crypto/hmac"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/atomictime"
)

// replyQueueSize is the number of replies queued for one call. When the queue is full the call fails with
// ErrOverflow, so that a slow reader does not block the other calls on the connection.
const replyQueueSize = 1024

// link is a connection to a peer. Once it is authenticated, both sides can send calls over it.
type link struct {
	mesh   *Mesh
	conn   *websocket.Conn
	remote Identity
	// number distinguishes the links that this daemon opened.
	number uint64
	// ready is closed after the handshake, done when the link is closed.
	ready chan struct{}
	done  chan struct{}

	nextID atomic.Uint64
	// lastReceived is the time of the last frame from the peer.
	lastReceived atomictime.Time
	closeOnce    sync.Once

	mu       sync.Mutex
	closeErr error
	// pending holds the reply queues of outgoing calls, serving the cancel functions of incoming calls.
	pending map[uint64]chan Frame
	serving map[uint64]context.CancelFunc
}

func newLink(msh *Mesh) *link {
	return &link{
		mesh:    msh,
		ready:   make(chan struct{}),
		done:    make(chan struct{}),
		pending: map[uint64]chan Frame{},
		serving: map[uint64]context.CancelFunc{},
	}
}

// closeError returns the error with which the link was closed.
func (lnk *link) closeError() error {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	return lnk.closeErr
}

// close closes the connection and cancels the incoming calls; only the first call has an effect.
func (lnk *link) close(cause error) {
	lnk.closeOnce.Do(func() {
		lnk.mu.Lock()
		lnk.closeErr = cause
		for _, cancel := range lnk.serving {
			cancel()
		}
		lnk.mu.Unlock()
		close(lnk.done)
		if lnk.conn != nil {
			_ = lnk.conn.CloseNow()
		}
	})
}

// connectHandshake performs the handshake as the connecting side.
func (lnk *link) connectHandshake(ctx context.Context) error {
	key, err := lnk.mesh.sharedKey()
	if err != nil {
		return errors.Trace(err)
	}
	own := newNonce()
	first := handshakeMessage{
		Identity: lnk.mesh.self,
		Nonce:    own,
	}
	if err := lnk.writeValue(ctx, first); err != nil {
		return errors.Trace(err)
	}
	var ans handshakeMessage
	if err := lnk.readValue(ctx, &ans); err != nil {
		return errors.Trace(err)
	}
	if !hmac.Equal(ans.Proof, proof(key, "accept", ans.Nonce, own, ans.Identity)) {
		return errors.Annotate(ErrRejected, "wrong proof of the shared key")
	}
	lnk.remote = ans.Identity
	first.Proof = proof(key, "connect", own, ans.Nonce, lnk.mesh.self)
	return lnk.writeValue(ctx, first)
}

// acceptHandshake performs the handshake as the accepting side.
func (lnk *link) acceptHandshake(ctx context.Context) error {
	key, err := lnk.mesh.sharedKey()
	if err != nil {
		return errors.Trace(err)
	}
	var first handshakeMessage
	if err := lnk.readValue(ctx, &first); err != nil {
		return errors.Trace(err)
	}
	own := newNonce()
	ans := handshakeMessage{
		Identity: lnk.mesh.self,
		Nonce:    own,
		Proof:    proof(key, "accept", own, first.Nonce, lnk.mesh.self),
	}
	if err := lnk.writeValue(ctx, ans); err != nil {
		return errors.Trace(err)
	}
	var last handshakeMessage
	if err := lnk.readValue(ctx, &last); err != nil {
		return errors.Trace(err)
	}
	if !hmac.Equal(last.Proof, proof(key, "connect", first.Nonce, own, first.Identity)) {
		return errors.Annotate(ErrRejected, "wrong proof of the shared key")
	}
	lnk.remote = first.Identity
	return nil
}

// closeAfterReplies waits until the replies to all incoming calls have been written and the peer has read them, until ctx
// ends at the latest, and closes the connection.
func (lnk *link) closeAfterReplies(ctx context.Context) {
	for lnk.servesCalls() && ctx.Err() == nil {
		time.Sleep(servedCheckInterval)
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		// The peer answers the close frame once it has read all frames before it.
		_ = lnk.conn.Close(websocket.StatusGoingAway, "")
	}()
	select {
	case <-closed:
	case <-ctx.Done():
	}
	lnk.close(ErrUnreachable)
}

func (lnk *link) servesCalls() bool {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	return len(lnk.serving) > 0
}

func (lnk *link) writeValue(ctx context.Context, val any) error {
	data, err := cbor.Marshal(val)
	if err != nil {
		return errors.Annotate(ErrRejected, err.Error())
	}
	if err := lnk.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return errors.Annotate(ErrBroken, err.Error())
	}
	lnk.mesh.bytesSent.Inc(int64(len(data)))
	return nil
}

func (lnk *link) readValue(ctx context.Context, val any) error {
	_, data, err := lnk.conn.Read(ctx)
	if err != nil {
		return errors.Annotate(ErrBroken, err.Error())
	}
	lnk.recordReceived()
	lnk.mesh.bytesReceived.Inc(int64(len(data)))
	return Decode(data, val)
}

func (lnk *link) writeFrame(ctx context.Context, frm Frame) error {
	// Cancelling a write closes the WebSocket and with it all other calls, so the write does not use the
	// caller's context.
	if err := ctx.Err(); err != nil {
		return errors.Annotate(ErrUnreachable, err.Error())
	}
	wrc, cancel := context.WithTimeout(context.WithoutCancel(ctx), linkTimeout)
	defer cancel()
	if err := lnk.writeValue(wrc, frm); err != nil {
		lnk.close(err)
		return errors.Trace(err)
	}
	return nil
}

// call sends a call and passes the body of each reply to onReply.
func (lnk *link) call(ctx context.Context, kind string, body []byte, onReply func([]byte) error) error {
	idn := lnk.nextID.Add(1)
	rep := make(chan Frame, replyQueueSize)
	lnk.mu.Lock()
	lnk.pending[idn] = rep
	lnk.mu.Unlock()
	defer func() {
		lnk.mu.Lock()
		delete(lnk.pending, idn)
		lnk.mu.Unlock()
	}()
	frm := Frame{
		Kind: kind,
		ID:   idn,
		Body: body,
	}
	if err := lnk.writeFrame(ctx, frm); err != nil {
		return errors.Trace(err)
	}
	tkr := time.NewTicker(silenceTimeout)
	defer tkr.Stop()
	for {
		select {
		case <-tkr.C:
			lnk.checkLiveness()
		case frm, ok := <-rep:
			if !ok {
				return errors.Trace(ErrOverflow)
			}
			if frm.Error != "" {
				return errors.Annotate(ErrRemote, frm.Error)
			}
			// The final reply of a streamed call has no body.
			if !frm.empty() {
				if err := onReply(frm.Body); err != nil {
					lnk.cancelRemote(idn)
					return errors.Trace(err)
				}
			}
			if !frm.More {
				return nil
			}
		case <-ctx.Done():
			lnk.cancelRemote(idn)
			return errors.Annotate(ErrBroken, ctx.Err().Error())
		case <-lnk.done:
			if len(rep) > 0 {
				// These replies arrived before the connection broke.
				continue
			}
			return errors.Annotatef(ErrBroken, "%v", lnk.closeError())
		}
	}
}

// silenceTimeout is the time without a frame after which a WebSocket ping checks a peer that has a reply
// outstanding, and the time within which the peer must answer that ping. Without this check, a call over a
// connection that a network partition has cut without a TCP reset waits until its own deadline.
const silenceTimeout = 2 * time.Second

// recordReceived records that a frame of the peer has arrived.
func (lnk *link) recordReceived() {
	lnk.lastReceived.Store(lnk.mesh.Clock.Now())
}

// isSilent reports whether the peer has sent no frame for silenceTimeout.
func (lnk *link) isSilent() bool {
	return lnk.mesh.Clock.Since(lnk.lastReceived.Load()) >= silenceTimeout
}

// checkLiveness pings a peer that has sent no frame for silenceTimeout, and closes the link if the ping fails.
func (lnk *link) checkLiveness() {
	if !lnk.isSilent() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), silenceTimeout)
	defer cancel()
	if err := lnk.conn.Ping(ctx); err != nil {
		lnk.close(errors.Annotate(ErrBroken, err.Error()))
	}
}

// kindCancel is the kind of a frame that cancels the call with the same ID at the peer.
const kindCancel = "Cancel"

func (lnk *link) cancelRemote(idn uint64) {
	_ = lnk.writeFrame(context.Background(), Frame{
		Kind: kindCancel,
		ID:   idn,
	})
}

// readFrames dispatches incoming frames until the connection fails.
func (lnk *link) readFrames() {
	for {
		var frm Frame
		if err := lnk.readValue(context.Background(), &frm); err != nil {
			lnk.close(err)
			return
		}
		switch {
		case frm.Reply:
			lnk.deliverReply(frm)
		case frm.Kind == kindCancel:
			lnk.mu.Lock()
			if cancel, ok := lnk.serving[frm.ID]; ok {
				cancel()
			}
			lnk.mu.Unlock()
		default:
			lnk.startCall(frm)
		}
	}
}

// deliverReply queues a reply for its call, and fails the call if the queue is full.
func (lnk *link) deliverReply(frm Frame) {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	rep, ok := lnk.pending[frm.ID]
	if !ok {
		return
	}
	select {
	case rep <- frm:
	default:
		delete(lnk.pending, frm.ID)
		close(rep)
	}
}

// startCall serves an incoming call in a new goroutine.
func (lnk *link) startCall(frm Frame) {
	ctx, cancel := context.WithCancel(context.Background())
	if frm.ID != 0 {
		lnk.mu.Lock()
		lnk.serving[frm.ID] = cancel
		lnk.mu.Unlock()
	}
	go func() {
		defer func() {
			cancel()
			lnk.mu.Lock()
			delete(lnk.serving, frm.ID)
			lnk.mu.Unlock()
		}()
		lnk.serveCall(ctx, frm)
	}()
}

// serveCall runs the handler of an incoming call and sends the final reply.
func (lnk *link) serveCall(ctx context.Context, frm Frame) {
	last := Frame{
		ID:    frm.ID,
		Reply: true,
	}
	val, err := lnk.mesh.handleCall(ctx, lnk.remote, frm, func(val any) error { return lnk.sendReply(ctx, frm, val) })
	if err == nil {
		last.Body, err = encode(val)
	}
	if err != nil {
		last.Error = err.Error()
	}
	if frm.ID != 0 {
		_ = lnk.writeFrame(context.WithoutCancel(ctx), last)
	}
}

// sendReply sends a reply of a streamed call that is not the last one.
func (lnk *link) sendReply(ctx context.Context, frm Frame, val any) error {
	if frm.ID == 0 || val == nil {
		return nil
	}
	data, err := encode(val)
	if err != nil {
		return errors.Trace(err)
	}
	return lnk.writeFrame(ctx, Frame{
		ID:    frm.ID,
		Reply: true,
		More:  true,
		Body:  data,
	})
}
