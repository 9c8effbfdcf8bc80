package servicecall

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/backend"
)

const (
	// readyPath is the path at which a backend server reports whether it accepts calls. A leaving server responds 503.
	readyPath = "/readyz"
	// readyCacheTime is the age up to which a positive result is reused. It bounds the load of the probes: a daemon
	// probes a ready backend server at most once in this time, and only when it has a call for it.
	readyCacheTime = time.Second
	// readyMaxAge is the age up to which a positive result is valid at the moment of sending. It is below the 3 s
	// after which a leaving backend server must receive no new calls.
	readyMaxAge = 2 * time.Second
	// unreadyCacheTime is the age up to which a negative result is reused. It is short so that a server that is ready
	// again is detected soon.
	unreadyCacheTime = 200 * time.Millisecond
	// probeTimeout bounds one probe. A call may have to probe maxAttempts servers before it is rejected.
	probeTimeout = 300 * time.Millisecond
)

// readinessChecker probes whether backend servers accept calls, because the platform's list of leaving VMs lags
// behind.
type readinessChecker struct {
	htc *http.Client
	clk clockwork.Clock

	mu      sync.Mutex
	servers map[string]*serverReadiness
}

// serverReadiness is the result of the last probe of a backend server.
type serverReadiness struct {
	// probing is held during a probe, so that concurrent calls share its result.
	probing sync.Mutex

	mu    sync.Mutex
	ready bool
	// asOf is the time at which the probe was sent.
	asOf time.Time
}

func newReadinessChecker(clk clockwork.Clock, dial dialFunc) *readinessChecker {
	return &readinessChecker{
		htc: &http.Client{
			Transport: &http.Transport{
				DialContext:            dial,
				MaxIdleConnsPerHost:    1,
				IdleConnTimeout:        time.Minute,
				MaxResponseHeaderBytes: backend.MaxHeadSize,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		clk:     clk,
		servers: map[string]*serverReadiness{},
	}
}

func (rdy *readinessChecker) server(adr string) *serverReadiness {
	rdy.mu.Lock()
	defer rdy.mu.Unlock()
	srv, ok := rdy.servers[adr]
	if !ok {
		srv = &serverReadiness{}
		rdy.servers[adr] = srv
	}
	return srv
}

// prune removes the servers that are no longer listed.
func (rdy *readinessChecker) prune(listed map[string]bool) {
	rdy.mu.Lock()
	defer rdy.mu.Unlock()
	for adr := range rdy.servers {
		if !listed[adr] {
			delete(rdy.servers, adr)
		}
	}
}

// ensureReady fails unless the server accepts calls according to its last probe. It probes the server if that result
// is too old to be reused.
func (rdy *readinessChecker) ensureReady(ctx context.Context, adr string) error {
	srv := rdy.server(adr)
	srv.probing.Lock()
	defer srv.probing.Unlock()
	ready, age := srv.last(rdy.clk.Now())
	if (ready && age > readyCacheTime) || (!ready && age > unreadyCacheTime) {
		asOf := rdy.clk.Now()
		// The result is used for other calls too, so the probe must not end when this caller disconnects.
		var err error
		ready, err = rdy.probe(context.WithoutCancel(ctx), adr)
		srv.set(ready, asOf)
		if err != nil {
			return errors.Annotatef(err, "readiness probe of %s failed", adr)
		}
	}
	if !ready {
		return errors.Errorf("%s does not accept calls", adr)
	}
	return nil
}

// checkAge fails unless the last result is positive and at most readyMaxAge old. After a pause of this process it
// may be older.
func (rdy *readinessChecker) checkAge(adr string) error {
	if ready, age := rdy.server(adr).last(rdy.clk.Now()); !ready || age > readyMaxAge {
		return errors.Errorf("%s has no recent positive readiness probe", adr)
	}
	return nil
}

// probe sends one readiness request to a server. An error means that there was no response.
func (rdy *readinessChecker) probe(ctx context.Context, adr string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adr+readyPath, nil)
	if err != nil {
		return false, errors.Trace(err)
	}
	res, err := rdy.htc.Do(req)
	if err != nil {
		return false, errors.Trace(err)
	}
	res.Body.Close()
	// A service without this path responds 404. For it only the platform's list decides.
	return res.StatusCode < http.StatusInternalServerError, nil
}

// last returns the last result and its age.
func (srv *serverReadiness) last(now time.Time) (bool, time.Duration) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.ready, now.Sub(srv.asOf)
}

func (srv *serverReadiness) set(ready bool, asOf time.Time) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.ready = ready
	srv.asOf = asOf
}
