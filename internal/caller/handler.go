package caller

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/burn"
	"github.com/cumintally/cumintally/internal/dispatch"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/servicecall"
	"github.com/cumintally/cumintally/internal/workspace"
	"github.com/cumintally/cumintally/pkg/document"
)

// Config bounds what callers may ask for.
type Config struct {
	MaxBodySize int
	Timeout     time.Duration
	// TokenKey authenticates resume tokens.
	TokenKey []byte
}

// Handler serves callers.
type Handler struct {
	cfg Config
	dsp *dispatch.Dispatcher
	cal *servicecall.Caller
	reg *workspace.Registry
	sto *generation.Store
	rec *burn.Recorder
	clk clockwork.Clock
	log *zap.Logger

	mu       sync.Mutex
	stopping bool
	draining bool
	active   sync.WaitGroup
	// bodies is the number of bytes reserved for the bodies of requests in progress.
	bodies atomic.Int64
}

// New returns a handler that sends requests to models to dsp and calls of services to cal.
func New(
	cfg Config,
	dsp *dispatch.Dispatcher,
	cal *servicecall.Caller,
	reg *workspace.Registry,
	sto *generation.Store,
	rec *burn.Recorder,
	clk clockwork.Clock,
	log *zap.Logger,
) *Handler {
	return &Handler{
		cfg: cfg,
		dsp: dsp,
		cal: cal,
		reg: reg,
		sto: sto,
		rec: rec,
		clk: clk,
		log: log.Named("caller"),
	}
}

// Routes returns the interface's HTTP handler.
func (hnd *Handler) Routes() http.Handler {
	rtr := chi.NewRouter()
	rtr.Get("/healthz", func(rsw http.ResponseWriter, _ *http.Request) { rsw.WriteHeader(http.StatusNoContent) })
	rtr.Get("/readyz", hnd.ready)
	rtr.Group(func(api chi.Router) {
		api.Use(hnd.track, hnd.authenticate)
		api.Post("/v1/chat/completions", hnd.chatCompletions)
		api.Post("/v1/completions", hnd.completions)
		api.Get("/v1/models", hnd.models)
		api.Get("/v1/streams/{token}", hnd.resume)
		api.HandleFunc("/services/{service}/*", hnd.service)
	})
	rtr.NotFound(func(rsw http.ResponseWriter, req *http.Request) {
		writeProblem(rsw, req, refusal.New(refusal.NotRun, http.StatusNotFound, "Not found", "there is nothing at "+req.URL.Path, 0))
	})
	rtr.MethodNotAllowed(func(rsw http.ResponseWriter, req *http.Request) {
		writeProblem(rsw, req, refusal.New(refusal.NotRun, http.StatusMethodNotAllowed, "Method not allowed", req.Method, 0))
	})
	return rtr
}

func (hnd *Handler) ready(rsw http.ResponseWriter, _ *http.Request) {
	hnd.mu.Lock()
	stp := hnd.stopping
	hnd.mu.Unlock()
	if stp || hnd.sto.InForce().Generation == 0 {
		rsw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rsw.WriteHeader(http.StatusNoContent)
}

// FailReadiness makes /readyz fail; requests are still served.
func (hnd *Handler) FailReadiness() {
	hnd.mu.Lock()
	defer hnd.mu.Unlock()
	hnd.stopping = true
}

// Drain refuses new requests and waits until those in progress have ended or ctx ends.
func (hnd *Handler) Drain(ctx context.Context) {
	hnd.mu.Lock()
	hnd.stopping = true
	hnd.draining = true
	hnd.mu.Unlock()
	done := make(chan struct{})
	go func() {
		hnd.active.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// drainComeBack is the time to come back given while this daemon stops; the balancer then has another.
const drainComeBack = time.Second

// track counts the requests in progress and refuses new ones while the daemon stops.
func (hnd *Handler) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rsw http.ResponseWriter, req *http.Request) {
		hnd.mu.Lock()
		if hnd.draining {
			hnd.mu.Unlock()
			rsw.Header().Set("Connection", "close")
			writeProblem(rsw, req, refusal.Unavailable("this entry VM is stopping", drainComeBack))
			return
		}
		hnd.active.Add(1)
		stp := hnd.stopping
		hnd.mu.Unlock()
		if stp {
			// The balancer must not reuse the connection: it closes when the daemon exits.
			rsw.Header().Set("Connection", "close")
		}
		defer hnd.active.Done()
		ctx := context.WithValue(req.Context(), requestIDKey{}, uuid.NewString())
		rsw.Header().Set("X-Request-Id", requestID(ctx))
		next.ServeHTTP(rsw, req.WithContext(ctx))
	})
}

type (
	requestIDKey struct{}
	workspaceKey struct{}
)

func requestID(ctx context.Context) string {
	idn, _ := ctx.Value(requestIDKey{}).(string)
	return idn
}

func callerWorkspace(ctx context.Context) document.Workspace {
	wsp, _ := ctx.Value(workspaceKey{}).(document.Workspace)
	return wsp
}

func (hnd *Handler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rsw http.ResponseWriter, req *http.Request) {
		if hnd.sto.InForce().Generation == 0 {
			writeProblem(rsw, req, refusal.Unavailable("no document is in force yet", drainComeBack))
			return
		}
		key, _ := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
		wsp, ok := hnd.reg.Authenticate(key)
		if !ok {
			rsw.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(rsw, req, refusal.New(refusal.NotRun, http.StatusUnauthorized, "Unauthorized", "the bearer key belongs to no workspace", 0))
			return
		}
		ctx := context.WithValue(req.Context(), workspaceKey{}, wsp)
		next.ServeHTTP(rsw, req.WithContext(ctx))
	})
}
