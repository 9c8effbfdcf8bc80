package dispatch

import (
	"context"
	"net/http"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/stream"
)

// forwardGroup is the name under which sends to other zones count against the retry budget of a group.
const forwardGroup = "other zones"

// forward runs the request in another zone; errNoGroup says that none took it, errReplica that one lost it.
func (run *run) forward(ctx context.Context) error {
	for _, adr := range run.dsp.sea.OtherZones() {
		if ctx.Err() != nil {
			return errors.Trace(ctx.Err())
		}
		if err := run.charge(forwardGroup); err != nil {
			return err
		}
		err := run.forwardTo(ctx, adr)
		var ref *refusal.Refusal
		declined := errors.As(err, &ref) && ref.Outcome == refusal.NotRun && ref.Status == http.StatusServiceUnavailable
		if declined || errors.Is(err, ErrUnreachable) {
			continue
		}
		if ref != nil && ref.Outcome == refusal.Unknown {
			run.ran = true
		}
		return err
	}
	return errors.Trace(errNoGroup)
}

// forwardTo runs the request at a daemon of another zone. When the connection to it breaks, the stream is
// resumed there, then at the engine; only then does another replica continue the text.
func (run *run) forwardTo(ctx context.Context, adr string) error {
	req := run.req
	req.Attempt = run.attempt
	req.Continue += run.his.received()
	req.Crashes = run.crashes
	took := false
	take := func(evt Event) error {
		took = true
		run.his.add(evt)
		return nil
	}
	err := run.dsp.sea.Forward(ctx, adr, req, take)
	if !errors.Is(err, ErrLost) {
		return errors.Trace(err)
	}
	run.ran = true
	run.retry = true
	if ctx.Err() != nil {
		run.abandonAt(adr)
		return errors.Trace(ctx.Err())
	}
	run.dsp.log.Warn("the connection to a forwarded request broke", zap.String("request", run.id), zap.String("peer", adr))
	pos := position{
		token: stream.Token{
			RequestID: run.id,
			Attempt:   req.Attempt,
			Owner:     adr,
		},
		sequence: -1,
	}
	if evt, ok := run.his.last(); took && ok {
		if tok, err := stream.Decode(run.dsp.cfg.TokenKey, evt.Token); err == nil {
			pos.token = tok
			pos.sequence = evt.Sequence
		}
	}
	if err = run.resumeForwarded(ctx, pos, take); err != nil {
		run.abandonAt(adr)
	}
	run.attempt += forwardStride
	return err
}

func (run *run) resumeForwarded(ctx context.Context, pos position, take func(Event) error) error {
	pos, err := run.dsp.attach(ctx, pos, take)
	if !errors.Is(err, ErrLost) && !errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrUnknownRun) {
		return errors.Trace(err)
	}
	if pos.sequence < 0 {
		return errors.Annotate(errReplica, "the entry VM of the other zone was lost")
	}
	notify, cancel := context.WithCancel(ctx)
	defer cancel()
	go run.dsp.notifyOwner(notify, pos.token)
	err = run.dsp.readEngine(ctx, pos, run.his)
	var ref *refusal.Refusal
	if errors.As(err, &ref) {
		return errors.Annotate(errReplica, ref.Detail)
	}
	return err
}

// abandonAt tells a daemon that runs the request that nobody asks for the answer any more.
func (run *run) abandonAt(adr string) {
	run.dsp.cnt.cancelled.Inc(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		att := Attachment{
			RequestID: run.id,
			Action:    Abandon,
		}
		if err := run.dsp.sea.Attach(ctx, adr, att, nil); err != nil {
			run.dsp.log.Debug("cannot abandon a forwarded request", zap.String("request", run.id), zap.Error(err))
		}
	}()
}
