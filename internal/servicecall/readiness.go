package servicecall

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

const (
	// readyPath is where a backend server says whether it takes calls; a server that is leaving says 503.
	readyPath = "/readyz"
	// readyFresh is the age up to which an answer is used without asking again. It bounds the load: a
	// daemon asks a backend server at most once in this time, and only when it has a call for it.
	readyFresh = time.Second
	// readyMaxAge is the age up to which an answer counts at the moment of sending. It is below the 3 s
	// after which a leaving backend server must get no new calls.
	readyMaxAge = 2 * time.Second
	// unreadyFresh is the age up to which a bad answer is used, so that a server which is back is found soon.
	unreadyFresh = 200 * time.Millisecond
	// readyTimeout bounds one question; a call may have to ask maxAttempts servers before it is rejected.
	readyTimeout = 300 * time.Millisecond
)

// readiness asks backend servers whether they take calls, since the platform's list of leaving VMs lags.
type readiness struct {
	htc *http.Client
	clk clockwork.Clock

	mu      sync.Mutex
	servers map[string]*server
}

type server struct {
	asking sync.Mutex

	mu    sync.Mutex
	ready bool
	asOf  time.Time
}

func newReadiness(clk clockwork.Clock, dial dialFunc) *readiness {
	return &readiness{
		htc: &http.Client{
			Transport: &http.Transport{
				DialContext:         dial,
				MaxIdleConnsPerHost: 1,
				IdleConnTimeout:     time.Minute,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		clk:     clk,
		servers: map[string]*server{},
	}
}

func (rdy *readiness) server(adr string) *server {
	rdy.mu.Lock()
	defer rdy.mu.Unlock()
	srv, ok := rdy.servers[adr]
	if !ok {
		srv = &server{}
		rdy.servers[adr] = srv
	}
	return srv
}

// keep forgets the servers that are no longer listed.
func (rdy *readiness) keep(listed map[string]bool) {
	rdy.mu.Lock()
	defer rdy.mu.Unlock()
	for adr := range rdy.servers {
		if !listed[adr] {
			delete(rdy.servers, adr)
		}
	}
}

// ask fails unless the server has said lately that it takes calls.
func (rdy *readiness) ask(ctx context.Context, adr string) error {
	srv := rdy.server(adr)
	srv.asking.Lock()
	defer srv.asking.Unlock()
	ready, age := srv.last(rdy.clk.Now())
	if (ready && age > readyFresh) || (!ready && age > unreadyFresh) {
		asOf := rdy.clk.Now()
		// The answer counts for other calls too, so a caller that goes away must not end the question.
		var err error
		ready, err = rdy.question(context.WithoutCancel(ctx), adr)
		srv.set(ready, asOf)
		if err != nil {
			return errors.Annotatef(err, "%s does not say whether it takes calls", adr)
		}
	}
	if !ready {
		return errors.Errorf("%s does not take calls", adr)
	}
	return nil
}

// current fails if the server's answer is too old, as it is after a pause of this process.
func (rdy *readiness) current(adr string) error {
	if ready, age := rdy.server(adr).last(rdy.clk.Now()); !ready || age > readyMaxAge {
		return errors.Errorf("%s has not said lately that it takes calls", adr)
	}
	return nil
}

// question asks a server once; an error says that it did not answer.
func (rdy *readiness) question(ctx context.Context, adr string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
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
	// A service without this path says 404; for it the platform's list alone decides.
	return res.StatusCode < http.StatusInternalServerError, nil
}

func (srv *server) last(now time.Time) (bool, time.Duration) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.ready, now.Sub(srv.asOf)
}

func (srv *server) set(ready bool, asOf time.Time) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.ready = ready
	srv.asOf = asOf
}
