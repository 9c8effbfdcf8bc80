package servicecall

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/zap/zaptest"

	"github.com/cumintally/cumintally/internal/booking"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/pkg/document"
)

// backendServer is a backend server of a plain service that counts the calls that it receives.
type backendServer struct {
	*httptest.Server
	calls   atomic.Int64
	leaving atomic.Bool
}

func newBackendServer(t *testing.T, handler http.HandlerFunc) *backendServer {
	t.Helper()
	bes := &backendServer{}
	mux := http.NewServeMux()
	mux.HandleFunc("/readyz", func(rsw http.ResponseWriter, _ *http.Request) {
		if bes.leaving.Load() {
			rsw.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/", func(rsw http.ResponseWriter, req *http.Request) {
		bes.calls.Add(1)
		handler(rsw, req)
	})
	bes.Server = httptest.NewServer(mux)
	t.Cleanup(bes.Close)
	return bes
}

func (bes *backendServer) vm() objects.VM {
	return objects.VM{
		AvailabilityZone: "zone-1",
		Role:             objects.RoleService,
		Service:          "jobs",
		Address:          strings.TrimPrefix(bes.URL, "http://"),
		State:            objects.VMLive,
	}
}

// fixture is a client with a list of VMs that tests can change, and key functions that record their calls.
type fixture struct {
	cli      *Client
	mu       sync.Mutex
	vms      []objects.VM
	reserve  func() (booking.Reservation, error)
	finished []booking.Result
	released int
}

func newFixture(t *testing.T, clk clockwork.Clock, vms ...objects.VM) *fixture {
	t.Helper()
	fix := &fixture{
		vms:     vms,
		reserve: func() (booking.Reservation, error) { return booking.Reservation{}, nil },
	}
	keys := KeyStore{
		Reserve: func(context.Context, string, string, []byte) (booking.Reservation, error) { return fix.reserve() },
		Finish: func(_ booking.Reservation, status int, _ string, body []byte) {
			fix.finished = append(fix.finished, booking.Result{Status: status, Body: body})
		},
		Release: func(booking.Reservation) { fix.released++ },
	}
	doc := &document.Document{
		Services: []document.Service{{
			Name: "jobs",
			Calls: []document.Call{
				{Method: http.MethodGet, Path: "/batches/*", Repeatable: true},
				{Method: http.MethodPost, Path: "/bookings"},
			},
		}},
	}
	fix.cli = New("zone-1", keys, fix.list, func() *document.Document { return doc }, clk, zaptest.NewLogger(t))
	return fix
}

func (fix *fixture) list() []objects.VM {
	fix.mu.Lock()
	defer fix.mu.Unlock()
	return fix.vms
}

func (fix *fixture) set(vms ...objects.VM) {
	fix.mu.Lock()
	defer fix.mu.Unlock()
	fix.vms = vms
}

func bookingRequest(key string, timeout time.Duration) Request {
	return Request{
		RequestID:      "request-1",
		Workspace:      "polishing",
		Service:        "jobs",
		Method:         http.MethodPost,
		Path:           "/bookings",
		IdempotencyKey: key,
		Body:           []byte(`{"Reference":"blank-1"}`),
		Deadline:       time.Now().Add(timeout),
	}
}

func outcomeOf(c *qt.C, err error) refusal.Outcome {
	var ref *refusal.Refusal
	c.Assert(errors.As(err, &ref), qt.IsTrue, qt.Commentf("%v", err))
	return ref.Outcome
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// TestSentOnce guards against a call that is sent again after a byte reached a backend server: by this package, by
// a retry in net/http, or by following a redirect.
func TestSentOnce(t *testing.T) {
	var other *backendServer
	for _, cse := range []struct {
		name    string
		answer  http.HandlerFunc
		outcome refusal.Outcome
		status  int
	}{
		{"connection broken", abort, refusal.Unknown, 0},
		{"response cut short", func(rsw http.ResponseWriter, _ *http.Request) {
			rsw.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(rsw, "half")
		}, refusal.Unknown, 0},
		{"redirect", func(rsw http.ResponseWriter, req *http.Request) {
			http.Redirect(rsw, req, other.URL+"/bookings", http.StatusTemporaryRedirect)
		}, "", http.StatusTemporaryRedirect},
		{"redirect to another method", func(rsw http.ResponseWriter, req *http.Request) {
			http.Redirect(rsw, req, other.URL+"/bookings", http.StatusSeeOther)
		}, "", http.StatusSeeOther},
		{"early hint and failure", func(rsw http.ResponseWriter, _ *http.Request) {
			rsw.WriteHeader(http.StatusEarlyHints)
			rsw.WriteHeader(http.StatusServiceUnavailable)
		}, "", http.StatusServiceUnavailable},
		{"response too large", func(rsw http.ResponseWriter, _ *http.Request) {
			_, _ = rsw.Write(make([]byte, maxResponseSize+1))
		}, refusal.Unknown, 0},
	} {
		for _, key := range []string{"", "key-1"} {
			t.Run(cse.name+" "+key, func(t *testing.T) {
				c := qt.New(t)
				first := newBackendServer(t, cse.answer)
				other = newBackendServer(t, cse.answer)
				fix := newFixture(t, clockwork.NewRealClock(), first.vm(), other.vm())
				ans, err := fix.cli.Call(context.Background(), bookingRequest(key, 5*time.Second))
				c.Assert(first.calls.Load()+other.calls.Load(), qt.Equals, int64(1))
				if cse.outcome == "" {
					c.Assert(err, qt.IsNil)
					c.Assert(ans.Status, qt.Equals, cse.status)
					return
				}
				c.Assert(outcomeOf(c, err), qt.Equals, cse.outcome)
				c.Assert(fix.released, qt.Equals, 0)
			})
		}
	}
}

// TestNotSent guards against an outcome Unknown, or a reservation that is not released, when no byte was sent.
func TestNotSent(t *testing.T) {
	c := qt.New(t)
	lst, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	gone := objects.VM{
		AvailabilityZone: "zone-1",
		Role:             objects.RoleService,
		Service:          "jobs",
		Address:          lst.Addr().String(),
		State:            objects.VMLive,
	}
	lst.Close()
	fix := newFixture(t, clockwork.NewRealClock(), gone)
	_, err = fix.cli.Call(context.Background(), bookingRequest("key-1", 5*time.Second))
	c.Assert(outcomeOf(c, err), qt.Equals, refusal.NotRun)
	c.Assert(fix.released, qt.Equals, 1)

	up := newBackendServer(t, func(rsw http.ResponseWriter, _ *http.Request) { rsw.WriteHeader(http.StatusCreated) })
	far := up.vm()
	far.AvailabilityZone = "zone-2"
	fix.set(gone, far)
	ans, err := fix.cli.Call(context.Background(), bookingRequest("key-1", 5*time.Second))
	c.Assert(err, qt.IsNil)
	c.Assert(ans.Status, qt.Equals, http.StatusCreated)
}

// TestGate guards against a byte that is sent after the deadline, after the caller has disconnected, to a server that
// is leaving, or after a pause of the process between the choice of the server and the send.
func TestGate(t *testing.T) {
	for _, cse := range []struct {
		name   string
		change func(fix *fixture, clk *clockwork.FakeClock, cancel context.CancelFunc)
	}{
		{"deadline passed in a pause", func(_ *fixture, clk *clockwork.FakeClock, _ context.CancelFunc) { clk.Advance(time.Hour) }},
		{"readiness too old after a pause", func(_ *fixture, clk *clockwork.FakeClock, _ context.CancelFunc) {
			clk.Advance(readyMaxAge + time.Millisecond)
		}},
		{"caller gone", func(_ *fixture, _ *clockwork.FakeClock, cancel context.CancelFunc) { cancel() }},
		{"server leaving", func(fix *fixture, _ *clockwork.FakeClock, _ context.CancelFunc) {
			vmc := fix.list()[0]
			vmc.State = objects.VMLeaving
			fix.set(vmc)
		}},
		{"server not listed", func(fix *fixture, _ *clockwork.FakeClock, _ context.CancelFunc) { fix.set() }},
	} {
		t.Run(cse.name, func(t *testing.T) {
			c := qt.New(t)
			up := newBackendServer(t, func(http.ResponseWriter, *http.Request) {})
			clk := clockwork.NewFakeClockAt(time.Now())
			fix := newFixture(t, clk, up.vm())
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			req := bookingRequest("key-1", time.Minute)
			adr := up.vm().Address
			c.Assert(fix.cli.readiness.ensureReady(ctx, adr), qt.IsNil)
			gat := &gate{
				check: func() error { return fix.cli.mayStart(ctx, adr, req) },
			}
			cse.change(fix, clk, cancel)
			_, err := send(context.Background(), context.Background(), gat, newBodyReader(), adr, req)
			c.Assert(err, qt.IsNotNil)
			c.Assert(gat.close(err), qt.IsTrue)
			c.Assert(up.calls.Load(), qt.Equals, int64(0))
		})
	}
}

// TestGateClosedBeforeWrite guards against a byte that net/http writes after the caller got the outcome NotRun.
func TestGateClosedBeforeWrite(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	gat := &gate{check: func() error { return nil }}
	c.Assert(gat.close(context.Canceled), qt.IsTrue)
	_, err := gatedConn{Conn: near, gat: gat}.Write([]byte("POST"))
	c.Assert(err, qt.IsNotNil)

	gat = &gate{check: func() error { return nil }}
	c.Assert(gat.allowWrite(), qt.IsNil)
	c.Assert(gat.close(context.Canceled), qt.IsFalse)
}

// TestPause guards against a call that is sent according to a list of VMs from before a pause of the process.
func TestPause(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	det := &pauseDetector{
		clk:           clk,
		lastHeartbeat: clk.Now(),
	}
	clk.Advance(heartbeatInterval)
	c.Assert(det.check(), qt.IsNil)
	clk.Advance(pauseThreshold + time.Millisecond)
	c.Assert(det.check(), qt.IsNotNil)
	clk.Advance(blockTime / 2)
	c.Assert(det.check(), qt.IsNotNil)
	clk.Advance(blockTime / 2)
	c.Assert(det.check(), qt.IsNil)
}

// TestLeaving guards against calls to a backend server that reports that it is leaving while the list still has it as
// live.
func TestLeaving(t *testing.T) {
	c := qt.New(t)
	up := newBackendServer(t, func(http.ResponseWriter, *http.Request) {})
	clk := clockwork.NewFakeClockAt(time.Now())
	fix := newFixture(t, clk, up.vm())
	_, err := fix.cli.Call(context.Background(), bookingRequest("", time.Minute))
	c.Assert(err, qt.IsNil)
	up.leaving.Store(true)
	clk.Advance(readyCacheTime + time.Millisecond)
	_, err = fix.cli.Call(context.Background(), bookingRequest("", time.Minute))
	c.Assert(outcomeOf(c, err), qt.Equals, refusal.NotRun)
	c.Assert(up.calls.Load(), qt.Equals, int64(1))
}

// TestCallerGone guards against a call in flight that is cancelled, and whose result is lost, because its caller
// disconnects.
func TestCallerGone(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	up := newBackendServer(t, func(rsw http.ResponseWriter, req *http.Request) {
		cancel()
		select {
		case <-req.Context().Done():
		case <-time.After(100 * time.Millisecond):
			rsw.WriteHeader(http.StatusCreated)
		}
	})
	fix := newFixture(t, clockwork.NewRealClock(), up.vm())
	_, err := fix.cli.Call(ctx, bookingRequest("key-1", 5*time.Second))
	c.Assert(err, qt.IsNil)
	c.Assert(fix.finished, qt.HasLen, 1)
	c.Assert(fix.finished[0].Status, qt.Equals, http.StatusCreated)

	_, err = fix.cli.Call(ctx, bookingRequest("key-2", 5*time.Second))
	c.Assert(outcomeOf(c, err), qt.Equals, refusal.NotRun)
	c.Assert(up.calls.Load(), qt.Equals, int64(1))
}

// TestReserveRefusals guards against a call that is sent without a reservation, and against a rejection with a wrong
// outcome, status or Retry-After.
func TestReserveRefusals(t *testing.T) {
	retryAt := time.Now().Add(time.Hour)
	for _, cse := range []struct {
		name    string
		rsv     booking.Reservation
		err     error
		outcome refusal.Outcome
		status  int
		retry   bool
	}{
		{"in progress", booking.Reservation{}, booking.ErrInProgress, refusal.Unknown, http.StatusConflict, true},
		{"mismatch", booking.Reservation{}, booking.ErrContentMismatch, refusal.NotRun, http.StatusUnprocessableEntity, false},
		{"expired", booking.Reservation{}, booking.ErrExpired, refusal.Unknown, http.StatusConflict, false},
		{"full", booking.Reservation{RetryAt: retryAt}, booking.ErrBucketFull, refusal.NotRun, http.StatusServiceUnavailable, true},
		{"unavailable", booking.Reservation{}, booking.ErrUnavailable, refusal.NotRun, http.StatusServiceUnavailable, true},
		{"result not stored", booking.Reservation{Result: &booking.Result{Status: 201, Omitted: true}}, nil, refusal.Unknown, http.StatusConflict, false},
	} {
		t.Run(cse.name, func(t *testing.T) {
			c := qt.New(t)
			up := newBackendServer(t, func(http.ResponseWriter, *http.Request) {})
			fix := newFixture(t, clockwork.NewRealClock(), up.vm())
			fix.reserve = func() (booking.Reservation, error) { return cse.rsv, cse.err }
			_, err := fix.cli.Call(context.Background(), bookingRequest("key-1", 5*time.Second))
			c.Assert(outcomeOf(c, err), qt.Equals, cse.outcome)
			var ref *refusal.Refusal
			c.Assert(errors.As(err, &ref), qt.IsTrue)
			c.Assert(ref.Status, qt.Equals, cse.status)
			c.Assert(ref.RetryAfter > 0, qt.Equals, cse.retry)
			c.Assert(up.calls.Load(), qt.Equals, int64(0))
		})
	}
}

// TestRepeatable guards against a call that is repeated although its path only resembles a repeatable one.
func TestRepeatable(t *testing.T) {
	svc := document.Service{Calls: []document.Call{{Method: http.MethodGet, Path: "/batches/*", Repeatable: true}}}
	for _, cse := range []struct {
		method string
		path   string
		want   bool
	}{
		{http.MethodGet, "/batches/7", true},
		{http.MethodPost, "/batches/7", false},
		{http.MethodGet, "/batches/../bookings", false},
		{http.MethodGet, "/batches/%2e%2e/bookings", false},
		{http.MethodGet, "/batches//7", false},
		{http.MethodGet, "/other", false},
	} {
		got := repeatable(svc, Request{Method: cse.method, Path: cse.path})
		qt.Check(t, got, qt.Equals, cse.want, qt.Commentf("%s %s", cse.method, cse.path))
	}
}

// TestParseKey guards against two spellings of one key that are reserved as two keys.
func TestParseKey(t *testing.T) {
	for _, cse := range []struct {
		text string
		key  string
		ok   bool
	}{
		{`"8e03978e"`, "8e03978e", true},
		{`8e03978e`, "8e03978e", true},
		{` 8e03978e `, "8e03978e", true},
		{`""`, "", false},
		{"", "", false},
		{"caf\xc3\xa9", "", false},
		{strings.Repeat("k", maxKeySize+1), "", false},
	} {
		key, ok := parseKey(cse.text)
		qt.Check(t, key, qt.Equals, cse.key)
		qt.Check(t, ok, qt.Equals, cse.ok)
	}
}
