package dispatch

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/stream"
)

// adoptInterval is the time between two tries to tell a daemon that its stream is read elsewhere.
const adoptInterval = time.Second

// position is the last event that a reader has.
type position struct {
	token    stream.Token
	sequence int
}

// Resume continues a stream after the event with sequence number last: from this daemon's own run,
// else from the daemon that runs the request, else from the engine.
func (dsp *Dispatcher) Resume(ctx context.Context, tok stream.Token, last int, deadline time.Time, emit func(Event) error) error {
	if run := dsp.find(tok.RequestID); run != nil {
		if idx, ok := run.his.after(tok.Attempt, last); ok {
			return dsp.follow(ctx, run, idx, emit)
		}
	}
	pos := position{
		token:    tok,
		sequence: last,
	}
	if tok.Owner != dsp.cfg.Self {
		var err error
		if pos, err = dsp.attach(ctx, pos, emit); !errors.Is(err, ErrLost) && !errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrUnknownRun) {
			return errors.Trace(err)
		}
	}
	run, err := dsp.adopt(pos, deadline)
	if err != nil {
		return errors.Trace(err)
	}
	return dsp.follow(ctx, run, 0, emit)
}

// attach follows the run at the daemon that owns it; it returns the position that the reader got to.
func (dsp *Dispatcher) attach(ctx context.Context, pos position, emit func(Event) error) (position, error) {
	att := Attachment{
		RequestID: pos.token.RequestID,
		Attempt:   pos.token.Attempt,
		Sequence:  pos.sequence,
		Action:    Follow,
	}
	var emitErr error
	err := dsp.sea.Attach(ctx, pos.token.Owner, att, func(evt Event) error {
		if tok, err := stream.Decode(dsp.cfg.TokenKey, evt.Token); err == nil {
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

// adopt starts a run that reads a stream at its engine, for an owner that is lost.
func (dsp *Dispatcher) adopt(pos position, deadline time.Time) (*run, error) {
	run := newRun(dsp, pos.token.RequestID, true)
	run.ran = true
	if !dsp.register(run) {
		return nil, refusal.UnknownOutcome("this entry VM is stopping; resume at another", comeBack)
	}
	run.launch(deadline, func(ctx context.Context) error {
		if pos.token.Owner != dsp.cfg.Self {
			go dsp.notifyOwner(ctx, pos.token)
		}
		return dsp.readEngine(ctx, pos, run.his)
	})
	return run, nil
}

// readEngine reads a stream after a position, with this daemon as its owner from now on.
func (dsp *Dispatcher) readEngine(ctx context.Context, pos position, his *history) error {
	tok := pos.token
	tok.Owner = dsp.cfg.Self
	dsp.cnt.resumed.Inc(1)
	str, err := dsp.sea.Resume(ctx, tok.Address, tok.RequestID, tok.Attempt, pos.sequence+1)
	if err != nil {
		return refusal.UnknownOutcome("the stream is no longer held; ask again", comeBack)
	}
	err = dsp.relay(ctx, relay{
		token:   tok,
		stream:  str,
		history: his,
		next:    pos.sequence + 1,
	})
	if errors.Is(err, errReplica) {
		return refusal.UnknownOutcome("the replica was lost; ask again", comeBack)
	}
	return err
}

// notifyOwner tells the former owner that its stream is read here. A paused owner would otherwise
// cancel the stream at the end of its resume window, after it runs again.
func (dsp *Dispatcher) notifyOwner(ctx context.Context, tok stream.Token) {
	att := Attachment{
		RequestID: tok.RequestID,
		Action:    Adopt,
	}
	for ctx.Err() == nil {
		err := dsp.sea.Attach(ctx, tok.Owner, att, nil)
		if err == nil || errors.Is(err, ErrUnknownRun) {
			return
		}
		select {
		case <-ctx.Done():
		case <-dsp.clk.After(adoptInterval):
		}
	}
}
