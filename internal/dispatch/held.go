package dispatch

import (
	"context"
	"sync"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/stream"
)

// heldGrace is how long a request waits for a stream that was resumed before it looks for another replica.
const heldGrace = stallTimeout

// errOvertaken means that a replica began to answer after the held stream had gone on.
const errOvertaken = errors.ConstError("dispatch: the held stream went on first")

// heldStream is a stream that stalled or broke at a replica that still runs. It is resumed until it sends a frame or another replica
// has begun to continue its text, whichever is first: a replica that was only chosen may decline, break off or be silent.
type heldStream struct {
	relay *frameRelay
	// ctx is that of the resumed stream, which cancel closes.
	ctx    context.Context
	cancel context.CancelFunc
	// failing is closed once the stream could not be resumed, moved once it has sent a frame, and settled once it has or is not resumed
	// any more.
	failing chan struct{}
	moved   chan struct{}
	settled chan struct{}

	mu       sync.Mutex
	replaced bool
}

// hold keeps the stream of a relay and waits a short time for a frame of it.
func (run *run) hold(ctx context.Context, rly *frameRelay) {
	dsp := run.dispatcher
	// The stream outlasts the attempt, so that its own function ends it.
	own, cancel := context.WithCancel(context.WithoutCancel(ctx))
	run.held = &heldStream{
		relay:   rly,
		ctx:     own,
		cancel:  cancel,
		failing: make(chan struct{}),
		moved:   make(chan struct{}),
		settled: make(chan struct{}),
	}
	dsp.requestCounters.resumed.Inc(1)
	dsp.logger.Info("resuming a stream at a replica that still runs",
		zap.String("request", run.requestID), zap.String("group", rly.group.Name), zap.Int("attempt", rly.token.Attempt))
	go run.held.resume(dsp)
	select {
	case <-run.held.moved:
	case <-run.held.failing:
	case <-dsp.clock.After(heldGrace):
	case <-ctx.Done():
	}
}

// resume resumes the stream until it sends a frame. It gives up when the engine does not have the stream, or when resuming has failed
// for as long as the repair of a group takes.
func (hld *heldStream) resume(dsp *Dispatcher) {
	defer close(hld.settled)
	failed := sync.OnceFunc(func() { close(hld.failing) })
	for end := dsp.clock.Now().Add(regroupTimeout); ; {
		err := hld.awaitFrame(dsp)
		if err == nil || hld.ctx.Err() != nil {
			return
		}
		failed()
		if errors.Is(err, backend.ErrStreamNotFound) || dsp.clock.Now().After(end) {
			return
		}
		select {
		case <-dsp.clock.After(pollInterval):
		case <-hld.ctx.Done():
		}
	}
}

// awaitFrame resumes the stream once and reads its next frame.
func (hld *heldStream) awaitFrame(dsp *Dispatcher) error {
	tok, next := hld.relay.token, hld.relay.nextSequence
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
		if err != nil || !hld.move(str, frm) {
			str.Close()
		}
		return errors.Trace(err)
	}
}

// move records that the stream has sent a frame, unless it was replaced before.
func (hld *heldStream) move(str *backend.Stream, frm backend.Frame) bool {
	hld.mu.Lock()
	defer hld.mu.Unlock()
	if hld.replaced {
		return false
	}
	hld.relay.stream = str
	hld.relay.first = &frm
	close(hld.moved)
	return true
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
		zap.Int("attempt", run.held.relay.token.Attempt))
	run.held.cancel()
	run.dispatcher.cancelStream(run.held.relay.token)
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
	return run.relay(ctx, hld.relay)
}

// dropHeld ends the held stream at the end of the run.
func (run *run) dropHeld(ctx context.Context) {
	if run.held == nil {
		return
	}
	run.held.cancel()
	run.dispatcher.cancelUnlessAdopted(ctx, run.held.relay.token)
	run.held = nil
}
