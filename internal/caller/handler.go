package caller

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/burn"
	"github.com/cumintally/cumintally/internal/dispatch"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/requestbody"
	"github.com/cumintally/cumintally/internal/servicecall"
	"github.com/cumintally/cumintally/internal/workspace"
	"github.com/cumintally/cumintally/pkg/document"
)

// Config holds the limits for requests of callers and the key of resume tokens.
type Config struct {
	// MaxBodySize is the largest request body in bytes.
	MaxBodySize int
	// Timeout is the longest time of a request.
	Timeout time.Duration
	// TokenKey authenticates resume tokens.
	TokenKey []byte
}

// Handler serves the HTTP interface for callers.
type Handler struct {
	config     Config
	dispatcher *dispatch.Dispatcher
	services   *servicecall.Client
	workspaces *workspace.Registry
	store      *generation.Store
	recorder   *burn.Recorder
	bodies     *requestbody.Reader
	clock      clockwork.Clock
	logger     *zap.Logger

	mu       sync.Mutex
	stopping bool
	draining bool
	active   sync.WaitGroup
}

// New returns a handler that passes completion requests to dispatcher and service calls to services.
func New(
	config Config,
	dispatcher *dispatch.Dispatcher,
	services *servicecall.Client,
	workspaces *workspace.Registry,
	store *generation.Store,
	recorder *burn.Recorder,
	bodies *requestbody.Reader,
	clock clockwork.Clock,
	logger *zap.Logger,
) *Handler {
	return &Handler{
		config:     config,
		dispatcher: dispatcher,
		services:   services,
		workspaces: workspaces,
		store:      store,
		recorder:   recorder,
		bodies:     bodies,
		clock:      clock,
		logger:     logger.Named("caller"),
	}
}

// Routes returns the HTTP handler of the interface.
func (hnd *Handler) Routes() http.Handler {
	rtr := chi.NewRouter()
	rtr.Get("/healthz", func(rsw http.ResponseWriter, _ *http.Request) { rsw.WriteHeader(http.StatusNoContent) })
	rtr.Get("/readyz", hnd.readiness)
	rtr.Group(func(api chi.Router) {
		api.Use(hnd.trackRequests, hnd.authenticate)
		api.Post("/v1/chat/completions", hnd.chatCompletions)
		api.Post("/v1/completions", hnd.completions)
		api.Get("/v1/models", hnd.listModels)
		api.Get("/v1/streams/{token}", hnd.resume)
		api.HandleFunc("/services/{service}/*", hnd.callService)
	})
	rtr.NotFound(func(rsw http.ResponseWriter, req *http.Request) {
		writeProblem(rsw, req, refusal.New(refusal.NotRun, http.StatusNotFound, "Not found", "there is nothing at "+req.URL.Path, 0))
	})
	rtr.MethodNotAllowed(func(rsw http.ResponseWriter, req *http.Request) {
		writeProblem(rsw, req, refusal.New(refusal.NotRun, http.StatusMethodNotAllowed, "Method not allowed", req.Method, 0))
	})
	return rtr
}

func (hnd *Handler) readiness(rsw http.ResponseWriter, _ *http.Request) {
	hnd.mu.Lock()
	stp := hnd.stopping
	hnd.mu.Unlock()
	if stp || hnd.store.InForce().Generation == 0 {
		rsw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rsw.WriteHeader(http.StatusNoContent)
}

// FailReadiness makes /readyz fail, so that the load balancer sends no more requests. Requests are still
// served.
func (hnd *Handler) FailReadiness() {
	hnd.mu.Lock()
	defer hnd.mu.Unlock()
	hnd.stopping = true
}

// Drain rejects new requests and waits until the requests in progress have ended or ctx ends.
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

// retryAfter is the time after which a rejected caller is asked to retry. If this daemon is stopping, the load
// balancer has detected that by then and sends the retry to another daemon.
const retryAfter = time.Second

// trackRequests counts the requests in progress, assigns their request IDs, and rejects new requests while
// the daemon drains.
func (hnd *Handler) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rsw http.ResponseWriter, req *http.Request) {
		hnd.mu.Lock()
		if hnd.draining {
			hnd.mu.Unlock()
			rsw.Header().Set("Connection", "close")
			writeProblem(rsw, req, refusal.Unavailable("this entry VM is stopping", retryAfter))
			return
		}
		hnd.active.Add(1)
		stp := hnd.stopping
		hnd.mu.Unlock()
		if stp {
			// The load balancer must not reuse the connection, since it is closed when the daemon exits.
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
		if hnd.store.InForce().Generation == 0 {
			writeProblem(rsw, req, refusal.Unavailable("no document is in force yet", retryAfter))
			return
		}
		key, _ := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
		wsp, ok := hnd.workspaces.Authenticate(key)
		if !ok {
			rsw.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(rsw, req, refusal.New(refusal.NotRun, http.StatusUnauthorized, "Unauthorized", "the bearer key belongs to no workspace", 0))
			return
		}
		ctx := context.WithValue(req.Context(), workspaceKey{}, wsp)
		next.ServeHTTP(rsw, req.WithContext(ctx))
	})
}
