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
	// maxAttempts is the number of replicas that one request may be sent to.
	maxAttempts = 3
	// maxUnsent is the number of times that a send may be given up, which happens when permits expire.
	maxUnsent = 20
	// forwardStride keeps the attempt numbers of a daemon that a request was forwarded to apart from later ones.
	forwardStride = 8
	// regroupWait is the time for which a text that has begun waits for a group; repair of a group takes this long.
	regroupWait = 3 * time.Second
	// pollInterval spaces looks at conditions that have no signal of their own.
	pollInterval = 50 * time.Millisecond
	// cancelTimeout bounds a cancel at an engine that may be gone.
	cancelTimeout = 2 * time.Second
)

const (
	// errReplica says that a replica failed and that another one may continue.
	errReplica = errors.ConstError("dispatch: replica failed")
	// errUnsent says that a send was given up before a byte was sent, through no fault of the group.
	errUnsent = errors.ConstError("dispatch: not sent")
	// errNoGroup says that no group of this zone can take the request now.
	errNoGroup = errors.ConstError("dispatch: no group")
	// errAbandoned ends a run whose caller is gone.
	errAbandoned = errors.ConstError("dispatch: caller is gone")
	// errAdopted ends a run whose stream another daemon reads; the stream must not be cancelled.
	errAdopted = errors.ConstError("dispatch: stream is read by another daemon")
)

// run is one request in progress.
type run struct {
	dsp       *Dispatcher
	id        string
	req       Request
	forwarded bool
	// known says that the caller can ask for the run again before it got an event from it.
	known  bool
	his    *history
	cancel context.CancelCauseFunc

	attempt int
	lost    map[string]uint64
	// ran says that a backend server may have run the request.
	ran bool
	// retry says that the next send is a retry that counts against the budgets.
	retry   bool
	crashes []quarantine.Crash
	// denied is the latest refusal of a permit.
	denied *refusal.Refusal

	mu      sync.Mutex
	readers int
	visits  int
	removed bool
}

func newRun(dsp *Dispatcher, id string, known bool) *run {
	return &run{
		dsp:   dsp,
		id:    id,
		known: known,
		his:   newHistory(),
		lost:  map[string]uint64{},
	}
}

// launch runs body apart from any caller's connection.
func (run *run) launch(deadline time.Time, body func(ctx context.Context) error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	run.cancel = cancel
	lim, stop := context.WithDeadline(ctx, deadline)
	go func() {
		defer stop()
		run.his.end(run.final(lim, body(lim)))
	}()
}

// final turns the end of a run into nil or a refusal.
func (run *run) final(ctx context.Context, err error) error {
	var ref *refusal.Refusal
	switch {
	case err == nil:
		return nil
	case errors.Is(context.Cause(ctx), errAdopted):
		return refusal.UnknownOutcome("another entry VM continues the stream", comeBack)
	case errors.As(err, &ref):
		return ref
	case ctx.Err() != nil:
		return refusal.New(run.outcome(), http.StatusGatewayTimeout, "Deadline passed", "the request's time is up", comeBack)
	default:
		run.dsp.log.Error("a request failed", zap.String("request", run.id), zap.Error(err))
		return run.refuse("the request could not be completed")
	}
}

// outcome says what is known of a request that is not completed.
func (run *run) outcome() refusal.Outcome {
	if run.ran {
		return refusal.Unknown
	}
	return refusal.NotRun
}

func (run *run) refuse(detail string) *refusal.Refusal {
	if run.ran {
		return refusal.UnknownOutcome(detail, comeBack)
	}
	return refusal.Unavailable(detail, comeBack)
}

// generate sends the request until a replica completes it.
func (run *run) generate(ctx context.Context) error {
	unsent := 0
	for sends := 0; sends < maxAttempts; {
		if err := run.checkQuarantine(); err != nil {
			return err
		}
		cand, release, err := run.admit(ctx)
		if errors.Is(err, errNoGroup) {
			if err = run.elsewhere(ctx); err == nil || !errors.Is(err, errReplica) {
				return errors.Trace(err)
			}
			sends++
			continue
		}
		if errors.Is(err, errUnsent) && unsent < maxUnsent {
			unsent++
			continue
		}
		if err != nil {
			return errors.Trace(err)
		}
		before := run.attempt
		err = run.send(ctx, cand)
		release()
		if errors.Is(err, errUnsent) && unsent < maxUnsent {
			unsent++
			continue
		}
		if err == nil || !errors.Is(err, errReplica) {
			return errors.Trace(err)
		}
		run.dsp.log.Warn("a replica failed a request",
			zap.String("request", run.id),
			zap.String("group", cand.Group.Name),
			zap.Int("attempt", before),
			zap.Error(err),
		)
		run.lost[cand.Group.Name] = cand.Group.Fencing
		if run.attempt != before {
			sends++
		}
	}
	return run.refuse("the request failed on several replicas")
}

// elsewhere continues in another zone, or waits for a group when the text has begun.
func (run *run) elsewhere(ctx context.Context) error {
	if !run.forwarded {
		if err := run.forward(ctx); !errors.Is(err, errNoGroup) {
			return err
		}
	}
	if run.his.received() == "" {
		if run.denied != nil && !run.ran {
			return run.denied
		}
		return run.refuse("no group of the model " + run.req.Model + " can take the request")
	}
	// A group that is confirmed again may be tried again: its evidence may only have been late.
	run.lost = map[string]uint64{}
	for end := run.dsp.clk.Now().Add(regroupWait); run.dsp.clk.Now().Before(end); {
		if len(run.dsp.candidates(run.req, run.lost)) > 0 {
			return errors.Annotate(errReplica, "a group is back")
		}
		select {
		case <-run.dsp.clk.After(pollInterval):
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
	return run.refuse("the replica was lost and no other can continue")
}

// admit chooses a group and takes what a send to it needs.
func (run *run) admit(ctx context.Context) (Candidate, func(), error) {
	cand, err := run.place(ctx)
	unhold := func() {}
	if errors.Is(err, errSuspect) {
		cand, unhold, err = run.holdSlots(ctx)
	}
	if err != nil {
		return cand, nil, err
	}
	if err := run.charge(cand.Group.Name); err != nil {
		unhold()
		return cand, nil, err
	}
	release, err := run.acquire(ctx, cand)
	if err != nil {
		unhold()
		if errors.As(err, &run.denied) && run.denied.Status == http.StatusServiceUnavailable {
			return cand, nil, errors.Annotate(errNoGroup, run.denied.Detail)
		}
		return cand, nil, err
	}
	return cand, func() { release(); unhold() }, nil
}

// charge counts the send against the retry budgets.
func (run *run) charge(group string) error {
	if !run.retry {
		run.dsp.sea.Sent(run.req.Workspace, group)
		return nil
	}
	if !run.dsp.sea.Retry(run.req.Workspace, group) {
		run.dsp.cnt.overBudget.Inc(1)
		return run.refuse("the retry budget is used up")
	}
	run.dsp.cnt.retries.Inc(1)
	return nil
}

// acquire takes a permit; the wait ends when the group may get no more work.
func (run *run) acquire(ctx context.Context, cand Candidate) (func(), error) {
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for wait.Err() == nil {
			if !run.dsp.open(cand.Group) {
				cancel()
				return
			}
			select {
			case <-run.dsp.clk.After(pollInterval):
			case <-wait.Done():
			}
		}
	}()
	release, err := run.dsp.sea.Acquire(wait, run.req, cand)
	if err != nil && wait.Err() != nil && ctx.Err() == nil {
		return nil, errors.Annotate(errUnsent, "the group takes no new work, or a member is missing")
	}
	return release, errors.Trace(err)
}

func (run *run) send(ctx context.Context, cand Candidate) error {
	dsp := run.dsp
	if ctx.Err() != nil {
		return errors.Trace(ctx.Err())
	}
	// Choosing and waiting for a permit took time, so the group is checked again at the moment of sending.
	if !dsp.open(cand.Group) {
		return errors.Annotate(errReplica, "the group takes no new work, or a member is missing")
	}
	born := dsp.incarnations(cand.Group)
	lead := cand.Group.Members[0]
	received := run.his.received()
	str, err := dsp.sea.Generate(ctx, lead.Address, backend.StreamRequest{
		RequestID: run.id,
		Attempt:   run.attempt,
		Model:     run.req.Model,
		Adapter:   run.req.Adapter,
		Prompt:    run.req.Prompt,
		MaxTokens: run.req.MaxTokens,
		Priority:  run.req.Priority,
		Continue:  run.req.Continue + received,
	})
	if err != nil {
		return run.sendError(ctx, cand, born, err)
	}
	run.ran = true
	if run.req.Continue+received != "" {
		dsp.cnt.continued.Inc(1)
	}
	tok := run.token(lead.Address)
	err = dsp.relay(ctx, relay{
		token:   tok,
		stream:  str,
		group:   cand.Group,
		history: run.his,
	})
	if errors.Is(err, errReplica) {
		run.failed(ctx, cand.Group, born)
	}
	return err
}

func (run *run) token(adr string) stream.Token {
	return stream.Token{
		RequestID: run.id,
		Attempt:   run.attempt,
		Address:   adr,
		Owner:     run.dsp.cfg.Self,
		Workspace: run.req.Workspace,
		Model:     run.req.Model,
		Chat:      run.req.Chat,
	}
}

// sendError handles a send that opened no stream.
func (run *run) sendError(ctx context.Context, cand Candidate, born map[string]uint64, err error) error {
	lead := cand.Group.Members[0]
	switch {
	case errors.Is(err, backend.ErrInvalid):
		return refusal.Invalid("the engine rejected the request")
	case errors.Is(err, backend.ErrNotSent):
		run.dsp.tab.Forget(lead.VM)
	case errors.Is(err, backend.ErrRefused):
		run.retry = true
	case !errors.Is(err, backend.ErrBroken):
		// The permit expired before the send; the group may be tried again.
		return errors.Annotate(errUnsent, err.Error())
	default:
		run.ran = true
		if ctx.Err() != nil {
			run.dsp.cancelStream(run.token(lead.Address))
			return errors.Trace(ctx.Err())
		}
		run.failed(ctx, cand.Group, born)
	}
	if ctx.Err() != nil {
		return errors.Trace(ctx.Err())
	}
	return errors.Annotate(errReplica, err.Error())
}

// failed handles the loss of a replica that may have run the request.
func (run *run) failed(ctx context.Context, grp group.Group, born map[string]uint64) {
	run.retry = true
	// The engine may only be out of reach; it must not go on with a text that another replica continues.
	run.dsp.cancelStream(run.token(grp.Members[0].Address))
	run.attempt++
	run.checkCrash(ctx, grp, born)
}
