package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/logging"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/requestbody"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

// maxExtraSends is the number of sends allowed beyond the route's attempts. A send that the backend server reports as
// not run does not count as an attempt.
const maxExtraSends = 2

const (
	// latePriorityOffset is added to the priority of a request that will miss its objective, so that it ranks behind
	// every request that can still meet it.
	latePriorityOffset = 5
	// maxResumeSends replaces maxExtraSends for a stream that has begun.
	maxResumeSends = 8
	// resumeInterval is the wait between two attempts to resume a stream.
	resumeInterval = 250 * time.Millisecond
	// minStreamPatience is the time since the last event for which every caller of a stream waits, and
	// patienceObjectives the multiple of the objective for which it waits if that is longer.
	minStreamPatience  = 2 * time.Second
	patienceObjectives = 4
	// resumeMargin is the time that the next event takes to reach the caller once a stream can be resumed.
	resumeMargin = 200 * time.Millisecond
)

// outcome is the result of one send.
type outcome int

const (
	// answered means that the caller received its final response, or that its connection was closed.
	answered outcome = iota
	// notRun means that the backend server did not run the request.
	notRun
	// unknown means that the backend server may have run the request.
	unknown
)

// run is the state of one request in progress.
type run struct {
	relay     *Relay
	writer    http.ResponseWriter
	request   *http.Request
	startedAt time.Time

	table          *route.Table
	requestHeaders RequestHeaders
	route          *route.Route
	service        *route.Service
	workspace      string
	priority       int
	target         string
	body           *requestbody.Body
	deadline       time.Time
	fingerprint    quarantine.Fingerprint

	// waitedBefore is the time since the request was first rejected, 0 if it never was.
	waitedBefore time.Duration

	// sends counts all sends, arrivals those that may have reached a backend server, and runs those that one may have run.
	sends    int
	arrivals int
	runs     int
	// givenUp counts the responses that were given up for another backend server.
	givenUp int
	// failedServers holds the IDs of backend servers that may have run the request but gave no usable response: the
	// connection broke, or the response was a server error or had a fault. decliningServers holds the IDs of those
	// that reported the request as not run or could not be reached since the last wait.
	failedServers    []string
	decliningServers []string
	// firstByteAt is when the first byte of the response was sent to the caller.
	firstByteAt time.Time
	// committed is set once response headers have been sent to the caller.
	committed bool
	// lastEventID is the ID of the last event sent to the caller; lastEventAt is when it was sent.
	lastEventID string
	lastEventAt time.Time
	// pick is the latest choice of a backend server.
	pick placement.Pick
	// blocked is set if the request was ended because it may crash backend servers.
	blocked bool
	// excessDelay is how far the forecast for the first token exceeds the route's objective, or the time until a paused
	// backend server accepts requests again if that is longer.
	excessDelay time.Duration
	// replacement is the send that has begun in place of the latest one, nil if there is none.
	replacement *send
	// serverError is an error response of a backend server, delivered if a retry brings nothing better.
	serverError *bufferedResponse
}

// serve sends the request until it is answered or may not be retried.
func (run *run) serve(ctx context.Context) {
	rly := run.relay
	rly.requestMetrics.requests.Inc(1)
	rly.deps.RecordRequest(run.service.Name, run.startedAt)
	if run.waitedBefore == 0 {
		rly.deps.RecordDemand(run.placementRequest(), run.startedAt)
	}
	for {
		if left := run.blockedFor(); left > 0 {
			run.endBlocked(ctx, left)
			return
		}
		pick, err := run.nextServer()
		if err != nil && run.waitToResume(ctx) {
			continue
		}
		if err != nil {
			run.excessDelay = max(0, pick.Forecast-run.route.Objective, pick.ResumesIn)
			run.fail(ctx, err)
			return
		}
		run.sends++
		out, err := run.attempt(ctx, run.newSend(ctx, pick, run.sends))
		for out != answered && run.replacement != nil {
			snd := run.replacement
			run.replacement = nil
			out, err = run.attempt(ctx, snd)
		}
		if out == answered {
			return
		}
		if ctx.Err() != nil || !run.canRetry() {
			run.fail(ctx, err)
			return
		}
		rly.requestMetrics.retries.Inc(1)
	}
}

// errRetryBudget means that the request may not be sent once more.
const errRetryBudget = errors.ConstError("the budget of repeats is used up")

// nextServer returns the backend server for the next send. If that send is a retry, it is taken from the budget.
func (run *run) nextServer() (placement.Pick, error) {
	rly := run.relay
	// A send that reached no backend server adds no load, so that the next one is no retry.
	if run.arrivals == 0 {
		return run.chooseFirst(rly.clock.Now())
	}
	pick, err := rly.chooseForRetry(run.placementRequest(), rly.clock.Now())
	if errors.Is(err, errRetryBudget) {
		rly.requestMetrics.retriesOverBudget.Inc(1)
	}
	return pick, err
}

// chooseFirst chooses a backend server for a request that has reached none. Whether a request that arrived for the first
// time is sent counts for the share of its class.
func (run *run) chooseFirst(now time.Time) (placement.Pick, error) {
	request := run.placementRequest()
	pick, err := run.relay.deps.Choose(request, now)
	switch {
	case errors.Is(err, placement.ErrReserved):
		run.relay.requestMetrics.rejectedForUrgent.Inc(1)
	case pick.Exempt:
		run.relay.requestMetrics.exempt.Inc(1)
	}
	if run.sends == 0 && run.waitedBefore == 0 {
		run.relay.deps.RecordAdmission(request, err == nil, now)
	}
	return pick, err
}

// chooseForRetry chooses a backend server and takes a retry from the budget; it takes none if there is no server.
func (rly *Relay) chooseForRetry(request placement.Request, now time.Time) (placement.Pick, error) {
	if !rly.deps.TakeRetry(request.Service.Name, now) {
		return placement.Pick{}, errRetryBudget
	}
	pick, err := rly.deps.Choose(request, now)
	if err != nil {
		rly.deps.ReturnRetry(request.Service.Name, now)
	}
	return pick, err
}

// blockedFor returns the time for which the request must not run since it may crash backend servers. A stream of which the
// caller has received a part has run soundly before.
func (run *run) blockedFor() time.Duration {
	if run.committed {
		return 0
	}
	return run.relay.deps.BlockedFor(run.identity(), run.relay.clock.Now())
}

// endBlocked ends a request that must not run, or not once more, for the time left.
func (run *run) endBlocked(ctx context.Context, left time.Duration) {
	run.blocked = true
	if run.runs > 0 {
		run.fail(ctx, errors.New("the request or a part of its prompt may have crashed a backend server"))
		return
	}
	run.reject(refusal.Unavailable("the request or a part of its prompt crashed backend servers", left))
}

func (run *run) identity() Identity {
	return Identity{
		Fingerprint: run.fingerprint,
		Model:       run.requestHeaders.Model,
		SharedParts: run.requestHeaders.SharedParts,
	}
}

// canRetry reports whether the request may be sent to another backend server.
func (run *run) canRetry() bool {
	if run.runs > 0 && !run.route.Repeatable() {
		return false
	}
	return run.runs < run.maxAttempts() && run.sends < run.maxSends()
}

// maxAttempts returns the number of backend servers that may run the request.
func (run *run) maxAttempts() int {
	return max(1, run.route.MaxAttempts)
}

// maxSends returns the number of times that the request may be sent, whether or not a backend server runs it.
func (run *run) maxSends() int {
	if run.committed {
		return run.maxAttempts() + maxResumeSends
	}
	return run.maxAttempts() + maxExtraSends
}

// waitToResume waits for resumeInterval before the next search for a backend server that can resume a stream, and
// reports whether to search again. A caller that has received part of a stream cannot use a response that asks it to
// retry later.
func (run *run) waitToResume(ctx context.Context) bool {
	if !run.committed || run.relay.clock.Since(run.lastEventAt) > run.resumeTimeout() {
		return false
	}
	// Backend servers that were at capacity may accept requests again.
	run.decliningServers = nil
	select {
	case <-ctx.Done():
		return false
	case <-run.relay.clock.After(resumeInterval):
		return true
	}
}

// resumeTimeout returns the time since the last event after which the relay no longer waits for a backend server that can resume a
// stream, since the caller abandons it.
func (run *run) resumeTimeout() time.Duration {
	return max(minStreamPatience, patienceObjectives*run.route.Objective) - resumeMargin
}

func (run *run) placementRequest() placement.Request {
	expected := run.requestHeaders.ExpectedTokens
	if expected <= 0 || expected > run.requestHeaders.MaxTokens {
		expected = run.requestHeaders.MaxTokens
	}
	return placement.Request{
		Service:           run.service,
		Model:             run.requestHeaders.Model,
		PromptTokens:      run.requestHeaders.PromptTokens,
		ExpectedTokens:    expected,
		SharedParts:       run.requestHeaders.SharedParts,
		SharedTokens:      run.requestHeaders.SharedTokens,
		StartWithin:       run.deadline.Sub(run.relay.clock.Now()),
		MaxUsefulForecast: run.maxUsefulForecast(),
		Priority:          run.priority,
		Objective:         run.route.Objective,
		FirstSend:         run.sends == 0,
		Avoid:             slices.Concat(run.failedServers, run.decliningServers),
		Repeatable:        run.route.Repeatable(),
	}
}

// maxUsefulForecast returns the limit on the forecast for placement.Request.MaxUsefulForecast, or nil for no limit. A
// request that was sent before continues on any backend server that accepts it.
func (run *run) maxUsefulForecast() func(alone time.Duration) time.Duration {
	if run.sends > 0 || run.route.Objective <= 0 {
		return nil
	}
	waited := run.waitedBefore + run.relay.clock.Since(run.startedAt)
	return func(alone time.Duration) time.Duration {
		return admission.MaxUsefulForecast(run.route.Objective, waited, alone)
	}
}

// attempt sends the request to one backend server, unless that has been done, and forwards the response. While the response is stalled,
// the request is sent to other servers, too; if one of them begins to answer first, or the send fails meanwhile, attempt sets
// run.replacement.
func (run *run) attempt(ctx context.Context, snd *send) (outcome, error) {
	// A response that is aborted ends the goroutine of the request by a panic.
	defer snd.close()
	run.pick = snd.pick
	watch := run.watchStall(ctx, snd)
	defer watch.abandon()
	out, err := run.exchange(watch, snd)
	if out == answered {
		return answered, nil
	}
	if watch.gaveUp() {
		run.givenUp++
		err = errors.Annotate(err, "no progress")
	}
	run.recordFailedSend(snd, out, err)
	run.awaitReplacement(watch)
	return out, err
}

// errGivenUp means that a response was given up for one of another backend server.
const errGivenUp = errors.ConstError("given up for another backend server")

// exchange begins the send unless it has begun, and forwards the response.
func (run *run) exchange(watch *stallWatch, snd *send) (outcome, error) {
	if !snd.begun {
		out, err := snd.begin()
		run.count(snd)
		if err != nil {
			return out, err
		}
	}
	if snd.events != nil {
		return run.forwardEvents(watch, snd)
	}
	return run.forwardBuffered(watch, snd)
}

// count counts what became of a send.
func (run *run) count(snd *send) {
	if snd.arrived {
		run.arrivals++
	}
	if snd.mayHaveRun {
		run.runs++
	}
}

// awaitReplacement waits for the sends beside one that has failed, until one of them has begun or all have failed.
func (run *run) awaitReplacement(watch *stallWatch) {
	var rst besideResults
	run.replacement, rst = watch.await()
	run.sends += rst.started
	run.arrivals += rst.arrivals
	run.runs += rst.runs
	run.failedServers = append(run.failedServers, rst.failed...)
	run.decliningServers = append(run.decliningServers, rst.declining...)
	if rst.serverError != nil {
		run.serverError = rst.serverError
	}
}

// applyServerState applies what the headers of a response say about the backend server itself.
func (run *run) applyServerState(srv *serverregistry.Server, rhd ResponseHeaders) {
	rly := run.relay
	if rhd.MalformedHeader != "" {
		rly.logger.Warn("ignoring malformed response header", zap.String("request", run.requestHeaders.RequestID),
			zap.String("server", srv.ID), zap.String("header", rhd.MalformedHeader))
	}
	if !rhd.Misdirected && rly.deps.ObserveLimit(srv, rhd.RateLimit) {
		rly.logger.Info("backend server set or lifted its limit", zap.String("request", run.requestHeaders.RequestID),
			zap.String("server", srv.ID), zap.Float64("requestsPerSecond", rhd.RateLimit))
	}
	if rhd.Stopping {
		rly.deps.ReportStopping(srv)
	}
	if rhd.Backoff > 0 {
		rly.outliers.Pause(srv.ID, srv.StartTime, rly.clock.Now().Add(rhd.Backoff))
		rly.logger.Info("backend server requested a pause", zap.String("request", run.requestHeaders.RequestID),
			zap.String("server", srv.ID), zap.Duration("pause", rhd.Backoff))
	}
}

// recordFailedSend records and logs a send that gave no response for the caller.
func (run *run) recordFailedSend(snd *send, out outcome, err error) {
	if out == unknown {
		run.failedServers = append(run.failedServers, snd.pick.Server.ID)
	} else {
		run.decliningServers = append(run.decliningServers, snd.pick.Server.ID)
	}
	if snd.serverError != nil {
		run.serverError = snd.serverError
	}
	run.logFailedSend(snd, out, err, run.committed, run.lastEventID)
}

// logFailedSend logs a send that gave no response for the caller. The last event that the caller had received is the one called lastEvent.
func (run *run) logFailedSend(snd *send, out outcome, err error, firstEventSent bool, lastEvent string) {
	run.relay.logger.Info("send gave no usable response",
		zap.String("request", run.requestHeaders.RequestID),
		zap.String("server", snd.pick.Server.ID),
		zap.Uint64("entryVersion", snd.pick.Server.Version),
		zap.Int("send", snd.number),
		zap.Bool("mayHaveRun", out == unknown),
		zap.Bool("firstEventSent", firstEventSent),
		zap.Strings("promptParts", run.requestHeaders.SharedParts),
		zap.String("lastEvent", lastEvent),
		logging.Error(err),
	)
}
