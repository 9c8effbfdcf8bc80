package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/coldgate"
	"github.com/cumintally/cumintally/internal/health"
	"github.com/cumintally/cumintally/internal/roster"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/router"
)

// ErrNone says that no backend server may get the request now.
const ErrNone = errors.ConstError("placement: no backend server available")

const (
	// serviceTime is the expected time of a call of a plain service, which only has to be the same for all.
	serviceTime = 30 * time.Millisecond
	// zoneDistance is the cost of another zone: about the load difference at which the transfer between zones
	// is worth it.
	zoneDistance = 25 * time.Millisecond
	// near is the part of the best score within which another backend server is as good.
	near = 0.05
)

// Config says where the daemon is.
type Config struct {
	AvailabilityZone string
	// ColdExcess and ColdReserve are what the deployment tolerates beyond a cold backend server's rate: a factor
	// and a number of requests per second.
	ColdExcess  float64
	ColdReserve float64
}

// Seams are the views that a choice is made from.
type Seams struct {
	Roster func() *roster.View
	// InService reports whether a zone may get requests.
	InService func(zone string) bool
	// Draining reports whether a group is to be closed and takes no new work.
	Draining func(srv *roster.Server) bool
}

// Want is what a request asks for.
type Want struct {
	Service *route.Service
	// Model is empty for plain services.
	Model        string
	PromptTokens int
	AnswerTokens int
	// Within is the time in which the request must begin.
	Within time.Duration
	// Avoid holds the IDs of backend servers that failed the request.
	Avoid []string
}

// Pick is a chosen backend server; Release must be called when the request has ended there.
type Pick struct {
	Server  *roster.Server
	Release func()
	// Candidates is the number of backend servers that were considered.
	Candidates int
}

// Placement chooses backend servers for one daemon.
type Placement struct {
	cfg Config
	sea Seams
	brd *health.Board
	gte *coldgate.Gate

	mu      sync.Mutex
	own     map[string]int
	routers map[routerKey]*router.Router
}

type routerKey struct {
	service *route.Service
	model   string
}

// New returns a placement without requests in progress.
func New(cfg Config, sea Seams, brd *health.Board, gte *coldgate.Gate) *Placement {
	return &Placement{
		cfg:     cfg,
		sea:     sea,
		brd:     brd,
		gte:     gte,
		own:     map[string]int{},
		routers: map[routerKey]*router.Router{},
	}
}

// Choose picks a backend server and counts the request there. It fails with ErrNone.
func (plm *Placement) Choose(want Want, now time.Time) (Pick, error) {
	srvs := plm.candidates(want, now)
	// A server that failed this request, or that fails others, is better than none unless it is known to be gone.
	sound := slices.DeleteFunc(slices.Clone(srvs), func(srv *roster.Server) bool {
		return slices.Contains(want.Avoid, srv.ID) || !plm.brd.Usable(srv.ID, now)
	})
	if len(sound) == 0 && len(want.Avoid) == 0 {
		sound = srvs
	}
	for len(sound) > 0 {
		idx := plm.best(want, sound)
		srv := sound[idx]
		if srv.Cold(now) && want.Service.ColdRate > 0 && !plm.gte.Pass(srv.ID, plm.coldRate(want.Service), now) {
			sound = slices.Delete(slices.Clone(sound), idx, idx+1)
			continue
		}
		return Pick{
			Server:     srv,
			Release:    plm.begin(srv.ID),
			Candidates: len(srvs),
		}, nil
	}
	return Pick{}, errors.Annotatef(ErrNone, "service %s, model %q: %d registered, %d candidates, %d cold beyond their rate or failing",
		want.Service.Name, want.Model, len(plm.sea.Roster().Service(want.Service.Name)), len(srvs), len(srvs))
}

func (plm *Placement) coldRate(svc *route.Service) float64 {
	return svc.ColdRate*plm.cfg.ColdExcess + plm.cfg.ColdReserve
}

// candidates returns the backend servers that may get the request.
func (plm *Placement) candidates(want Want, now time.Time) []*roster.Server {
	viw := plm.sea.Roster()
	var srvs []*roster.Server
	for _, srv := range viw.Service(want.Service.Name) {
		if srv.Draining || !plm.sea.InService(srv.Zone) {
			continue
		}
		if want.Service.Engine != nil && !plm.serves(viw, want, srv) {
			continue
		}
		if srv.Cold(now) && want.Service.ColdRate > 0 && !plm.gte.Open(srv.ID, plm.coldRate(want.Service), now) {
			continue
		}
		srvs = append(srvs, srv)
	}
	return srvs
}

// serves reports whether an engine is the head of a whole group that serves the model.
func (plm *Placement) serves(viw *roster.View, want Want, srv *roster.Server) bool {
	if srv.Place.State != roster.Open || srv.Place.Rank != 0 || !slices.Contains(srv.Models, want.Model) {
		return false
	}
	for _, mod := range want.Service.Engine.Models {
		if mod.Name == want.Model {
			return viw.Members(srv.Place) >= mod.VMs && !viw.Leaving(srv.Place) && !plm.sea.Draining(srv)
		}
	}
	return false
}

func (plm *Placement) best(want Want, srvs []*roster.Server) int {
	plm.mu.Lock()
	rtr := plm.router(want)
	views := make([]router.View, 0, len(srvs))
	for _, srv := range srvs {
		viw := router.View{
			Group:      srv.ID,
			HasAdapter: true,
			Running:    plm.own[srv.ID],
			Own:        plm.own[srv.ID],
			Limit:      max(1, srv.Slots),
		}
		if srv.Zone != plm.cfg.AvailabilityZone {
			viw.Distance = zoneDistance
		}
		views = append(views, viw)
	}
	plm.mu.Unlock()
	req := router.Request{
		MaxTokens: want.AnswerTokens,
		Within:    want.Within,
	}
	if eng := want.Service.Engine; eng != nil && eng.ReadRate > 0 {
		req.Prefill = time.Duration(float64(want.PromptTokens) / eng.ReadRate * float64(time.Second))
	}
	return rtr.Choose(req, views, time.Time{})
}

// router returns the router of a service and model; the lock is held.
func (plm *Placement) router(want Want) *router.Router {
	key := routerKey{
		service: want.Service,
		model:   want.Model,
	}
	rtr, ok := plm.routers[key]
	if ok {
		return rtr
	}
	// A new configuration has new services, so that the routers of the former one are dropped.
	for old := range plm.routers {
		if old.service.Name == key.service.Name && old.service != key.service {
			delete(plm.routers, old)
		}
	}
	rtr = router.New(routerConfig(want.Service.Engine, want.Model), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	plm.routers[key] = rtr
	return rtr
}

func routerConfig(eng *route.Engine, model string) router.Config {
	cfg := router.Config{
		Policy:     router.PolicyScore,
		Prefill:    serviceTime,
		StepGrowth: serviceTime,
		Tokens:     1,
		Near:       near,
	}
	if eng == nil {
		return cfg
	}
	pace := 1.0
	for _, mod := range eng.Models {
		if mod.Name == model && mod.Pace > 0 {
			pace = mod.Pace
		}
	}
	cfg.Step = time.Duration(float64(eng.Step) * pace)
	cfg.StepGrowth = time.Duration(float64(eng.StepPerRequest) * pace)
	cfg.Tokens = max(1, eng.UsualAnswer)
	return cfg
}

func (plm *Placement) begin(id string) func() {
	plm.mu.Lock()
	plm.own[id]++
	plm.mu.Unlock()
	var once sync.Once
	return func() {
		once.Do(func() {
			plm.mu.Lock()
			defer plm.mu.Unlock()
			plm.own[id]--
			if plm.own[id] <= 0 {
				delete(plm.own, id)
			}
		})
	}
}

// InProgress returns the number of this daemon's requests in progress at a backend server.
func (plm *Placement) InProgress(id string) int {
	plm.mu.Lock()
	defer plm.mu.Unlock()
	return plm.own[id]
}
