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
)

// replyBacklog is the number of replies that wait for a slow reader of one call. When it is full the
// call fails, so that one slow reader does not stop the other calls on the connection.
const replyBacklog = 1024

// link is one authenticated connection; both sides may call over it.
type link struct {
	msh   *Mesh
	con   *websocket.Conn
	other Identity
	ready chan struct{}
	done  chan struct{}

	nextID atomic.Uint64
	// heard is when the last frame came, in nanoseconds since the Unix epoch.
	heard   atomic.Int64
	closing sync.Once

	mu      sync.Mutex
	reason  error
	pending map[uint64]chan Frame
	serving map[uint64]context.CancelFunc
}

func newLink(msh *Mesh) *link {
	return &link{
		msh:     msh,
		ready:   make(chan struct{}),
		done:    make(chan struct{}),
		pending: map[uint64]chan Frame{},
		serving: map[uint64]context.CancelFunc{},
	}
}

func (lnk *link) cause() error {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	return lnk.reason
}

func (lnk *link) close(cause error) {
	lnk.closing.Do(func() {
		lnk.mu.Lock()
		lnk.reason = cause
		for _, cancel := range lnk.serving {
			cancel()
		}
		lnk.mu.Unlock()
		close(lnk.done)
		if lnk.con != nil {
			_ = lnk.con.CloseNow()
		}
	})
}

// greet authenticates as the side that connected.
func (lnk *link) greet(ctx context.Context) error {
	key, err := lnk.msh.sharedKey()
	if err != nil {
		return errors.Trace(err)
	}
	own := newNonce()
	first := hello{
		Identity: lnk.msh.self,
		Nonce:    own,
	}
	if err := lnk.writeValue(ctx, first); err != nil {
		return errors.Trace(err)
	}
	var ans hello
	if err := lnk.readValue(ctx, &ans); err != nil {
		return errors.Trace(err)
	}
	if !hmac.Equal(ans.Proof, proof(key, "accept", ans.Nonce, own, ans.Identity)) {
		return errors.Annotate(ErrRejected, "wrong proof of the shared key")
	}
	lnk.other = ans.Identity
	first.Proof = proof(key, "connect", own, ans.Nonce, lnk.msh.self)
	return lnk.writeValue(ctx, first)
}

// admit authenticates as the side that was connected to.
func (lnk *link) admit(ctx context.Context) error {
	key, err := lnk.msh.sharedKey()
	if err != nil {
		return errors.Trace(err)
	}
	var first hello
	if err := lnk.readValue(ctx, &first); err != nil {
		return errors.Trace(err)
	}
	own := newNonce()
	ans := hello{
		Identity: lnk.msh.self,
		Nonce:    own,
		Proof:    proof(key, "accept", own, first.Nonce, lnk.msh.self),
	}
	if err := lnk.writeValue(ctx, ans); err != nil {
		return errors.Trace(err)
	}
	var last hello
	if err := lnk.readValue(ctx, &last); err != nil {
		return errors.Trace(err)
	}
	if !hmac.Equal(last.Proof, proof(key, "connect", first.Nonce, own, first.Identity)) {
		return errors.Annotate(ErrRejected, "wrong proof of the shared key")
	}
	lnk.other = first.Identity
	return nil
}

func (lnk *link) writeValue(ctx context.Context, val any) error {
	data, err := cbor.Marshal(val)
	if err != nil {
		return errors.Annotate(ErrRejected, err.Error())
	}
	if err := lnk.con.Write(ctx, websocket.MessageBinary, data); err != nil {
		return errors.Annotate(ErrBroken, err.Error())
	}
	lnk.msh.sent.Inc(int64(len(data)))
	return nil
}

func (lnk *link) readValue(ctx context.Context, val any) error {
	_, data, err := lnk.con.Read(ctx)
	if err != nil {
		return errors.Annotate(ErrBroken, err.Error())
	}
	lnk.heard.Store(time.Now().UnixNano())
	lnk.msh.received.Inc(int64(len(data)))
	return Decode(data, val)
}

func (lnk *link) write(ctx context.Context, frm Frame) error {
	// A cancelled write closes a WebSocket, so a caller's context must not reach it.
	if err := ctx.Err(); err != nil {
		return errors.Annotate(ErrUnreachable, err.Error())
	}
	wrc, cancel := context.WithTimeout(context.WithoutCancel(ctx), handshakeTimeout)
	defer cancel()
	if err := lnk.writeValue(wrc, frm); err != nil {
		lnk.close(err)
		return errors.Trace(err)
	}
	return nil
}

func (lnk *link) call(ctx context.Context, kind string, body []byte, take func([]byte) error) error {
	idn := lnk.nextID.Add(1)
	rep := make(chan Frame, replyBacklog)
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
	if err := lnk.write(ctx, frm); err != nil {
		return errors.Trace(err)
	}
	watch := time.NewTicker(silentAfter)
	defer watch.Stop()
	for {
		select {
		case <-watch.C:
			lnk.checkSilence()
		case frm, ok := <-rep:
			if !ok {
				return errors.Trace(ErrOverflow)
			}
			if frm.Error != "" {
				return errors.Annotate(ErrRemote, frm.Error)
			}
			// The last reply of a streamed call has no body.
			if !frm.empty() {
				if err := take(frm.Body); err != nil {
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
			return errors.Annotatef(ErrBroken, "%v", lnk.cause())
		}
	}
}

// silentAfter is the time without a frame after which a peer that owes a reply must answer a WebSocket
// ping. Without it a call on a connection that a partition silently cut would wait for its own deadline.
const silentAfter = 2 * time.Second

// checkSilence closes the link if the peer has been silent and does not answer.
func (lnk *link) checkSilence() {
	if time.Since(time.Unix(0, lnk.heard.Load())) < silentAfter {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), silentAfter)
	defer cancel()
	if err := lnk.con.Ping(ctx); err != nil {
		lnk.close(errors.Annotate(ErrBroken, err.Error()))
	}
}

// kindCancel ends the call with the frame's ID at the peer.
const kindCancel = "Cancel"

func (lnk *link) cancelRemote(idn uint64) {
	_ = lnk.write(context.Background(), Frame{
		Kind: kindCancel,
		ID:   idn,
	})
}

func (lnk *link) read() {
	for {
		var frm Frame
		if err := lnk.readValue(context.Background(), &frm); err != nil {
			lnk.close(err)
			return
		}
		switch {
		case frm.Reply:
			lnk.deliver(frm)
		case frm.Kind == kindCancel:
			lnk.mu.Lock()
			if cancel, ok := lnk.serving[frm.ID]; ok {
				cancel()
			}
			lnk.mu.Unlock()
		default:
			lnk.start(frm)
		}
	}
}

func (lnk *link) deliver(frm Frame) {
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

func (lnk *link) start(frm Frame) {
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
		lnk.run(ctx, frm)
	}()
}

func (lnk *link) run(ctx context.Context, frm Frame) {
	last := Frame{
		ID:    frm.ID,
		Reply: true,
	}
	val, err := lnk.msh.handle(ctx, lnk.other, frm, func(val any) error { return lnk.reply(ctx, frm, val) })
	if err == nil {
		last.Body, err = encode(val)
	}
	if err != nil {
		last.Error = err.Error()
	}
	if frm.ID != 0 {
		_ = lnk.write(context.WithoutCancel(ctx), last)
	}
}

func (lnk *link) reply(ctx context.Context, frm Frame, val any) error {
	if frm.ID == 0 || val == nil {
		return nil
	}
	data, err := encode(val)
	if err != nil {
		return errors.Trace(err)
	}
	return lnk.write(ctx, Frame{
		ID:    frm.ID,
		Reply: true,
		More:  true,
		Body:  data,
	})
}
