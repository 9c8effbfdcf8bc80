package relay

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/logging"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/roster"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/upstream"
)

// extraSends is the number of sends beyond the route's attempts: a backend server that states that it did not run
// the request does not count as an attempt.
const extraSends = 2

const (
	// lateStep is added to the priority of a request that will be late, so that it comes after all priorities of
	// requests that can be on time.
	lateStep = 5
	// resumeSends takes the place of extraSends for a stream that has begun.
	resumeSends = 8
	// resumePause spaces the attempts to go on with a stream, so that resumeSends last for resumePatience.
	resumePause = 250 * time.Millisecond
	// resumePatience is the time since the last event after which nobody goes on with a stream: callers give it up
	// after about two seconds.
	resumePatience = 1800 * time.Millisecond
)

// outcome is how one send ended.
type outcome int

const (
	// answered says that the caller got its final answer, or that its connection was cut off.
	answered outcome = iota
	// notRun says that the backend server did not run the request.
	notRun
	// unknown says that the backend server may have run the request.
	unknown
)

// run is one request in progress.
type run struct {
	rly   *Relay
	wrt   http.ResponseWriter
	htr   *http.Request
	start time.Time

	table       *route.Table
	facts       Facts
	route       *route.Route
	service     *route.Service
	workspace   string
	priority    int
	target      string
	body        []byte
	deadline    time.Time
	fingerprint quarantine.Fingerprint

	// waited is the time since the request was first turned away, 0 for one that was not.
	waited time.Duration

	// sends counts all sends, runs those that a backend server may have run.
	sends int
	runs  int
	// broke are the IDs of backend servers that may have run the request and gave no answer, refused those that stated
	// that they did not run it, or could not be reached, since the last wait.
	broke   []string
	refused []string
	// firstAt is when the first byte of the answer went to the caller.
	firstAt time.Time
	// committed says that the caller has got the headers of an answer.
	committed bool
	// lastEvent is the ID of the last event that the caller got, lastAt when that was.
	lastEvent string
	lastAt    time.Time
	// pick is the latest choice of a backend server.
	pick placement.Pick
	// busyFor is how much too late the first token would have come.
	busyFor time.Duration
	// kept is a backend server's own failure, delivered if sending once more gives nothing better.
	kept *wholeAnswer
}

// serve sends the request until it is answered or must not be sent again.
func (run *run) serve(ctx context.Context) {
	rly := run.rly
	rly.met.requests.Inc(1)
	rly.sea.CountRequest(run.service.Name, run.start)
	if rly.sea.Quarantined(run.fingerprint, run.start) {
		run.refuse(refusal.Unavailable("the request crashed backend servers and is quarantined", quarantine.Period))
		return
	}
	for {
		pick, err := rly.sea.Choose(run.want(), rly.clk.Now())
		if err != nil && run.mayWait(ctx) {
			continue
		}
		if err != nil {
			run.busyFor = max(0, pick.Forecast-run.route.Objective, pick.Back)
			run.giveUp(ctx, err)
			return
		}
		if run.sends > 0 && !rly.sea.TakeRepeat(run.service.Name, rly.clk.Now()) {
			pick.Release()
			rly.met.overBudget.Inc(1)
			run.giveUp(ctx, errors.New("the budget of repeats is used up"))
			return
		}
		out, err := run.attempt(ctx, pick)
		pick.Release()
		if out == answered {
			return
		}
		run.note(pick, out, err)
		if ctx.Err() != nil || !run.mayRepeat() {
			run.giveUp(ctx, err)
			return
		}
		rly.met.repeats.Inc(1)
	}
}

// mayRepeat reports whether the request may be sent to another backend server.
func (run *run) mayRepeat() bool {
	most := max(1, run.route.MaxAttempts)
	if run.runs > 0 && !run.route.Repeatable() {
		return false
	}
	extra := extraSends
	if run.committed {
		extra = resumeSends
	}
	return run.runs < most && run.sends < most+extra
}

// mayWait waits a moment for a backend server that can go on with a stream whose caller still waits. The caller of
// a stream that has begun gains nothing from an answer to come back later.
func (run *run) mayWait(ctx context.Context) bool {
	if !run.committed || run.rly.clk.Since(run.lastAt) > resumePatience {
		return false
	}
	// Backend servers that were full may have room again.
	run.refused = nil
	select {
	case <-ctx.Done():
		return false
	case <-run.rly.clk.After(resumePause):
		return true
	}
}

func (run *run) want() placement.Want {
	answer := run.facts.AnswerTokens
	if answer <= 0 || answer > run.facts.MaxTokens {
		answer = run.facts.MaxTokens
	}
	return placement.Want{
		Service:      run.service,
		Model:        run.facts.Model,
		PromptTokens: run.facts.PromptTokens,
		AnswerTokens: answer,
		Within:       run.deadline.Sub(run.rly.clk.Now()),
		Useful:       run.useful(),
		Avoid:        slices.Concat(run.broke, run.refused),
	}
}

// useful returns what is worth sending, as placement.Want takes it. A request that has been sent before goes on wherever it
// can.
func (run *run) useful() func(alone time.Duration) time.Duration {
	if run.sends > 0 || run.route.Objective <= 0 {
		return nil
	}
	waited := run.waited + run.rly.clk.Since(run.start)
	return func(alone time.Duration) time.Duration { return admission.Useful(run.route.Objective, waited, alone) }
}

// attempt sends the request to one backend server.
func (run *run) attempt(ctx context.Context, pick placement.Pick) (outcome, error) {
	rly := run.rly
	run.sends++
	run.pick = pick
	srv := pick.Server
	con, err := rly.sea.Connect(ctx, srv.Address)
	if err != nil {
		if ctx.Err() == nil {
			rly.brd.Exclude(srv.ID, rly.clk.Now())
		}
		return notRun, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := run.watchStall(srv.ID, cancel)
	defer watch.stop()
	ans, err := con.Do(ctx, run.call(pick))
	if errors.Is(err, upstream.ErrNotSent) {
		return notRun, errors.Trace(err)
	}
	if err != nil {
		run.runs++
		return unknown, run.broken(ctx, watch, srv, err)
	}
	return run.take(ctx, watch, pick, ans)
}

// broken notes a connection that ended before the answer did.
func (run *run) broken(ctx context.Context, watch *stallWatch, srv *roster.Server, err error) error {
	server := srv.ID
	// A process that starts again under its ID can crash again.
	event := server + "/" + strconv.FormatInt(srv.Born, 10)
	now := run.rly.clk.Now()
	switch {
	case watch.stalled():
		run.rly.met.stalled.Inc(1)
		if run.service.Engine == nil {
			// One lost answer does not speak against the others.
			run.rly.brd.Failed(server, now)
		} else {
			run.rly.brd.Exclude(server, now)
		}
		return errors.Annotate(err, "no progress")
	case ctx.Err() == nil:
		run.rly.brd.Failed(server, now)
		run.rly.sea.ReportCrash(quarantine.Crash{
			Fingerprint: run.fingerprint,
			Event:       event,
		}, now)
	}
	return errors.Trace(err)
}

func (run *run) call(pick placement.Pick) upstream.Call {
	hdr := forwardedHeader(run.htr.Header)
	last := run.lastEvent
	if last == "" {
		last = run.facts.LastEventID
	}
	run.rly.fmt.WriteRequest(hdr, Send{
		Left:        run.deadline.Sub(run.rly.clk.Now()),
		Server:      pick.Server.ID,
		Workspace:   run.workspace,
		LastEventID: last,
		Priority:    run.urgency(pick.Forecast),
	})
	return upstream.Call{
		Method: run.htr.Method,
		Target: run.target,
		Host:   run.htr.Host,
		Header: hdr,
		Body:   run.body,
		Owns: func(res *http.Response) bool {
			id := run.rly.fmt.ReadAnswer(res).RequestID
			return id == "" || id == run.facts.RequestID
		},
	}
}

// urgency returns the priority at the backend server. A request that will be late in any case lets those pass that
// can still be on time; a stream that has begun passes all others.
func (run *run) urgency(forecast time.Duration) int {
	switch late := run.waited+run.rly.clk.Since(run.start)+forecast > run.route.Objective; {
	case run.committed:
		return 0
	case run.route.Objective > 0 && forecast > 0 && late:
		return run.priority + lateStep
	default:
		return run.priority
	}
}

// take judges an answer by its headers and passes it on.
func (run *run) take(ctx context.Context, watch *stallWatch, pick placement.Pick, ans *upstream.Answer) (outcome, error) {
	server := pick.Server.ID
	ver := run.rly.fmt.ReadAnswer(ans.Response)
	run.hear(pick.Server, ver)
	if ver.NotRun || ver.Elsewhere {
		ans.Finish(ans.Skip() == nil)
		if ver.AtFault != "" && ver.AtFault != server {
			run.rly.brd.Exclude(server, run.rly.clk.Now())
		}
		return notRun, errors.Errorf("backend server %s did not run the request: status %d", server, ans.StatusCode)
	}
	run.runs++
	if isEventStream(ans) && ans.StatusCode == http.StatusOK {
		return run.passEvents(ctx, watch, pick, ans, ver)
	}
	return run.passWhole(ctx, watch, pick.Server, ans, ver)
}

// hear notes what a backend server says of itself in an answer.
func (run *run) hear(srv *roster.Server, ver Verdict) {
	rly := run.rly
	if ver.Unreadable != "" {
		rly.log.Warn("ignores a header of an answer", zap.String("request", run.facts.RequestID),
			zap.String("server", srv.ID), zap.String("header", ver.Unreadable))
	}
	if ver.Leaving {
		rly.sea.ReportLeaving(srv)
	}
	if ver.Pause > 0 {
		rly.brd.Pause(srv.ID, srv.Born, rly.clk.Now().Add(ver.Pause))
		rly.log.Info("a backend server wants no requests for a while", zap.String("request", run.facts.RequestID),
			zap.String("server", srv.ID), zap.Duration("pause", ver.Pause))
	}
}

// note logs a send that gave no answer for the caller.
func (run *run) note(pick placement.Pick, out outcome, err error) {
	if out == unknown {
		run.broke = append(run.broke, pick.Server.ID)
	} else {
		run.refused = append(run.refused, pick.Server.ID)
	}
	run.rly.log.Info("a send gave no answer",
		zap.String("request", run.facts.RequestID),
		zap.String("server", pick.Server.ID),
		zap.Uint64("entryVersion", pick.Server.Version),
		zap.Int("send", run.sends),
		zap.Bool("mayHaveRun", out == unknown),
		zap.String("lastEvent", run.lastEvent),
		logging.Error(err),
	)
}
