package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/stream"
)

const (
	// maxAttempts is the number of replicas to which one request may be sent.
	maxAttempts = 3
	// maxUnsentSends limits how often a send may be abandoned before a byte is sent, which happens when permits
	// expire.
	maxUnsentSends = 20
	// forwardAttemptStride separates the attempt numbers used by the daemon that got a forwarded request from later
	// ones.
	forwardAttemptStride = 8
	// regroupTimeout is how long a text that has begun waits for a group; the repair of a group takes this long.
	regroupTimeout = 3 * time.Second
	// pollInterval is the time between two checks of a condition that sends no notification.
	pollInterval = 50 * time.Millisecond
	// cancelTimeout limits a cancel request to an engine, or to a daemon, that may be down.
	cancelTimeout = 2 * time.Second
)

const (
	// errReplica means that a replica failed and that another one may continue.
	errReplica = errors.ConstError("dispatch: replica failed")
	// errNotSent means that a send was abandoned before a byte was sent, through no fault of the group.
	errNotSent = errors.ConstError("dispatch: request not sent")
	// errNoGroup means that no group of this zone can take the request now.
	errNoGroup = errors.ConstError("dispatch: no group available")
	// errAbandoned cancels a run for which no caller waits.
	errAbandoned = errors.ConstError("dispatch: no caller waits for the request")
	// errAdopted cancels a run whose stream another daemon reads; the stream itself must not be cancelled.
	errAdopted = errors.ConstError("dispatch: stream is read by another daemon")
)

// run is the state of one request in progress.
type run struct {
	dispatcher *Dispatcher
	requestID  string
	request    Request
	forwarded  bool
	// resumableFromStart means that the reader can ask for the run again even if it has received no event.
	resumableFromStart bool
	eventHistory       *history
	cancel             context.CancelCauseFunc

	attempt int
	// sends counts the sends to replicas that failed or that the held stream overtook.
	sends int
	// held is a stream that is kept until another replica continues its text, nil if there is none.
	held *heldStream
	// failedGroups maps the name of each group that failed the request to its fencing token at that time.
	failedGroups map[string]uint64
	// mayHaveRun means that a backend server may have run the request.
	mayHaveRun bool
	// nextIsRetry means that the next send is a retry, which counts against the retry budgets.
	nextIsRetry bool
	crashes     []quarantine.Crash
	// permitRefusal is the latest refusal of a permit.
	permitRefusal *refusal.Refusal

	mu sync.Mutex
	// readers counts the current readers, follows all readers so far.
	readers int
	follows int
	removed bool
}

func newRun(dsp *Dispatcher, id string, resumableFromStart bool) *run {
	return &run{
		dispatcher:         dsp,
		requestID:          id,
		resumableFromStart: resumableFromStart,
		eventHistory:       newHistory(),
		failedGroups:       map[string]uint64{},
	}
}

// launch starts body in the background, independently of any caller's connection.
func (run *run) launch(deadline time.Time, body func(ctx context.Context) error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	run.cancel = cancel
	lim, stop := context.WithDeadline(ctx, deadline)
	go func() {
		defer stop()
		run.eventHistory.end(run.finalError(lim, body(lim)))
	}()
}

// finalError converts the result of a run to nil or a refusal.
func (run *run) finalError(ctx context.Context, err error) error {
	var ref *refusal.Refusal
	switch {
	case err == nil:
		return nil
	case errors.Is(context.Cause(ctx), errAdopted):
		return refusal.UnknownOutcome("another entry VM continues the stream", retryAfter)
	case errors.As(err, &ref):
		return ref
	case ctx.Err() != nil:
		return refusal.New(run.outcome(), http.StatusGatewayTimeout, "Deadline passed", "the request's time is up", retryAfter)
	default:
		run.dispatcher.logger.Error("request failed", zap.String("request", run.requestID), zap.Error(err))
		return run.reject("the request could not be completed")
	}
}

// outcome returns whether a request that was not completed may have run.
func (run *run) outcome() refusal.Outcome {
	if run.mayHaveRun {
		return refusal.Unknown
	}
	return refusal.NotRun
}

func (run *run) reject(detail string) *refusal.Refusal {
	if run.mayHaveRun {
		return refusal.UnknownOutcome(detail, retryAfter)
	}
	return refusal.Unavailable(detail, retryAfter)
}

// generate sends the request to replicas until one completes it, and returns to a stream that goes on before.
func (run *run) generate(ctx context.Context) error {
	defer func() { run.dropHeld(ctx) }()
	for {
		err := run.sendToReplicas(ctx)
		if run.held == nil {
			return err
		}
		if !run.held.waitForFrame(ctx) {
			if ctx.Err() != nil {
				return errors.Trace(ctx.Err())
			}
			return err
		}
		if err = run.returnToHeld(ctx); !errors.Is(err, errReplica) {
			return err
		}
	}
}

// sendToReplicas sends the request to replicas until one completes it, the held stream goes on, or no other can take it.
func (run *run) sendToReplicas(ctx context.Context) error {
	unsent := 0
	for run.sends < maxAttempts {
		if run.held != nil && run.held.hasMoved() {
			return errors.Trace(errOvertaken)
		}
		err := run.sendOnce(ctx)
		if errors.Is(err, errNotSent) && unsent < maxUnsentSends {
			unsent++
			continue
		}
		if err == nil || !errors.Is(err, errReplica) {
			return errors.Trace(err)
		}
	}
	return run.reject("the request failed on several replicas")
}

// sendOnce sends the request to one replica, of another zone if this one has none, unless the held stream goes on before.
func (run *run) sendOnce(ctx context.Context) error {
	ctx, cancel := run.untilHeldMoves(ctx)
	defer cancel()
	if err := run.checkQuarantine(); err != nil {
		return err
	}
	cand, release, err := run.admit(ctx)
	if errors.Is(err, errNoGroup) {
		err = run.continueElsewhere(ctx)
		run.sends++
		return err
	}
	if err != nil {
		return err
	}
	before := run.attempt
	err = run.send(ctx, cand)
	release()
	if run.attempt != before || ctx.Err() != nil {
		run.sends++
	}
	if !errors.Is(err, errReplica) {
		return err
	}
	run.dispatcher.logger.Warn("replica failed while running a request",
		zap.String("request", run.requestID),
		zap.String("group", cand.Group.Name),
		zap.Int("attempt", before),
		zap.Error(err),
	)
	run.failedGroups[cand.Group.Name] = cand.Group.Fencing
	return err
}

// continueElsewhere forwards the request to another zone, or waits for a group if the text has begun.
func (run *run) continueElsewhere(ctx context.Context) error {
	if !run.forwarded {
		if err := run.forward(ctx); !errors.Is(err, errNoGroup) {
			return err
		}
	}
	if run.eventHistory.receivedText() == "" {
		if run.permitRefusal != nil && !run.mayHaveRun {
			return run.permitRefusal
		}
		return run.reject("no group of the model " + run.request.Model + " can take the request")
	}
	// A group whose reports are fresh again may be retried: they may only have been late.
	run.failedGroups = map[string]uint64{}
	for end := run.dispatcher.clock.Now().Add(regroupTimeout); run.dispatcher.clock.Now().Before(end); {
		if len(run.dispatcher.candidates(run.request, run.failedGroups)) > 0 {
			return errors.Annotate(errReplica, "a group is available again")
		}
		select {
		case <-run.dispatcher.clock.After(pollInterval):
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
	return run.reject("the replica was lost and no other can continue")
}

// admit chooses a group and acquires what a send to it needs: slots for a suspect, retry budget and a permit.
func (run *run) admit(ctx context.Context) (Candidate, func(), error) {
	cand, err := run.placeWithCopies(ctx)
	releaseSlot := func() {}
	if errors.Is(err, errSuspect) {
		cand, releaseSlot, err = run.acquireSuspectSlots(ctx)
	}
	if err != nil {
		return cand, nil, err
	}
	if err := run.chargeRetryBudget(cand.Group.Name); err != nil {
		releaseSlot()
		return cand, nil, err
	}
	release, err := run.acquire(ctx, cand)
	if err != nil {
		releaseSlot()
		if errors.As(err, &run.permitRefusal) && run.permitRefusal.Status == http.StatusServiceUnavailable {
			return cand, nil, errors.Annotate(errNoGroup, run.permitRefusal.Detail)
		}
		return cand, nil, err
	}
	return cand, func() { release(); releaseSlot() }, nil
}

// chargeRetryBudget accounts for the next send in the retry budgets: a retry is taken from them, any other send adds to
// them. It returns a refusal if no retry is left.
func (run *run) chargeRetryBudget(group string) error {
	if !run.nextIsRetry {
		run.dispatcher.deps.RecordRequest(run.request.Workspace, group)
		return nil
	}
	if !run.dispatcher.deps.TakeRetry(run.request.Workspace, group) {
		run.dispatcher.requestCounters.overBudget.Inc(1)
		return run.reject("the retry budget is used up")
	}
	run.dispatcher.requestCounters.retries.Inc(1)
	return nil
}

// acquire takes a permit for a group; it stops waiting when the group may get no more work.
func (run *run) acquire(ctx context.Context, cand Candidate) (func(), error) {
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for wait.Err() == nil {
			if !run.dispatcher.acceptsWork(cand.Group) {
				cancel()
				return
			}
			select {
			case <-run.dispatcher.clock.After(pollInterval):
			case <-wait.Done():
			}
		}
	}()
	release, err := run.dispatcher.deps.Acquire(wait, run.request, cand)
	if err != nil && wait.Err() != nil && ctx.Err() == nil {
		return nil, errors.Annotate(errNotSent, "the group accepts no new work or a member has no fresh report")
	}
	return release, errors.Trace(err)
}

func (run *run) send(ctx context.Context, cand Candidate) error {
	dsp := run.dispatcher
	if ctx.Err() != nil {
		return errors.Trace(ctx.Err())
	}
	// Choosing and waiting for a permit took time, so the group is checked again at the moment of sending.
	if !dsp.acceptsWork(cand.Group) {
		return errors.Annotate(errReplica, "the group accepts no new work or a member has no fresh report")
	}
	incs := dsp.incarnations(cand.Group)
	lead := cand.Group.Members[0]
	received := run.eventHistory.receivedText()
	str, err := dsp.deps.Generate(ctx, lead.Address, backend.StreamRequest{
		RequestID: run.requestID,
		Attempt:   run.attempt,
		Model:     run.request.Model,
		Adapter:   run.request.Adapter,
		Prompt:    run.request.Prompt,
		MaxTokens: run.request.MaxTokens,
		Priority:  run.request.Priority,
		Continue:  run.request.Continue + received,
	})
	if err != nil {
		return run.handleSendError(ctx, cand, incs, err)
	}
	run.mayHaveRun = true
	if run.request.Continue+received != "" {
		dsp.requestCounters.continued.Inc(1)
	}
	return run.relay(ctx, &frameRelay{
		token:        run.token(lead.Address),
		stream:       str,
		group:        cand.Group,
		history:      run.eventHistory,
		incarnations: incs,
		begin:        run.overtakeHeld,
	})
}

// relay transfers the frames of a stream. If the stream is lost at a replica that still runs, it is held.
func (run *run) relay(ctx context.Context, rly *frameRelay) error {
	err := run.dispatcher.relayFrames(ctx, rly)
	if !errors.Is(err, errReplica) {
		return err
	}
	mayHold := run.held == nil
	if !mayHold {
		run.dispatcher.cancelStream(rly.token)
	}
	run.nextIsRetry = true
	run.attempt++
	alive := run.checkCrash(ctx, rly.group, rly.incarnations)
	switch {
	case !mayHold:
	case alive && !run.isSuspect():
		run.holdLocal(ctx, rly)
	default:
		run.dispatcher.cancelStream(rly.token)
	}
	return err
}

func (run *run) token(adr string) stream.ResumeToken {
	return stream.ResumeToken{
		RequestID: run.requestID,
		Attempt:   run.attempt,
		Address:   adr,
		Owner:     run.dispatcher.config.Self,
		Workspace: run.request.Workspace,
		Model:     run.request.Model,
		Chat:      run.request.Chat,
	}
}

// handleSendError handles the error of a send that opened no stream. It returns a refusal if the engine rejected the
// request as invalid, errNotSent if the permit expired before the send, and errReplica if another replica has to be
// tried. The report of an engine that was not reached is invalidated. An engine that may have run the request counts as
// lost.
func (run *run) handleSendError(ctx context.Context, cand Candidate, incs map[string]uint64, err error) error {
	lead := cand.Group.Members[0]
	switch {
	case errors.Is(err, backend.ErrInvalidRequest):
		return refusal.Invalid("the engine rejected the request")
	case errors.Is(err, backend.ErrNotSent):
		run.dispatcher.reportTable.Invalidate(lead.VM)
	case errors.Is(err, backend.ErrRejected):
		run.nextIsRetry = true
	case !errors.Is(err, backend.ErrBroken):
		// The permit expired before the send; the group may be tried again.
		return errors.Annotate(errNotSent, err.Error())
	default:
		run.mayHaveRun = true
		if ctx.Err() != nil {
			run.dispatcher.cancelStream(run.token(lead.Address))
			return errors.Trace(ctx.Err())
		}
		run.handleReplicaLoss(ctx, cand.Group, incs)
	}
	if ctx.Err() != nil {
		return errors.Trace(ctx.Err())
	}
	return errors.Annotate(errReplica, err.Error())
}

// handleReplicaLoss cancels the stream at a replica that may have run the request and checks for a crash. The next send
// is a retry and has a new attempt number.
func (run *run) handleReplicaLoss(ctx context.Context, grp group.Group, incs map[string]uint64) {
	run.nextIsRetry = true
	// The engine may only be unreachable; it must not go on generating a text that another replica continues.
	run.dispatcher.cancelStream(run.token(grp.Members[0].Address))
	run.attempt++
	_ = run.checkCrash(ctx, grp, incs)
}
