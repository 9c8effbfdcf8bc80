package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/burn"
	"github.com/cumintally/cumintally/internal/exposition"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/rollout"
	"github.com/cumintally/cumintally/internal/vmreport"
)

// maxOrderBodySize is the largest body in bytes of a promotion or a zone order.
const maxOrderBodySize = 1 << 16

// Config holds the settings of a handler.
type Config struct {
	// Key is the bearer key of operators.
	Key string
	// AvailabilityZone is the zone of this daemon.
	AvailabilityZone string
}

// Dependencies are the functions of other components that the handler calls.
type Dependencies struct {
	// Daemons returns the live daemons of the zone.
	Daemons func() []peer.Identity
	// OrderZone takes a zone out of service or back into service.
	OrderZone func(ctx context.Context, name string, out bool) (inventory.Zone, error)
	// Rollout returns, for each zone, at which daemons a generation is in force.
	Rollout func(ctx context.Context, gen uint64) []rollout.Zone
	// ListVMs reads the list of VMs from the platform.
	ListVMs func(ctx context.Context) ([]objects.VM, error)
	// BurnReport collects the counts of all daemons for the burn report.
	BurnReport func(ctx context.Context) burn.Report
}

// Handler serves the HTTP interface for operators.
type Handler struct {
	config       Config
	dependencies Dependencies
	store        *generation.Store
	inventory    *inventory.Inventory
	reports      *vmreport.Table
	metrics      metrics.Registry
	logger       *zap.Logger
}

// New returns a handler for operators.
func New(
	config Config,
	dependencies Dependencies,
	store *generation.Store,
	objectInventory *inventory.Inventory,
	reports *vmreport.Table,
	registry metrics.Registry,
	logger *zap.Logger,
) *Handler {
	return &Handler{
		config:       config,
		dependencies: dependencies,
		store:        store,
		inventory:    objectInventory,
		reports:      reports,
		metrics:      registry,
		logger:       logger.Named("operator"),
	}
}

// Routes returns the HTTP handler of the interface.
func (hnd *Handler) Routes() http.Handler {
	rtr := chi.NewRouter()
	rtr.Use(hnd.authenticate)
	rtr.Method(http.MethodGet, "/metrics", exposition.New(hnd.metrics))
	rtr.Get("/status", hnd.status)
	rtr.Get("/report/burn", hnd.burnReport)
	rtr.Get("/config/status", hnd.configStatus)
	rtr.Get("/config/parts", hnd.configParts)
	rtr.Post("/config/try", hnd.tryDocument)
	rtr.Post("/config/promote", hnd.promoteDocument)
	rtr.Get("/zones/{name}", hnd.showZone)
	rtr.Post("/zones/{name}", hnd.setZone)
	return rtr
}

func (hnd *Handler) authenticate(next http.Handler) http.Handler {
	want := []byte("Bearer " + hnd.config.Key)
	return http.HandlerFunc(func(rsw http.ResponseWriter, req *http.Request) {
		if subtle.ConstantTimeCompare([]byte(req.Header.Get("Authorization")), want) != 1 {
			rsw.Header().Set("WWW-Authenticate", "Bearer")
			writeError(rsw, http.StatusUnauthorized, "the operators' key is wrong")
			return
		}
		next.ServeHTTP(rsw, req)
	})
}

// ZoneOrder is the request body of an order that takes a zone out of service or back into service.
type ZoneOrder struct {
	Out bool
}

func (hnd *Handler) setZone(rsw http.ResponseWriter, req *http.Request) {
	var ord ZoneOrder
	if err := json.NewDecoder(http.MaxBytesReader(rsw, req.Body, maxOrderBodySize)).Decode(&ord); err != nil {
		writeError(rsw, http.StatusBadRequest, err.Error())
		return
	}
	zon, err := hnd.dependencies.OrderZone(req.Context(), chi.URLParam(req, "name"), ord.Out)
	hnd.respond(rsw, zon, err)
}

func (hnd *Handler) showZone(rsw http.ResponseWriter, req *http.Request) {
	hnd.respond(rsw, hnd.inventory.Zone(chi.URLParam(req, "name")), nil)
}

func (hnd *Handler) burnReport(rsw http.ResponseWriter, req *http.Request) {
	hnd.respond(rsw, hnd.dependencies.BurnReport(req.Context()), nil)
}

func (hnd *Handler) respond(rsw http.ResponseWriter, val any, err error) {
	if err != nil {
		writeError(rsw, errorStatus(err), err.Error())
		return
	}
	rsw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rsw).Encode(val)
}

func errorStatus(err error) int {
	switch {
	case errors.Is(err, generation.ErrConflict), errors.Is(err, objects.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, generation.ErrTrialNotPassed):
		return http.StatusUnprocessableEntity
	case errors.Is(err, objects.ErrUnknownOutcome):
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string
}

func writeError(rsw http.ResponseWriter, status int, text string) {
	rsw.Header().Set("Content-Type", "application/json")
	rsw.WriteHeader(status)
	_ = json.NewEncoder(rsw).Encode(ErrorResponse{
		Error: text,
	})
}
