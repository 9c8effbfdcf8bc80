package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/outlier"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/requestbody"
	"github.com/cumintally/cumintally/internal/route"
)

const (
	// defaultTimeout applies to requests whose caller states no deadline; a shorter timeout of the route still holds.
	defaultTimeout = 2 * time.Minute
	// defaultMaxBodySize limits request bodies while the configuration states no limit.
	defaultMaxBodySize = 4 << 20
)

// Relay is the HTTP handler that forwards callers' requests to backend servers.
type Relay struct {
	format         HeaderFormat
	deps           Dependencies
	outliers       *outlier.Tracker
	requestMetrics counters
	clock          clockwork.Clock
	logger         *zap.Logger

	draining  atomic.Bool
	rejecting atomic.Bool
	// ended is done once the requests in progress must end, and end makes it so.
	ended context.Context
	end   context.CancelFunc

	mu       sync.Mutex
	inFlight int
}

// New returns a relay whose counters and latency histograms are registered in registry.
func New(format HeaderFormat, deps Dependencies, outliers *outlier.Tracker, registry metrics.Registry, clock clockwork.Clock, logger *zap.Logger) *Relay {
	ended, end := context.WithCancel(context.Background())
	return &Relay{
		ended:          ended,
		end:            end,
		format:         format,
		deps:           deps,
		outliers:       outliers,
		requestMetrics: newCounters(registry),
		clock:          clock,
		logger:         logger.Named("relay"),
	}
}

// ServeHTTP handles one request from admission to its final response.
func (rly *Relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	rly.addInFlight(1)
	defer rly.addInFlight(-1)
	run := &run{
		relay:     rly,
		writer:    writer,
		request:   request,
		startedAt: rly.clock.Now(),
	}
	if rly.draining.Load() {
		// The last response on a connection asks the caller not to reuse it.
		writer.Header().Set("Connection", "close")
	}
	ref := run.admit()
	if run.body != nil {
		// A request is kept until it ends, since it may be sent again.
		defer run.body.Close()
	}
	switch {
	case ref != nil && run.body == nil && request.ContentLength != 0:
		requestbody.Refuse(writer, request, func() { run.reject(ref) })
		return
	case ref != nil:
		run.reject(ref)
		return
	}
	// A context waits on the steady clock, whose times do not include suspensions as those of rly.clock may.
	ctx, cancel := context.WithTimeout(request.Context(), run.deadline.Sub(rly.clock.Now()))
	defer cancel()
	stop := context.AfterFunc(rly.ended, cancel)
	defer stop()
	run.serve(ctx)
}

func (rly *Relay) addInFlight(num int) {
	rly.mu.Lock()
	defer rly.mu.Unlock()
	rly.inFlight += num
	rly.requestMetrics.inProgress.Update(int64(rly.inFlight))
}

// HasServedRequests reports whether the relay has admitted any request, answered or not.
func (rly *Relay) HasServedRequests() bool {
	return rly.requestMetrics.requests.Count() > 0
}

// InFlight returns the number of requests in flight.
func (rly *Relay) InFlight() int {
	rly.mu.Lock()
	defer rly.mu.Unlock()
	return rly.inFlight
}

// Drain makes every further response the last one on its connection.
func (rly *Relay) Drain() {
	rly.draining.Store(true)
}

// RejectNew makes the relay reject further requests, also those whose body is still being read: they might not be complete in
// time. After it, idle connections can be closed: a request that crosses the close is not passed on.
func (rly *Relay) RejectNew() {
	rly.rejecting.Store(true)
}

// End ends all requests in progress with the response that is true for each of them.
func (rly *Relay) End() {
	rly.end()
}

// admit determines the route, workspace and service of a request and reads its body. It returns the refusal if the
// request is invalid or cannot be served.
func (run *run) admit() *refusal.Refusal {
	rly := run.relay
	var err error
	if run.requestHeaders, err = rly.format.ParseRequest(run.request.Header); err != nil {
		return refusal.Invalid(err.Error())
	}
	tbl := rly.deps.Table()
	if tbl == nil {
		return refusal.Unavailable("no configuration is known yet", run.retryAfter())
	}
	run.table = tbl
	if ref := run.checkSize(tbl.Config.Limits); ref != nil {
		return ref
	}
	run.target = run.request.RequestURI
	if !strings.HasPrefix(run.target, "/") {
		run.target = run.request.URL.RequestURI()
	}
	path, _, _ := strings.Cut(run.target, "?")
	rte, ok := tbl.Find(run.request.Host, path)
	if !ok {
		return run.refuse(http.StatusNotFound, "No route", "no route for "+run.request.Host+path)
	}
	run.route = rte
	run.priority = rte.Priority
	if ref := run.authenticate(); ref != nil {
		return ref
	}
	run.setDeadline()
	if ref := run.readBody(tbl.Config.Limits); ref != nil {
		return ref
	}
	name := rte.ChooseTarget(rand.Float64())
	if run.service, ok = tbl.Service(name); !ok {
		return refusal.Unavailable("service "+name+" is not configured", run.retryAfter())
	}
	if rly.rejecting.Load() {
		return refusal.Unavailable("this daemon is stopping", run.retryAfter())
	}
	run.fingerprint = quarantine.FingerprintOfSegments(run.requestHeaders.Model,
		run.workspace+"\x00"+run.request.Method+"\x00"+run.target+"\x00", run.body.Segments)
	run.waitedBefore = rly.deps.SinceFirstArrival(run.fingerprint, run.startedAt)
	return nil
}

// refuse returns the refusal of a request that the configuration does not allow. Callers do not retry such a request, so that it
// is refused only for now if the configuration may lack changes that must be in force.
func (run *run) refuse(status int, title, detail string) *refusal.Refusal {
	if !run.relay.deps.IsConfigurationCurrent() {
		return refusal.Unavailable(detail+" by a configuration that may be out of date", run.retryAfter())
	}
	return refusal.New(refusal.NotRun, status, title, detail, 0)
}

func (run *run) checkSize(lmt route.Limits) *refusal.Refusal {
	if lmt.MaxHeaderSize <= 0 {
		return nil
	}
	size := 0
	for name, vals := range run.request.Header {
		for _, val := range vals {
			size += len(name) + len(val) + len(": \r\n")
		}
	}
	if size > lmt.MaxHeaderSize {
		return run.refuse(http.StatusRequestHeaderFieldsTooLarge, "Headers too large", "the headers exceed the configured size")
	}
	return nil
}

func (run *run) authenticate() *refusal.Refusal {
	wsp, ok := run.table.Authenticate(run.requestHeaders.APIKey)
	if ok {
		run.workspace = wsp.Name
		if wsp.HasPriority {
			run.priority = wsp.Priority
		}
		return nil
	}
	if run.table.RequiresKey(run.route) {
		return run.refuse(http.StatusUnauthorized, "Unknown key", "no workspace holds the key")
	}
	return nil
}

// readBody reads the body, which must arrive before the deadline of the request.
func (run *run) readBody(lmt route.Limits) *refusal.Refusal {
	limit := lmt.MaxBodySize
	if limit <= 0 {
		limit = defaultMaxBodySize
	}
	caller := run.workspace
	if caller == "" {
		caller, _, _ = net.SplitHostPort(run.request.RemoteAddr)
	}
	body, err := run.relay.deps.ReadBody(requestbody.Request{
		Writer:  run.writer,
		Request: run.request,
		Caller:  caller,
		MaxSize: int64(limit),
		Timeout: run.deadline.Sub(run.startedAt),
	})
	switch {
	case errors.Is(err, requestbody.ErrTooLarge):
		return run.refuse(http.StatusRequestEntityTooLarge, "Body too large", "the body exceeds the configured size")
	case errors.Is(err, requestbody.ErrTooSlow):
		return refusal.New(refusal.NotRun, http.StatusRequestTimeout, "Body too slow", "the body did not arrive before the deadline of the request", 0)
	case errors.Is(err, requestbody.ErrNoMemory):
		return refusal.Unavailable("too many large requests are in progress", run.retryAfter())
	case err != nil:
		return refusal.Invalid("the body ended early")
	}
	run.body = body
	return nil
}

// setDeadline applies the shorter of the caller's deadline and the route's timeout.
func (run *run) setDeadline() {
	left := defaultTimeout
	if run.requestHeaders.Timeout > 0 {
		left = run.requestHeaders.Timeout
	}
	if run.route.Timeout > 0 {
		left = min(left, run.route.Timeout)
	}
	run.deadline = run.startedAt.Add(left)
}
