package dispatch

import (
	"context"
	"net/http"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/stream"
)

// forwardBudgetGroup is the group name under which sends to other zones count against the retry budgets.
const forwardBudgetGroup = "other zones"

// forward runs the request in another zone. It fails with errNoGroup if no zone accepted the request, and with
// errReplica if the zone that accepted it lost it.
func (run *run) forward(ctx context.Context) error {
	for _, adr := range run.dispatcher.deps.OtherZones() {
		if ctx.Err() != nil {
			return errors.Trace(ctx.Err())
		}
		if run.held != nil && run.held.daemon == adr {
			// That daemon has one run under the ID of the request.
			continue
		}
		if err := run.chargeRetryBudget(forwardBudgetGroup); err != nil {
			return err
		}
		err := run.forwardTo(ctx, adr)
		var ref *refusal.Refusal
		declined := errors.As(err, &ref) && ref.Outcome == refusal.NotRun && ref.Status == http.StatusServiceUnavailable
		if declined || errors.Is(err, ErrUnreachable) {
			continue
		}
		if ref != nil && ref.Outcome == refusal.Unknown {
			run.mayHaveRun = true
		}
		return err
	}
	return errors.Trace(errNoGroup)
}

// forwardTo runs the request at a daemon of another zone. When the connection to that daemon breaks, the stream is
// resumed first at the daemon, then at the engine; only if both fail does another replica continue the text.
func (run *run) forwardTo(ctx context.Context, adr string) error {
	req := run.request
	req.Attempt = run.attempt
	req.Continue += run.eventHistory.receivedText()
	req.Crashes = run.crashes
	received := false
	receive := func(evt Event) error {
		received = true
		return run.receive(evt)
	}
	err := run.dispatcher.deps.Forward(ctx, adr, req, receive)
	if errors.Is(err, errOvertaken) {
		run.abandonRemote(adr)
	}
	if !errors.Is(err, ErrConnectionLost) {
		return errors.Trace(err)
	}
	run.logBrokenPath(adr)
	pos := position{
		token: stream.ResumeToken{
			RequestID: run.requestID,
			Attempt:   req.Attempt,
			Owner:     adr,
		},
		sequence: -1,
	}
	if evt, ok := run.eventHistory.last(); received && ok {
		if tok, err := stream.DecodeToken(run.dispatcher.config.TokenKey, evt.Token); err == nil {
			pos.token = tok
			pos.sequence = evt.Sequence
		}
	}
	return run.recoverForwarded(ctx, adr, pos)
}

func (run *run) logBrokenPath(adr string) {
	run.dispatcher.logger.Warn("connection to the peer that runs a forwarded request broke", zap.String("request", run.requestID), zap.String("peer", adr))
}

// recoverForwarded resumes a forwarded request after pos. If that fails, the daemon that runs it is held until another replica continues
// the text.
func (run *run) recoverForwarded(ctx context.Context, adr string, pos position) error {
	run.mayHaveRun = true
	run.nextIsRetry = true
	if ctx.Err() != nil {
		run.abandonRemote(adr)
		return errors.Trace(ctx.Err())
	}
	pos, err := run.resumeForwarded(ctx, pos)
	switch {
	case err == nil:
	case errors.Is(err, errReplica) && run.held == nil && !run.isSuspect():
		run.holdForwarded(ctx, adr, pos)
	default:
		run.abandonRemote(adr)
	}
	run.attempt += forwardAttemptStride
	return err
}

func (run *run) resumeForwarded(ctx context.Context, pos position) (position, error) {
	pos, err := run.dispatcher.attach(ctx, pos, run.receive)
	if !isPathError(err) && !errors.Is(err, ErrUnknownRequest) {
		return pos, errors.Trace(err)
	}
	if pos.sequence < 0 {
		return pos, errors.Annotate(errReplica, "the entry VM of the other zone was lost")
	}
	err = run.dispatcher.readEngine(ctx, pos, run.eventHistory)
	var ref *refusal.Refusal
	if errors.As(err, &ref) {
		return pos, errors.Annotate(errReplica, ref.Detail)
	}
	return pos, err
}

// receive adds an event of another daemon to the history.
func (run *run) receive(evt Event) error {
	if !run.overtakeHeld() {
		return errors.Trace(errOvertaken)
	}
	run.eventHistory.add(evt)
	return nil
}

// abandonRemote notifies the daemon that runs the request that no caller waits for it any more, unless the text is complete: the
// caller can have all of it before the run has returned to a held stream.
func (run *run) abandonRemote(adr string) {
	if evt, ok := run.eventHistory.last(); ok && evt.Finish != "" {
		return
	}
	run.dispatcher.requestCounters.cancelled.Inc(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		att := Attachment{
			RequestID: run.requestID,
			Action:    Abandon,
		}
		if err := run.dispatcher.deps.Attach(ctx, adr, att, nil); err != nil {
			run.dispatcher.logger.Debug("cannot abandon forwarded request", zap.String("request", run.requestID), zap.Error(err))
		}
	}()
}
