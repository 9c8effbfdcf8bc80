package relay_test

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/callermemory"
	"github.com/cumintally/cumintally/internal/outlier"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/relay"
	"github.com/cumintally/cumintally/internal/requestbody"
	"github.com/cumintally/cumintally/internal/reservation"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/suspicion"
	"github.com/cumintally/cumintally/internal/upstream"
)

// fixture is a relay with one route to a plain service, whose backend servers are chosen in a fixed order.
type fixture struct {
	tst *testing.T
	// addresses are the addresses of the backend servers in the order of the choices.
	addresses []string
	// retriesLeft is what is left of the retry budget.
	retriesLeft int
	choices     int
	// choicesLeft is the number of choices that find a server, 0 for no limit.
	choicesLeft int
	// mu guards the numbers above, since a watch chooses beside the request. inFlight is the number of choices in use.
	mu       sync.Mutex
	inFlight atomic.Int32
	// objective is that of the route, and usualTime the mean time of calls that placement reports.
	objective time.Duration
	usualTime time.Duration
	// connectDelay is the time that every connection takes, and connectSlack what is added to the time that it may take.
	connectDelay time.Duration
	connectSlack time.Duration
	// kind, timeout and attempts are those of the route; by default it is idempotent, with 5 s and two attempts.
	kind     route.Kind
	timeout  time.Duration
	attempts int
	// blockedFor is the time for which requests must not run since they may crash backend servers.
	blockedFor time.Duration
	// isOutdated says that the configuration may lack changes that must be in force.
	isOutdated bool
	// workspacePriority is that of the workspace, 0 for none.
	workspacePriority int
	// limits are those of the configuration, and secret says that the route needs a key.
	limits route.Limits
	secret bool
	// choose replaces the choice by addresses, and format the headers, unless they are nil.
	choose func(request placement.Request) (placement.Pick, error)
	format *relay.HeaderFormat
	// dial replaces the dialing of servers, and outliers the tracker, unless they are nil.
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	outliers *outlier.Tracker
	// crashes and admissions are those that the relay reported.
	crashes    []relay.Crash
	admissions []admission
	// clock is the real clock if it is nil.
	clock clockwork.Clock
}

// admission is a call of RecordAdmission.
type admission struct {
	class reservation.Class
	sent  bool
}

func (fix *fixture) handler() http.Handler {
	tbl := route.New(route.Config{
		Routes: []route.Route{
			{
				Name:        "status",
				Host:        "shop",
				PathPrefix:  "/",
				Kind:        cmp.Or(fix.kind, route.Idempotent),
				Timeout:     cmp.Or(fix.timeout, 5*time.Second),
				Objective:   fix.objective,
				MaxAttempts: cmp.Or(fix.attempts, 2),
				Public:      !fix.secret,
				Targets: []route.Target{
					{
						Service: "jobs",
						Weight:  1,
					},
				},
			},
		},
		Services: []route.Service{
			{
				Name: "jobs",
			},
		},
		Workspaces: []route.Workspace{
			{
				Name:        "polishing",
				Keys:        []string{"valid"},
				Priority:    fix.workspacePriority,
				HasPriority: fix.workspacePriority > 0,
			},
		},
		Limits: fix.limits,
	})
	clk := fix.clock
	if clk == nil {
		clk = clockwork.NewRealClock()
	}
	if fix.dial == nil {
		fix.dial = (&net.Dialer{}).DialContext
	}
	if fix.outliers == nil {
		fix.outliers = outlier.New()
	}
	pol := upstream.New(fix.dial, clk, metrics.NewCounter())
	fix.tst.Cleanup(func() { pol.Trim(func(string) bool { return false }) })
	dps := relay.Dependencies{
		Table:                  func() *route.Table { return tbl },
		ConfigurationAge:       func() time.Duration { return 0 },
		IsConfigurationCurrent: func() bool { return !fix.isOutdated },
		Choose: func(req placement.Request, _ time.Time) (placement.Pick, error) {
			if fix.choose != nil {
				return fix.choose(req)
			}
			fix.mu.Lock()
			defer fix.mu.Unlock()
			if fix.choicesLeft > 0 && fix.choices >= fix.choicesLeft {
				return placement.Pick{}, placement.ErrNoServer
			}
			adr := fix.addresses[min(fix.choices, len(fix.addresses)-1)]
			fix.choices++
			fix.inFlight.Add(1)
			return placement.Pick{
				Server: &serverregistry.Server{
					ID:      adr,
					Address: adr,
				},
				UsualTime:     fix.usualTime,
				ResponseBegan: func() {},
				Release:       func() { fix.inFlight.Add(-1) },
			}, nil
		},
		SuspectPath:   func(string) {},
		ReportFailure: func(*serverregistry.Server, suspicion.Kind, time.Time) {},
		Connect: func(ctx context.Context, adr string, timeout time.Duration) (*upstream.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, timeout+fix.connectSlack)
			defer cancel()
			if fix.connectDelay == 0 {
				return pol.Get(ctx, adr)
			}
			select {
			case <-ctx.Done():
				return nil, errors.WithType(ctx.Err(), upstream.ErrNotSent)
			case <-time.After(fix.connectDelay):
				return pol.Get(ctx, adr)
			}
		},
		RecordRequest: func(string, time.Time) {},
		RecordDemand:  func(placement.Request, time.Time) {},
		RecordAdmission: func(req placement.Request, sent bool, _ time.Time) {
			fix.mu.Lock()
			defer fix.mu.Unlock()
			fix.admissions = append(fix.admissions, admission{
				class: req.Class(),
				sent:  sent,
			})
		},
		TakeRetry: func(string, time.Time) bool {
			fix.mu.Lock()
			defer fix.mu.Unlock()
			if fix.retriesLeft == 0 {
				return false
			}
			fix.retriesLeft--
			return true
		},
		ReturnRetry: func(string, time.Time) {
			fix.mu.Lock()
			defer fix.mu.Unlock()
			fix.retriesLeft++
		},
		ReadBody:   requestbody.New(callermemory.New(callermemory.Config{Limit: 64 << 20, CallerShare: 64 << 20}, metrics.NewRegistry(), clk, zap.NewNop())).Read,
		BlockedFor: func(relay.Identity, time.Time) time.Duration { return fix.blockedTime() },
		ReportCrash: func(crs relay.Crash, _ time.Time) {
			fix.mu.Lock()
			defer fix.mu.Unlock()
			fix.crashes = append(fix.crashes, crs)
		},
		ReportSurvival:    func(relay.Identity, time.Time) {},
		ObserveLimit:      func(*serverregistry.Server, float64) bool { return false },
		ReportRejection:   func(quarantine.Fingerprint, time.Time) {},
		SinceFirstArrival: func(quarantine.Fingerprint, time.Time) time.Duration { return 0 },
		ReportStopping:    func(*serverregistry.Server) {},
	}
	format := relay.HeaderFormat{
		ParseRequest:   func(http.Header) (relay.RequestHeaders, error) { return relay.RequestHeaders{}, nil },
		RewriteRequest: func(http.Header, relay.ForwardHeaders) {},
		ParseResponse: func(res *http.Response) relay.ResponseHeaders {
			return relay.ResponseHeaders{
				Sealed: true,
				NotRun: res.StatusCode == http.StatusServiceUnavailable,
			}
		},
	}
	if fix.format != nil {
		format = *fix.format
	}
	return relay.New(format, dps, fix.outliers, metrics.NewRegistry(), clk, zap.NewNop())
}

func (fix *fixture) blockedTime() time.Duration {
	fix.mu.Lock()
	defer fix.mu.Unlock()
	return fix.blockedFor
}

// allowChoices lets num further choices find a server.
func (fix *fixture) allowChoices(num int) {
	fix.mu.Lock()
	defer fix.mu.Unlock()
	fix.choicesLeft += num
}

// get sends one request and returns its status.
func (fix *fixture) get() int {
	rsp := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodGet, "http://shop/status", nil)
	fix.handler().ServeHTTP(rsp, req)
	return rsp.Code
}

// unreachable returns an address at which nothing listens.
func unreachable(tst *testing.T) string {
	lst, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tst, err, qt.IsNil)
	defer lst.Close()
	return lst.Addr().String()
}

// answering returns the address of a backend server that answers every request with a status.
func answering(tst *testing.T, status int) string {
	srv := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, "answer")
	}))
	tst.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// Guards against a retry budget that connection failures use up: when a zone is cut off, all requests meet backend
// servers that cannot be reached. Such a send adds no load anywhere, so that the next one is no retry.
func TestSendWithoutConnectionTakesNoRetry(tst *testing.T) {
	fix := &fixture{
		tst:       tst,
		addresses: []string{unreachable(tst), unreachable(tst), answering(tst, http.StatusOK)},
	}
	qt.Assert(tst, fix.get(), qt.Equals, http.StatusOK)
	qt.Assert(tst, fix.retriesLeft, qt.Equals, 0)
}

// Guards against load beyond the retry budget: a backend server that reports a request as not run has received it, so
// that the next send is a retry.
func TestSendAfterRejectionTakesRetry(tst *testing.T) {
	fix := &fixture{
		tst:         tst,
		addresses:   []string{answering(tst, http.StatusServiceUnavailable), answering(tst, http.StatusOK)},
		retriesLeft: 1,
	}
	qt.Assert(tst, fix.get(), qt.Equals, http.StatusOK)
	qt.Assert(tst, fix.retriesLeft, qt.Equals, 0)
	fix.choices = 0
	qt.Assert(tst, fix.get(), qt.Equals, http.StatusServiceUnavailable)
}

// Guards against requests that wait for a server that is down until their objective has passed, and against a busy VM
// whose connections all take long and that would reach no server with a short timeout.
func TestConnectTimeoutGrows(tst *testing.T) {
	fix := &fixture{
		tst:          tst,
		addresses:    []string{answering(tst, http.StatusOK)},
		connectDelay: time.Minute,
	}
	start := time.Now()
	qt.Assert(tst, fix.get(), qt.Equals, http.StatusServiceUnavailable)
	took := time.Since(start)
	qt.Assert(tst, took < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%d sends took %v", fix.choices, took))
	fix.choices = 0
	fix.connectDelay = 350 * time.Millisecond
	qt.Assert(tst, fix.get(), qt.Equals, http.StatusOK)
	qt.Assert(tst, fix.choices, qt.Equals, 3)
}

// Guards against a first connection that uses up the objective.
func TestFirstConnectionLeavesTimeForAnother(tst *testing.T) {
	const objective = 300 * time.Millisecond
	fix := &fixture{
		tst:          tst,
		addresses:    []string{answering(tst, http.StatusOK)},
		connectDelay: 200 * time.Millisecond,
	}
	start := time.Now()
	qt.Assert(tst, fix.get(), qt.Equals, http.StatusOK)
	qt.Assert(tst, fix.choices, qt.Equals, 2)
	qt.Assert(tst, time.Since(start) < 200*time.Millisecond+objective/2, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
}
