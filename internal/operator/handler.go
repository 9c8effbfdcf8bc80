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
	"github.com/cumintally/cumintally/internal/evidence"
	"github.com/cumintally/cumintally/internal/exposition"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/rollout"
)

// maxOrderSize is the largest body in bytes of an operator's order.
const maxOrderSize = 1 << 16

// Config is what a handler is told once.
type Config struct {
	// Key is the operators' bearer key.
	Key              string
	AvailabilityZone string
}

// Seams are the calls that the handler makes on other parts.
type Seams struct {
	// Daemons returns the daemons of the zone that are alive.
	Daemons func() []peer.Identity
	// OrderZone takes a zone in or out of service.
	OrderZone func(ctx context.Context, name string, out bool) (inventory.Zone, error)
	// Rollout tells where a generation is in force.
	Rollout func(ctx context.Context, gen uint64) []rollout.Zone
	// VMs reads the platform's list of VMs anew.
	VMs func(ctx context.Context) ([]objects.VM, error)
	// Burn gathers the burn report.
	Burn func(ctx context.Context) burn.Report
}

// Handler serves operators.
type Handler struct {
	cfg Config
	sea Seams
	sto *generation.Store
	inv *inventory.Inventory
	tab *evidence.Table
	met metrics.Registry
	log *zap.Logger
}

// New returns a handler for operators.
func New(
	cfg Config,
	sea Seams,
	sto *generation.Store,
	inv *inventory.Inventory,
	tab *evidence.Table,
	met metrics.Registry,
	log *zap.Logger,
) *Handler {
	return &Handler{
		cfg: cfg,
		sea: sea,
		sto: sto,
		inv: inv,
		tab: tab,
		met: met,
		log: log.Named("operator"),
	}
}

// Routes returns the interface's HTTP handler.
func (hnd *Handler) Routes() http.Handler {
	rtr := chi.NewRouter()
	rtr.Use(hnd.authenticate)
	rtr.Method(http.MethodGet, "/metrics", exposition.New(hnd.met))
	rtr.Get("/status", hnd.status)
	rtr.Get("/report/burn", hnd.burnReport)
	rtr.Get("/config/status", hnd.configStatus)
	rtr.Get("/config/parts", hnd.configParts)
	rtr.Post("/config/try", hnd.try)
	rtr.Post("/config/promote", hnd.promote)
	rtr.Get("/zones/{name}", hnd.showZone)
	rtr.Post("/zones/{name}", hnd.setZone)
	return rtr
}

func (hnd *Handler) authenticate(next http.Handler) http.Handler {
	want := []byte("Bearer " + hnd.cfg.Key)
	return http.HandlerFunc(func(rsw http.ResponseWriter, req *http.Request) {
		if subtle.ConstantTimeCompare([]byte(req.Header.Get("Authorization")), want) != 1 {
			rsw.Header().Set("WWW-Authenticate", "Bearer")
			writeError(rsw, http.StatusUnauthorized, "the operators' key is wrong")
			return
		}
		next.ServeHTTP(rsw, req)
	})
}

// ZoneOrder is the body of an order to a zone.
type ZoneOrder struct {
	Out bool
}

func (hnd *Handler) setZone(rsw http.ResponseWriter, req *http.Request) {
	var ord ZoneOrder
	if err := json.NewDecoder(http.MaxBytesReader(rsw, req.Body, maxOrderSize)).Decode(&ord); err != nil {
		writeError(rsw, http.StatusBadRequest, err.Error())
		return
	}
	zon, err := hnd.sea.OrderZone(req.Context(), chi.URLParam(req, "name"), ord.Out)
	hnd.answer(rsw, zon, err)
}

func (hnd *Handler) showZone(rsw http.ResponseWriter, req *http.Request) {
	hnd.answer(rsw, hnd.inv.Zone(chi.URLParam(req, "name")), nil)
}

func (hnd *Handler) burnReport(rsw http.ResponseWriter, req *http.Request) {
	hnd.answer(rsw, hnd.sea.Burn(req.Context()), nil)
}

func (hnd *Handler) answer(rsw http.ResponseWriter, val any, err error) {
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
	case errors.Is(err, generation.ErrNotTried):
		return http.StatusUnprocessableEntity
	case errors.Is(err, objects.ErrUnknownOutcome):
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// ErrorAnswer is the body of an error.
type ErrorAnswer struct {
	Error string
}

func writeError(rsw http.ResponseWriter, status int, text string) {
	rsw.Header().Set("Content-Type", "application/json")
	rsw.WriteHeader(status)
	_ = json.NewEncoder(rsw).Encode(ErrorAnswer{
		Error: text,
	})
}
