package dispatch

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/stream"
)

// adoptRetryInterval is the time between two attempts to notify a daemon that its stream is read elsewhere.
const adoptRetryInterval = time.Second

// position identifies the last event that a reader received.
type position struct {
	token    stream.ResumeToken
	sequence int
}

// Resume continues a stream after the event with sequence number last: from this daemon's own run, else from the
// daemon that runs the request, else from the engine.
func (dsp *Dispatcher) Resume(ctx context.Context, token stream.ResumeToken, last int, deadline time.Time, emit func(Event) error) error {
	if run := dsp.find(token.RequestID); run != nil {
		if idx, ok := run.eventHistory.after(token.Attempt, last); ok {
			return dsp.follow(ctx, run, idx, emit)
		}
	}
	pos := position{
		token:    token,
		sequence: last,
	}
	if token.Owner != dsp.config.Self {
		var err error
		if pos, err = dsp.attach(ctx, pos, emit); !errors.Is(err, ErrConnectionLost) && !errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrUnknownRequest) {
			return errors.Trace(err)
		}
	}
	run, err := dsp.adopt(pos, deadline)
	if err != nil {
		return errors.Trace(err)
	}
	return dsp.follow(ctx, run, 0, emit)
}

// attach follows the run at the daemon that owns it and returns the position that the reader has reached.
func (dsp *Dispatcher) attach(ctx context.Context, pos position, emit func(Event) error) (position, error) {
	att := Attachment{
		RequestID: pos.token.RequestID,
		Attempt:   pos.token.Attempt,
		Sequence:  pos.sequence,
		Action:    Follow,
	}
	var emitErr error
	err := dsp.deps.Attach(ctx, pos.token.Owner, att, func(evt Event) error {
		if tok, err := stream.DecodeToken(dsp.config.TokenKey, evt.Token); err == nil {
			pos.token = tok
			pos.sequence = evt.Sequence
		}
		emitErr = emit(evt)
		return emitErr
	})
	if emitErr != nil {
		return pos, errors.Trace(emitErr)
	}
	if ctx.Err() != nil {
		return pos, errors.Trace(ctx.Err())
	}
	return pos, errors.Trace(err)
}

// adopt starts a run that reads a stream directly from its engine because its owner is lost.
func (dsp *Dispatcher) adopt(pos position, deadline time.Time) (*run, error) {
	run := newRun(dsp, pos.token.RequestID, true)
	run.mayHaveRun = true
	if !dsp.register(run) {
		return nil, refusal.UnknownOutcome("this entry VM is stopping; resume at another", retryAfter)
	}
	run.launch(deadline, func(ctx context.Context) error { return dsp.readEngine(ctx, pos, run.eventHistory) })
	return run, nil
}

// readEngine reads a stream from its engine after a position; this daemon becomes the owner of the stream.
func (dsp *Dispatcher) readEngine(ctx context.Context, pos position, his *history) error {
	tok := pos.token
	tok.Owner = dsp.config.Self
	dsp.requestCounters.resumed.Inc(1)
	str, err := dsp.deps.Resume(ctx, tok.Address, tok.RequestID, tok.Attempt, pos.sequence+1)
	if err != nil {
		return refusal.UnknownOutcome("the stream is no longer held; ask again", retryAfter)
	}
	// The owner lets go of the stream only now: it may reach the engine while this daemon does not.
	if pos.token.Owner != dsp.config.Self {
		notify, cancel := context.WithCancel(ctx)
		defer cancel()
		go dsp.notifyOwner(notify, pos.token)
	}
	err = dsp.relayFrames(ctx, &frameRelay{
		token:        tok,
		stream:       str,
		history:      his,
		nextSequence: pos.sequence + 1,
	})
	if errors.Is(err, errReplica) {
		return refusal.UnknownOutcome("the replica was lost; ask again", retryAfter)
	}
	return err
}

// notifyOwner notifies the former owner that this daemon reads the stream. Otherwise an owner that was paused would
// cancel the stream at the end of its resume window once it continues.
func (dsp *Dispatcher) notifyOwner(ctx context.Context, tok stream.ResumeToken) {
	att := Attachment{
		RequestID: tok.RequestID,
		Action:    Adopt,
	}
	for ctx.Err() == nil {
		err := dsp.deps.Attach(ctx, tok.Owner, att, nil)
		if err == nil || errors.Is(err, ErrUnknownRequest) {
			return
		}
		select {
		case <-ctx.Done():
		case <-dsp.clock.After(adoptRetryInterval):
		}
	}
}
