package relay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/logging"
	"github.com/cumintally/cumintally/internal/refusal"
)

// retryAfter returns the time after which a retry of a rejected request is likely to be admitted: when the work queued
// ahead of it is done.
func (run *run) retryAfter() time.Duration {
	return admission.RetryDelay(run.excessDelay, rand.Float64())
}

// fail ends a request that is not retried; cause is the reason. It sends the final response, aborts a response that has
// begun, or only closes the connection if the caller has disconnected.
func (run *run) fail(ctx context.Context, cause error) {
	switch {
	case run.request.Context().Err() != nil:
		run.endDisconnected(run.request.Context().Err())
	case run.committed:
		run.abortResponse(cause)
	case run.serverError != nil:
		run.sendBuffered(run.serverError)
	case run.runs > 0 && ctx.Err() != nil:
		run.reject(refusal.New(refusal.Unknown, http.StatusGatewayTimeout, "Deadline passed", "the backend server has not answered in time", 0))
	case run.runs > 0:
		run.reject(refusal.New(refusal.Unknown, http.StatusBadGateway, "Outcome unknown", errors.Cause(cause).Error(), 0))
	default:
		run.relay.deps.ReportRejection(run.fingerprint, run.startedAt.Add(-run.waitedBefore))
		run.reject(refusal.Unavailable(cause.Error(), run.retryAfter()))
	}
}

// problemDetails is the body of a response that the relay itself produces.
type problemDetails struct {
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail"`
	Outcome refusal.Outcome `json:"outcome"`
}

// reject responds in place of a backend server.
func (run *run) reject(ref *refusal.Refusal) {
	rly := run.relay
	rly.requestMetrics.countRefusal(ref.Title)
	run.logEnd(zap.Int("status", ref.Status), zap.String("by", "relay"), zap.String("title", ref.Title),
		zap.String("detail", ref.Detail), zap.String("outcome", string(ref.Outcome)), zap.Duration("retryAfter", ref.RetryAfter))
	hdr := run.writer.Header()
	hdr.Set("Content-Type", "application/problem+json")
	if ref.RetryAfter > 0 && ref.Outcome == refusal.NotRun {
		hdr.Set("Retry-After", strconv.FormatFloat(ref.RetryAfter.Seconds(), 'f', 2, 64))
	}
	body, err := json.Marshal(problemDetails{
		Title:   ref.Title,
		Status:  ref.Status,
		Detail:  ref.Detail,
		Outcome: ref.Outcome,
	})
	if err != nil {
		rly.logger.Error("cannot encode refusal", zap.String("request", run.requestHeaders.RequestID), logging.Error(err))
		body = nil
	}
	hdr.Set("Content-Length", strconv.Itoa(len(body)))
	run.writer.WriteHeader(ref.Status)
	if _, err := run.writer.Write(body); err != nil {
		run.endDisconnected(err)
	}
}

// abortResponse closes the connection of a response that cannot be completed, so that it does not look complete. It does
// not return: it panics with http.ErrAbortHandler, which makes net/http close the connection.
func (run *run) abortResponse(cause error) {
	run.relay.requestMetrics.abortedResponses.Inc(1)
	run.logEnd(zap.String("by", "relay"), zap.String("outcome", "CutOff"), zap.String("lastEvent", run.lastEventID), logging.Error(cause))
	panic(http.ErrAbortHandler)
}

// endDisconnected records that the caller closed its connection, and closes it. Like abortResponse, it does not return: a caller that
// closed only its sending side would take what net/http sends at a return for the whole response.
func (run *run) endDisconnected(cause error) {
	run.relay.requestMetrics.callerDisconnects.Inc(1)
	run.logEnd(zap.String("by", "caller"), zap.String("outcome", "CallerGone"), logging.Error(cause))
	panic(http.ErrAbortHandler)
}

// recordCompletion records a complete response.
func (run *run) recordCompletion(server string, status int) {
	run.relay.requestMetrics.totalLatency.Update(run.relay.clock.Since(run.startedAt).Milliseconds())
	if run.sends > 1 && run.lastEventID != "" {
		run.relay.requestMetrics.resumedStreams.Inc(1)
	}
	run.logEnd(zap.Int("status", status), zap.String("by", server), zap.String("outcome", "Answered"))
}

// logEnd logs the end of a request.
func (run *run) logEnd(fields ...zap.Field) {
	fields = append(fields,
		zap.String("request", run.requestHeaders.RequestID),
		zap.String("workspace", run.workspace),
		zap.String("model", run.requestHeaders.Model),
		zap.Int("sends", run.sends),
		zap.Int("runs", run.runs),
		zap.Int("givenUp", run.givenUp),
		zap.Duration("waitedBefore", run.waitedBefore),
		zap.Duration("took", run.relay.clock.Since(run.startedAt)),
		zap.Duration("time", run.deadline.Sub(run.startedAt)),
	)
	if run.table != nil {
		fields = append(fields,
			zap.Uint64("configuration", run.table.Config.Version),
			zap.Duration("configurationAge", run.relay.deps.ConfigurationAge()),
		)
	}
	if run.route != nil {
		fields = append(fields, zap.String("route", run.route.Name), zap.Duration("objective", run.route.Objective),
			zap.Int("priority", run.priority))
	}
	if srv := run.pick.Server; srv != nil {
		fields = append(fields,
			zap.String("server", srv.ID),
			zap.Uint64("entryVersion", srv.Version),
			zap.Int("candidates", run.pick.Candidates),
			zap.Duration("forecast", run.pick.Forecast),
			zap.Duration("correction", run.pick.Correction.Mean),
			zap.Bool("exempt", run.pick.Exempt),
		)
	}
	if run.pick.PrefillSaved > 0 {
		fields = append(fields, zap.Duration("prefillSaved", run.pick.PrefillSaved))
	}
	if run.blocked {
		fields = append(fields, zap.String("fingerprint", string(run.fingerprint)), zap.Strings("promptParts", run.requestHeaders.SharedParts))
	}
	if !run.firstByteAt.IsZero() {
		fields = append(fields, zap.Duration("first", run.firstByteAt.Sub(run.startedAt)))
	}
	if !run.lastEventAt.IsZero() {
		fields = append(fields, zap.Duration("sinceLastEvent", run.relay.clock.Since(run.lastEventAt)))
	}
	run.relay.logger.Info("request ended", fields...)
}
