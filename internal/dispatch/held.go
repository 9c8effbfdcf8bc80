package dispatch

import (
	"context"
	"sync"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/stream"
)

// heldGrace is how long a request waits for a stream that was resumed before it looks for another replica.
const heldGrace = stallTimeout

// errOvertaken means that a replica began to answer after the held stream had gone on.
const errOvertaken = errors.ConstError("dispatch: the held stream went on first")

// heldStream is a stream that stalled or broke at a replica that still runs, or at the daemon of another zone. It is resumed until it
// goes on or another replica has begun to continue its text, whichever is first: a replica that was only chosen may decline, break off
// or be silent.
type heldStream struct {
	attempt int
	// daemon is the address of the daemon that runs a forwarded request, empty if this one does.
	daemon string
	// ctx is that of the resumed stream, which cancel closes.
	ctx    context.Context
	cancel context.CancelFunc
	// resumeOnce resumes the stream and returns nil once it has moved.
	resumeOnce func() error
	// transfer transfers the rest of a stream that has moved, and giveUp ends it at the replica.
	transfer func(ctx context.Context) error
	giveUp   func()
	// failing is closed once the stream could not be resumed, moved once it goes on, and settled once resumeOnce is not called any more.
	failing chan struct{}
	moved   chan struct{}
	settled chan struct{}

	mu       sync.Mutex
	replaced bool
}

func newHeldStream(ctx context.Context, attempt int) *heldStream {
	// The stream outlasts the send, so that only cancel ends it.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &heldStream{
		attempt: attempt,
		ctx:     ctx,
		cancel:  cancel,
		failing: make(chan struct{}),
		moved:   make(chan struct{}),
		settled: make(chan struct{}),
	}
}

// holdLocal keeps the stream of a relay.
func (run *run) holdLocal(ctx context.Context, rly *frameRelay) {
	dsp, hld := run.dispatcher, newHeldStream(ctx, rly.token.Attempt)
	hld.resumeOnce = func() error { return hld.readFrame(dsp, rly) }
	hld.transfer = func(ctx context.Context) error { return run.relay(ctx, rly) }
	hld.giveUp = func() { dsp.cancelStream(rly.token) }
	run.hold(ctx, hld)
}

// holdForwarded keeps the request that the daemon at address runs. The events after pos are requested from it.
func (run *run) holdForwarded(ctx context.Context, address string, pos position) {
	dsp, hld := run.dispatcher, newHeldStream(ctx, pos.token.Attempt)
	hld.daemon = address
	var result error
	hld.resumeOnce = func() error {
		var err error
		pos, err = dsp.attach(hld.ctx, pos, func(evt Event) error {
			if !hld.move() {
				return errors.Trace(errOvertaken)
			}
			run.eventHistory.add(evt)
			return nil
		})
		if !hld.hasMoved() {
			return errors.Trace(err)
		}
		result = err
		return nil
	}
	hld.transfer = func(ctx context.Context) error {
		<-hld.settled
		if ctx.Err() == nil && !isPathError(result) {
			return errors.Trace(result)
		}
		return run.recoverForwarded(ctx, address, pos)
	}
	hld.giveUp = func() { run.abandonRemote(address) }
	run.hold(ctx, hld)
}

// hold resumes a stream in the background and waits a short time for it to go on.
func (run *run) hold(ctx context.Context, hld *heldStream) {
	dsp := run.dispatcher
	run.held = hld
	dsp.requestCounters.resumed.Inc(1)
	dsp.logger.Info("keeping a stream until another replica continues it", zap.String("request", run.requestID), zap.Int("attempt", hld.attempt))
	go hld.resume(dsp)
	select {
	case <-hld.moved:
	case <-hld.failing:
	case <-dsp.clock.After(heldGrace):
	case <-ctx.Done():
	}
}

// resume resumes the stream until it goes on. It gives up when the stream is gone, or when resuming has failed for as long as the
// repair of a group takes.
func (hld *heldStream) resume(dsp *Dispatcher) {
	defer close(hld.settled)
	failed := sync.OnceFunc(func() { close(hld.failing) })
	for end := dsp.clock.Now().Add(regroupTimeout); ; {
		err := hld.resumeOnce()
		if err == nil || hld.ctx.Err() != nil {
			return
		}
		failed()
		if isGone(err) || dsp.clock.Now().After(end) {
			return
		}
		select {
		case <-dsp.clock.After(pollInterval):
		case <-hld.ctx.Done():
		}
	}
}

// isGone reports whether an error means that a stream cannot be resumed any more.
func isGone(err error) bool {
	var ref *refusal.Refusal
	return errors.Is(err, backend.ErrStreamNotFound) || errors.Is(err, ErrUnknownRequest) || errors.As(err, &ref)
}

// isPathError reports whether an error means that the path to another daemon failed.
func isPathError(err error) bool {
	return errors.Is(err, ErrConnectionLost) || errors.Is(err, ErrUnreachable)
}

// readFrame resumes the stream of a relay and reads its next frame.
func (hld *heldStream) readFrame(dsp *Dispatcher, rly *frameRelay) error {
	tok, next := rly.token, rly.nextSequence
	str, err := dsp.deps.Resume(hld.ctx, tok.Address, tok.RequestID, tok.Attempt, next)
	if err != nil {
		return errors.Trace(err)
	}
	asm := stream.New(tok.RequestID, tok.Attempt, next)
	for {
		frm, err := str.Next()
		ok := false
		if err == nil {
			ok, err = asm.Accept(frm)
		}
		if err == nil && !ok {
			continue
		}
		if err != nil {
			str.Close()
			return errors.Trace(err)
		}
		rly.stream = str
		rly.first = &frm
		if !hld.move() {
			str.Close()
		}
		return nil
	}
}

// move records that the stream goes on, unless it was replaced before.
func (hld *heldStream) move() bool {
	hld.mu.Lock()
	defer hld.mu.Unlock()
	if !hld.replaced && !hld.hasMoved() {
		close(hld.moved)
	}
	return !hld.replaced
}

// replace gives the stream up, unless it has sent a frame before.
func (hld *heldStream) replace() bool {
	hld.mu.Lock()
	defer hld.mu.Unlock()
	hld.replaced = !hld.hasMoved()
	return hld.replaced
}

func (hld *heldStream) hasMoved() bool {
	select {
	case <-hld.moved:
		return true
	default:
		return false
	}
}

// waitForFrame waits until the stream has sent a frame, and returns false if it does not.
func (hld *heldStream) waitForFrame(ctx context.Context) bool {
	select {
	case <-hld.moved:
	case <-hld.settled:
	case <-ctx.Done():
	}
	return ctx.Err() == nil && hld.hasMoved()
}

// untilHeldMoves returns a context that ends once the held stream has sent a frame.
func (run *run) untilHeldMoves(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if hld := run.held; hld != nil {
		go func() {
			select {
			case <-hld.moved:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	return ctx, cancel
}

// overtakeHeld gives up the held stream, if there is one, for a replica that has begun to continue its text. It returns false if the
// held stream has sent a frame before.
func (run *run) overtakeHeld() bool {
	if run.held == nil {
		return true
	}
	if !run.held.replace() {
		return false
	}
	run.dispatcher.logger.Info("gave up a stream for another replica that continues it", zap.String("request", run.requestID),
		zap.Int("attempt", run.held.attempt))
	run.held.cancel()
	run.held.giveUp()
	run.held = nil
	return true
}

// returnToHeld transfers the rest of the held stream, which has sent a frame.
func (run *run) returnToHeld(ctx context.Context) error {
	hld := run.held
	run.held = nil
	defer hld.cancel()
	stop := context.AfterFunc(ctx, hld.cancel)
	defer stop()
	// The engine may still know the number of a send that was in progress.
	run.attempt += forwardAttemptStride
	return hld.transfer(ctx)
}

// dropHeld ends the held stream at the end of the run.
func (run *run) dropHeld(ctx context.Context) {
	if run.held == nil {
		return
	}
	run.held.cancel()
	if !errors.Is(context.Cause(ctx), errAdopted) {
		run.held.giveUp()
	}
	run.held = nil
}
