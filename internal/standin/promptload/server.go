package promptload

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/standin/engine"
)

const (
	zone = "a"
	// loadTimeout bounds the time until an engine is ready.
	loadTimeout = 5 * time.Second
	// streamRetention is how long an engine keeps a finished stream.
	streamRetention = time.Second
	// maxInFlight exceeds the requests in flight at an engine, so that it never rejects one as cold.
	maxInFlight = 1000
)

// server is a stand-in engine that listens on loopback.
type server struct {
	id       string
	address  string
	engine   *engine.Engine
	http     *http.Server
	client   *backend.Client
	lastRead uint64
}

func startServer(ctx context.Context, id string, cfg *Config) (*server, error) {
	lst, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	eng := engine.New(engine.Config{
		VM:                 id,
		BaseStepTime:       stepTime,
		StepTimePerRequest: stepTimePerRequest,
		MaxBatch:           maxBatch,
		PrefillTime:        prefillTime,
		SerialPrefill:      true,
		ColdLimit:          maxInFlight,
		CacheBlocks:        cfg.CacheBlocks,
		Retention:          streamRetention,
	}, func() {})
	srv := &server{
		id:      id,
		address: lst.Addr().String(),
		engine:  eng,
		client: backend.New(&http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: maxBatch,
			},
		}),
		http: &http.Server{
			Handler:           eng.Handler(),
			ReadHeaderTimeout: loadTimeout,
		},
	}
	go func() { _ = srv.http.Serve(lst) }()
	return srv, errors.Trace(srv.load(ctx))
}

// load orders the engine to serve alone and waits until it does.
func (srv *server) load(ctx context.Context) error {
	ord := backend.Order{
		Fencing:  1,
		Group:    srv.id,
		Members:  []string{srv.id},
		Model:    model,
		NotAfter: time.Now().Add(loadTimeout),
	}
	if err := srv.client.Order(ctx, srv.address, ord); err != nil {
		return errors.Trace(err)
	}
	for due := time.Now().Add(loadTimeout); time.Now().Before(due); time.Sleep(stepTime) {
		rep, err := srv.client.Report(ctx, srv.address)
		if err != nil {
			return errors.Trace(err)
		}
		if rep.State == backend.StateReady || rep.State == backend.StateCold {
			return nil
		}
	}
	return errors.Errorf("engine %s is not ready after %v", srv.id, loadTimeout)
}

func (srv *server) close() {
	_ = srv.http.Close()
	srv.engine.Close()
}

func (srv *server) registration() serverregistry.Server {
	return serverregistry.Server{
		ID:        srv.id,
		Service:   serviceName,
		Address:   srv.address,
		Zone:      zone,
		StartTime: 1,
		Models:    []string{model},
		Membership: serverregistry.Membership{
			Group: srv.id,
			Epoch: 1,
			State: serverregistry.Open,
		},
	}
}

// evictions returns the blocks that the engine has reported as evicted since the last call.
func (srv *server) evictions(ctx context.Context) ([]uint64, error) {
	evts, err := srv.client.CacheEvents(ctx, srv.address, srv.lastRead)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var gone []uint64
	for _, evt := range evts {
		srv.lastRead = evt.Sequence
		if evt.Evicted {
			gone = append(gone, evt.Prefix)
		}
	}
	return gone, nil
}

// firstToken sends a request and returns the time to its first token. It reads the response to its end, and calls progress
// with each token.
func (srv *server) firstToken(ctx context.Context, req backend.StreamRequest, progress func()) (time.Duration, error) {
	sentAt := time.Now()
	str, err := srv.client.Generate(ctx, srv.address, req)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer str.Close()
	first := time.Duration(0)
	for {
		frm, err := str.Next()
		if err != nil {
			return 0, errors.Trace(err)
		}
		if first == 0 {
			first = time.Since(sentAt)
		}
		progress()
		if frm.Finish != "" {
			return first, nil
		}
	}
}
