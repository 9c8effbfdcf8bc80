package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/standin/fault"
)

// maxWatchDuration is how long a watch waits for changes at most.
const maxWatchDuration = 10 * time.Second

// Platform serves the object API over HTTP.
type Platform struct {
	config      Config
	store       *Store
	faults      *fault.Injector[Faults]
	callCounter *counter
	reads       *rate.Limiter
	writes      *rate.Limiter

	mu sync.Mutex
	// remaining holds the remaining numbers of writes and responses to lose.
	remaining Faults
	// outage is closed when an outage starts, to end pending watches.
	outage chan struct{}
}

// New returns a platform that serves the objects in sto.
func New(cfg Config, sto *Store) *Platform {
	plt := &Platform{
		config:      cfg,
		store:       sto,
		faults:      fault.New(Faults{}),
		callCounter: newCounter(),
		reads:       rate.NewLimiter(rate.Inf, 1),
		writes:      rate.NewLimiter(rate.Inf, 1),
		outage:      make(chan struct{}),
	}
	plt.setFaults(Faults{})
	plt.faults.OnSet(plt.setFaults)
	return plt
}

// Handler returns the handler of the object API, and of /faults, /calls, /addresses and /vms/{name} for tests. Calls to
// these four are not counted, and faults do not affect them.
func (plt *Platform) Handler() http.Handler {
	rtr := chi.NewRouter()
	rtr.Handle("/faults", plt.faults)
	rtr.Get("/calls", func(rsw http.ResponseWriter, _ *http.Request) { respondJSON(rsw, plt.callCounter.snapshot()) })
	rtr.Get("/addresses", func(rsw http.ResponseWriter, _ *http.Request) { respondJSON(rsw, plt.store.addresses()) })
	rtr.Put("/vms/{name}", plt.putVM)
	rtr.Delete("/vms/{name}", plt.deleteVM)
	rtr.Group(func(api chi.Router) {
		api.Use(plt.admit)
		api.Get("/vms", plt.listVMs)
		api.Get("/objects/{kind}", plt.list)
		api.Get("/objects/{kind}/{name}", plt.get)
		api.Put("/objects/{kind}/{name}", plt.put)
		api.Delete("/objects/{kind}/{name}", plt.remove)
	})
	return rtr
}

func (plt *Platform) putVM(rsw http.ResponseWriter, req *http.Request) {
	var vmc objects.VM
	if err := json.NewDecoder(req.Body).Decode(&vmc); err != nil {
		http.Error(rsw, err.Error(), http.StatusBadRequest)
		return
	}
	vmc.Name = param(req, "name")
	plt.store.SetVM(vmc)
}

func (plt *Platform) deleteVM(_ http.ResponseWriter, req *http.Request) {
	plt.store.RemoveVM(param(req, "name"))
}

func (plt *Platform) listVMs(rsw http.ResponseWriter, _ *http.Request) {
	lag := plt.config.VMLag
	if flt := plt.faults.Get(); flt.VMLag > 0 {
		lag = flt.VMLag
	}
	respondJSON(rsw, plt.store.listVMsAt(time.Now().Add(-lag)))
}

type listResponse struct {
	Revision uint64
	Objects  []listedObject
}

type listedObject struct {
	Name    string
	Version uint64
	Deleted bool
	Value   json.RawMessage
}

func (plt *Platform) list(rsw http.ResponseWriter, req *http.Request) {
	var objs []objects.Object
	var rev uint64
	if req.URL.Query().Get("watch") == "" {
		objs, rev, _ = plt.store.list(req.Context(), param(req, "kind"))
	} else {
		since, err := strconv.ParseUint(req.URL.Query().Get("since"), 10, 64)
		if err != nil {
			http.Error(rsw, "since is not a revision", http.StatusBadRequest)
			return
		}
		var ok bool
		if objs, rev, ok = plt.watch(req, param(req, "kind"), since); !ok {
			panic(http.ErrAbortHandler)
		}
	}
	rsp := listResponse{
		Revision: rev,
		Objects:  []listedObject{},
	}
	for _, obj := range objs {
		rsp.Objects = append(rsp.Objects, listedObject{
			Name:    obj.Name,
			Version: obj.Version,
			Deleted: obj.Deleted,
			Value:   obj.Value,
		})
	}
	respondJSON(rsw, rsp)
}

// watch waits for changes after a revision. It returns false if an outage starts while it waits.
func (plt *Platform) watch(req *http.Request, kind string, since uint64) ([]objects.Object, uint64, bool) {
	ctx, cancel := context.WithTimeout(req.Context(), maxWatchDuration)
	defer cancel()
	plt.mu.Lock()
	outage := plt.outage
	plt.mu.Unlock()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-outage:
			cancel()
		case <-ended:
		}
	}()
	objs, rev, _ := plt.store.watch(ctx, kind, since)
	select {
	case <-outage:
		return nil, 0, false
	default:
		return objs, rev, true
	}
}

func (plt *Platform) get(rsw http.ResponseWriter, req *http.Request) {
	obj, err := plt.store.get(req.Context(), param(req, "kind"), param(req, "name"))
	if err != nil {
		respondError(rsw, err)
		return
	}
	rsw.Header().Set("ETag", formatETag(obj.Version))
	rsw.Header().Set("Content-Type", "application/json")
	_, _ = rsw.Write(obj.Value)
}

func (plt *Platform) put(rsw http.ResponseWriter, req *http.Request) {
	val, err := io.ReadAll(io.LimitReader(req.Body, objects.MaxValueSize+1))
	if err != nil || (len(val) <= objects.MaxValueSize && !json.Valid(val)) {
		http.Error(rsw, "the value is not JSON", http.StatusBadRequest)
		return
	}
	exp, ok := expectedVersion(req)
	if !ok {
		http.Error(rsw, "a condition is required", http.StatusPreconditionRequired)
		return
	}
	plt.loseWrite()
	ver, err := plt.store.put(req.Context(), param(req, "kind"), param(req, "name"), exp, val)
	if err != nil {
		respondError(rsw, err)
		return
	}
	plt.loseResponse(req)
	rsw.Header().Set("ETag", formatETag(ver))
}

func (plt *Platform) remove(rsw http.ResponseWriter, req *http.Request) {
	exp, ok := expectedVersion(req)
	if !ok {
		http.Error(rsw, "a condition is required", http.StatusPreconditionRequired)
		return
	}
	plt.loseWrite()
	if err := plt.store.remove(req.Context(), param(req, "kind"), param(req, "name"), exp); err != nil {
		respondError(rsw, err)
		return
	}
	plt.loseResponse(req)
}

// expectedVersion returns the version that a write expects, 0 for no object, and whether the request has a valid condition.
func expectedVersion(req *http.Request) (uint64, bool) {
	if req.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	ver, err := strconv.ParseUint(strings.Trim(req.Header.Get("If-Match"), `"`), 10, 64)
	return ver, err == nil && ver > 0
}

func respondError(rsw http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, objects.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, objects.ErrConflict):
		status = http.StatusPreconditionFailed
	case errors.Is(err, objects.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(rsw, err.Error(), status)
}

func respondJSON(rsw http.ResponseWriter, val any) {
	rsw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rsw).Encode(val)
}

func formatETag(ver uint64) string {
	return `"` + strconv.FormatUint(ver, 10) + `"`
}
