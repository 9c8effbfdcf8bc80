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

	"github.com/cumintally/cumintally/internal/evidence"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/platform"
	"github.com/cumintally/cumintally/internal/rollout"
	"github.com/cumintally/cumintally/internal/zone"
)

// maxOrderSize is the largest body in bytes of an operator's order.
const maxOrderSize = 1 << 16

// Handler serves operators.
type Handler struct {
	key  string
	zone string
	sto  *generation.Store
	inv  *inventory.Inventory
	tab  *evidence.Table
	mbs  *zone.Membership
	rol  *rollout.Rollout
	met  metrics.Registry
	log  *zap.Logger
	// orderZone takes a zone in or out of service.
	orderZone func(ctx context.Context, name string, out bool) (inventory.Zone, error)
}

// New returns a handler for operators who know key.
func New(
	key string,
	zone string,
	sto *generation.Store,
	inv *inventory.Inventory,
	tab *evidence.Table,
	mbs *zone.Membership,
	rol *rollout.Rollout,
	met metrics.Registry,
	orderZone func(ctx context.Context, name string, out bool) (inventory.Zone, error),
	log *zap.Logger,
) *Handler {
	return &Handler{
		key:       key,
		zone:      zone,
		sto:       sto,
		inv:       inv,
		tab:       tab,
		mbs:       mbs,
		rol:       rol,
		met:       met,
		log:       log.Named("operator"),
		orderZone: orderZone,
	}
}

// Routes returns the interface's HTTP handler.
func (hnd *Handler) Routes() http.Handler {
	rtr := chi.NewRouter()
	rtr.Use(hnd.authenticate)
	rtr.Get("/metrics", hnd.metrics)
	rtr.Get("/status", hnd.status)
	rtr.Get("/config/status", hnd.configStatus)
	rtr.Get("/config/parts", hnd.configParts)
	rtr.Post("/config/try", hnd.try)
	rtr.Post("/config/promote", hnd.promote)
	rtr.Get("/zones/{name}", hnd.showZone)
	rtr.Post("/zones/{name}", hnd.setZone)
	return rtr
}

func (hnd *Handler) authenticate(next http.Handler) http.Handler {
	want := []byte("Bearer " + hnd.key)
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
	zon, err := hnd.orderZone(req.Context(), chi.URLParam(req, "name"), ord.Out)
	hnd.answer(rsw, zon, err)
}

func (hnd *Handler) showZone(rsw http.ResponseWriter, req *http.Request) {
	hnd.answer(rsw, hnd.inv.Zone(chi.URLParam(req, "name")), nil)
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
	case errors.Is(err, generation.ErrConflict), errors.Is(err, platform.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, generation.ErrNotTried):
		return http.StatusUnprocessableEntity
	case errors.Is(err, platform.ErrUnknownOutcome):
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
