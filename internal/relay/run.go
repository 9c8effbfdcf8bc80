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
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/upstream"
)

// maxExtraSends is the number of sends allowed beyond the route's attempts. A send that the backend server reports as
// not run does not count as an attempt.
const maxExtraSends = 2

const (
	// firstConnectTimeout bounds the time to connect for the first send of a request: a server that is down does not
	// respond, and another one can still be on time. Each further send has twice the time, since slow links or a busy VM
	// can delay all connections.
	firstConnectTimeout = 120 * time.Millisecond
	// settlingTime is the time after the first part of a response during which the request may still crash its backend
	// server: a few steps of an engine.
	settlingTime = 250 * time.Millisecond
	// latePriorityOffset is added to the priority of a request that will miss its objective, so that it ranks behind
	// every request that can still meet it.
	latePriorityOffset = 5
	// maxResumeSends replaces maxExtraSends for a stream that has begun.
	maxResumeSends = 8
	// resumeInterval is the wait between two attempts to resume a stream, so that maxResumeSends cover resumeTimeout.
	resumeInterval = 250 * time.Millisecond
	// resumeTimeout is the time since the last event after which the relay no longer waits for a backend server that
	// can resume a stream: callers abandon a stream after about two seconds.
	resumeTimeout = 1800 * time.Millisecond
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
	body           []byte
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
	// pick is the latest choice of a backend server, and sentAt when it was made. Its response has been arriving since
	// writingSince, the zero time before. survived is set once that is reported.
	pick         placement.Pick
	sentAt       time.Time
	writingSince time.Time
	survived     bool
	// blocked is set if the request was ended because it may crash backend servers.
	blocked bool
	// excessDelay is how far the forecast for the first token exceeds the route's objective, or the time until a paused
	// backend server accepts requests again if that is longer.
	excessDelay time.Duration
	// replacement is the choice of a backend server for which the latest response was given up, nil if there is none. Its retry has
	// been taken from the budget.
	replacement *placement.Pick
	// serverError is an error response of a backend server, delivered if a retry brings nothing better.
	serverError *bufferedResponse
}

// serve sends the request until it is answered or may not be retried.
func (run *run) serve(ctx context.Context) {
	rly := run.relay
	defer run.releaseReplacement()
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
		out, err := run.attempt(ctx, pick)
		if out == answered {
			return
		}
		run.recordFailedSend(pick, out, err)
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
	if next := run.replacement; next != nil {
		run.replacement = nil
		return *next, nil
	}
	rly := run.relay
	// A send that reached no backend server adds no load, so that the next one is no retry.
	if run.arrivals == 0 {
		return rly.deps.Choose(run.placementRequest(), rly.clock.Now())
	}
	pick, err := rly.chooseForRetry(run.placementRequest(), rly.clock.Now())
	if errors.Is(err, errRetryBudget) {
		rly.requestMetrics.retriesOverBudget.Inc(1)
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

// releaseReplacement releases a replacement that is not used, since the request has ended.
func (run *run) releaseReplacement() {
	if run.replacement != nil {
		run.replacement.Release()
		run.replacement = nil
	}
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
	if !run.committed || run.relay.clock.Since(run.lastEventAt) > resumeTimeout {
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
		StartWithin:       run.deadline.Sub(run.relay.clock.Now()),
		MaxUsefulForecast: run.maxUsefulForecast(),
		Avoid:             slices.Concat(run.failedServers, run.decliningServers),
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

// attempt sends the request to one backend server and releases pick.
func (run *run) attempt(ctx context.Context, pick placement.Pick) (outcome, error) {
	// A response that is aborted ends the goroutine of the request by a panic.
	defer pick.Release()
	rly := run.relay
	run.sends++
	run.pick = pick
	run.sentAt = rly.clock.Now()
	run.writingSince = time.Time{}
	run.survived = false
	srv := pick.Server
	con, err := run.connect(ctx, srv.Address)
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, upstream.ErrPathBroken) {
			rly.outliers.Eject(srv.ID, rly.clock.Now())
		}
		return notRun, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := run.watchStall(pick, cancel)
	defer func() { run.replacement = watch.stop() }()
	rsp, err := con.Do(ctx, run.buildCall(pick))
	if errors.Is(err, upstream.ErrNotSent) {
		return notRun, errors.Trace(err)
	}
	run.arrivals++
	if err != nil {
		run.runs++
		return unknown, run.recordBrokenConnection(ctx, watch, srv, err)
	}
	return run.handleResponse(ctx, watch, pick, rsp)
}

// connect returns a connection to the backend server at address on which the response to the request can be told from earlier ones. One
// that has carried the request before cannot be used: the server may have restarted under another ID, or be registered under two.
func (run *run) connect(ctx context.Context, address string) (*upstream.Conn, error) {
	for {
		con, err := run.relay.deps.Connect(ctx, address, firstConnectTimeout<<(run.sends-1))
		if err != nil || con.Distinguishes(run.requestHeaders.RequestID) {
			return con, errors.Trace(err)
		}
		run.relay.logger.Info("closing a kept connection on which a response could belong to an earlier send",
			zap.String("request", run.requestHeaders.RequestID), zap.String("address", address), zap.Int("send", run.sends))
		con.Close()
	}
}

// recordBrokenConnection records a connection that ended before the response was complete.
func (run *run) recordBrokenConnection(ctx context.Context, watch *stallWatch, srv *serverregistry.Server, err error) error {
	server := srv.ID
	// The event includes the start of the process: one that restarts under the same ID can crash again.
	event := server + "/" + strconv.FormatInt(srv.StartTime, 10)
	now := run.relay.clock.Now()
	switch {
	case watch.gaveUp():
		connection, all := watch.silences(now)
		run.givenUp++
		run.relay.requestMetrics.stalledStreams.Inc(1)
		run.relay.logger.Info("gave up a response without progress", zap.String("request", run.requestHeaders.RequestID),
			zap.String("server", server), zap.Bool("firstEventSent", run.committed),
			zap.Duration("connectionSilentFor", connection), zap.Duration("serverSilentFor", all))
		run.relay.deps.SuspectPath(srv.Address)
		if run.service.Engine == nil {
			// For a plain service, one lost response says nothing about other requests to the server.
			run.relay.outliers.RecordFailure(server, now)
		} else {
			run.relay.outliers.Eject(server, now)
		}
		return errors.Annotate(err, "no progress")
	case ctx.Err() == nil && !errors.Is(err, upstream.ErrPathBroken):
		run.relay.outliers.RecordFailure(server, now)
		if !run.hasSettled(now) {
			run.relay.deps.ReportCrash(Crash{
				Request: run.identity(),
				Event:   event,
				SentAt:  run.sentAt,
			}, now)
		}
	}
	return errors.Trace(err)
}

// hasSettled reports whether the response has been arriving for so long that the request would have crashed its backend
// server before.
func (run *run) hasSettled(now time.Time) bool {
	return !run.writingSince.IsZero() && now.Sub(run.writingSince) >= settlingTime
}

// recordWriting records that a part of the response arrived; complete is set if it was the last one.
func (run *run) recordWriting(now time.Time, complete bool) {
	if run.writingSince.IsZero() {
		run.writingSince = now
	}
	if !run.survived && (complete || run.hasSettled(now)) {
		run.survived = true
		run.relay.deps.ReportSurvival(run.identity(), now)
	}
}

func (run *run) buildCall(pick placement.Pick) upstream.Request {
	hdr := forwardedHeader(run.request.Header)
	last := run.lastEventID
	if last == "" {
		last = run.requestHeaders.LastEventID
	}
	run.relay.format.RewriteRequest(hdr, ForwardHeaders{
		TimeLeft:    run.deadline.Sub(run.relay.clock.Now()),
		ServerID:    pick.Server.ID,
		Workspace:   run.workspace,
		LastEventID: last,
		Priority:    run.sendPriority(pick.Forecast),
	})
	return upstream.Request{
		ID:     run.requestHeaders.RequestID,
		Method: run.request.Method,
		Target: run.target,
		Host:   run.request.Host,
		Header: hdr,
		Body:   run.body,
		Match: func(res *http.Response) upstream.Match {
			switch run.relay.format.ParseResponse(res).RequestID {
			case "":
				return upstream.Unnamed
			case run.requestHeaders.RequestID:
				return upstream.Same
			default:
				return upstream.Other
			}
		},
	}
}

// sendPriority returns the priority at the backend server, 0 being the most urgent. A request that will miss its
// objective in any case yields to those that can still meet it; a stream that has begun precedes all others.
func (run *run) sendPriority(forecast time.Duration) int {
	switch late := run.waitedBefore+run.relay.clock.Since(run.startedAt)+forecast > run.route.Objective; {
	case run.committed:
		return 0
	case run.route.Objective > 0 && forecast > 0 && late:
		return run.priority + latePriorityOffset
	default:
		return run.priority
	}
}

// handleResponse classifies a response by its headers and forwards it to the caller.
func (run *run) handleResponse(ctx context.Context, watch *stallWatch, pick placement.Pick, rsp *upstream.Response) (outcome, error) {
	server := pick.Server.ID
	rhd := run.relay.format.ParseResponse(rsp.Response)
	run.applyServerState(pick.Server, rhd)
	if rhd.NotRun || rhd.Misdirected {
		rsp.Finish(rsp.Discard() == nil)
		if rhd.FaultyServerID != "" && rhd.FaultyServerID != server {
			run.relay.outliers.Eject(server, run.relay.clock.Now())
		}
		return notRun, errors.Errorf("backend server %s did not run the request: status %d", server, rsp.StatusCode)
	}
	run.runs++
	if isEventStream(rsp) && rsp.StatusCode == http.StatusOK {
		return run.forwardEvents(ctx, watch, pick, rsp, rhd)
	}
	if run.service.Engine == nil {
		pick.ResponseBegan()
	}
	return run.forwardBuffered(ctx, watch, pick.Server, rsp, rhd)
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
func (run *run) recordFailedSend(pick placement.Pick, out outcome, err error) {
	if out == unknown {
		run.failedServers = append(run.failedServers, pick.Server.ID)
	} else {
		run.decliningServers = append(run.decliningServers, pick.Server.ID)
	}
	run.relay.logger.Info("send gave no usable response",
		zap.String("request", run.requestHeaders.RequestID),
		zap.String("server", pick.Server.ID),
		zap.Uint64("entryVersion", pick.Server.Version),
		zap.Int("send", run.sends),
		zap.Bool("mayHaveRun", out == unknown),
		zap.Bool("firstEventSent", run.committed),
		zap.Strings("promptParts", run.requestHeaders.SharedParts),
		zap.String("lastEvent", run.lastEventID),
		logging.Error(err),
	)
}
