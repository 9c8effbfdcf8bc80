package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/coldgate"
	"github.com/cumintally/cumintally/internal/health"
	"github.com/cumintally/cumintally/internal/loadview"
	"github.com/cumintally/cumintally/internal/roster"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/router"
)

const (
	// ErrNone says that no backend server may get the request now.
	ErrNone = errors.ConstError("placement: no backend server available")
	// ErrBusy says that every backend server is so busy that the answer would come too late.
	ErrBusy = errors.ConstError("placement: backend servers are busy")
)

const (
	// serviceTime is the expected time of a call of a plain service, which only has to be the same for all.
	serviceTime = 30 * time.Millisecond
	// zoneDistance is the cost of another zone: about the load difference at which the transfer between zones
	// is worth it.
	zoneDistance = 25 * time.Millisecond
	// silence is the time without a byte after which an engine with requests in progress gets no more: several times
	// the pause between two events of a full batch.
	silence = 400 * time.Millisecond
	// near is the part of the best score within which another backend server is as good, so that idle ones in other zones
	// get some of the work.
	near = 0.05
	// longQuiet stands for an engine that has sent nothing for long, or never.
	longQuiet = time.Minute
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
	// Others returns what the other daemons have in progress at a backend server.
	Others func(server string, now time.Time) loadview.Load
	// Silent is told of an engine that is left out for a while, with what all daemons have in progress there.
	Silent func(all loadview.Load)
	// OthersAge returns how old that is on average.
	OthersAge func(now time.Time) time.Duration
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
	// Useful returns the forecast up to which the request is worth sending, given that of idle engines; nil if any is.
	Useful func(alone time.Duration) time.Duration
	// Avoid holds the IDs of backend servers that failed the request.
	Avoid []string
}

// Pick is a chosen backend server. Began must be called when its answer begins, and Release when the request has
// ended there.
type Pick struct {
	Server  *roster.Server
	Began   func()
	Release func()
	// Forecast is when the first token is expected, 0 for plain services.
	Forecast time.Duration
	// Candidates is the number of backend servers that were considered.
	Candidates int
	// Back is the time until the first of those that want no requests for a while takes them again, 0 if there is none.
	Back time.Duration
}

// Placement chooses backend servers for one daemon.
type Placement struct {
	cfg Config
	sea Seams
	brd *health.Board
	gte *coldgate.Gate
	clk clockwork.Clock

	mu      sync.Mutex
	own     map[string]*work
	routers map[routerKey]*router.Router
	// stays holds how long this daemon's requests stay at a backend server.
	stays map[stayKey]*stay
}

// work is what this daemon has in progress at a backend server, without a pause since a time.
type work struct {
	requests int
	unread   int
	since    time.Time
}

type routerKey struct {
	service *route.Service
	model   string
}

// New returns a placement without requests in progress.
func New(cfg Config, sea Seams, brd *health.Board, gte *coldgate.Gate, clk clockwork.Clock) *Placement {
	return &Placement{
		cfg:     cfg,
		sea:     sea,
		brd:     brd,
		gte:     gte,
		clk:     clk,
		own:     map[string]*work{},
		routers: map[routerKey]*router.Router{},
		stays:   map[stayKey]*stay{},
	}
}

// Choose picks a backend server and counts the request there. It fails with ErrNone, or with ErrBusy and the
// forecast of the best one.
func (plm *Placement) Choose(want Want, now time.Time) (Pick, error) {
	srvs, back := plm.candidates(want, now)
	works := plm.look(srvs, now)
	// A server that failed this request, or that fails others, is better than none unless it is known to be gone.
	sound := slices.DeleteFunc(slices.Clone(srvs), func(srv *roster.Server) bool {
		return slices.Contains(want.Avoid, srv.ID) || !plm.brd.Usable(srv.ID, now) || (want.Service.Engine != nil && plm.silent(srv.ID, works[srv.ID], now))
	})
	if len(sound) == 0 && len(want.Avoid) == 0 {
		sound = srvs
	}
	for len(sound) > 0 {
		idx, forecast := plm.best(want, sound, works, now)
		srv := sound[idx]
		if plm.tooLate(&want, forecast) {
			pck := Pick{
				Forecast:   forecast,
				Candidates: len(srvs),
			}
			return pck, errors.Annotatef(ErrBusy, "service %s, model %q: first token expected after %v at the best of %d",
				want.Service.Name, want.Model, forecast.Round(time.Millisecond), len(sound))
		}
		if srv.Cold(now) && want.Service.ColdRate > 0 && !plm.gte.Pass(srv.ID, plm.coldRate(want.Service), now) {
			sound = slices.Delete(slices.Clone(sound), idx, idx+1)
			continue
		}
		began, release := plm.begin(want, srv.ID, now)
		return Pick{
			Server:     srv,
			Began:      began,
			Release:    release,
			Forecast:   forecast,
			Candidates: len(srvs),
		}, nil
	}
	pck := Pick{
		Candidates: len(srvs),
		Back:       back,
	}
	return pck, errors.Annotatef(ErrNone, "service %s, model %q: %d registered, %d candidates, %d cold beyond their rate or failing, next one back in %v",
		want.Service.Name, want.Model, len(plm.sea.Roster().Service(want.Service.Name)), len(srvs), len(srvs), back.Round(time.Millisecond))
}

// tooLate reports whether a request is not worth sending at a forecast.
func (plm *Placement) tooLate(want *Want, forecast time.Duration) bool {
	mod := model(*want)
	if want.Useful == nil || mod == nil {
		return false
	}
	return forecast > want.Useful(admission.Forecast(want.Service.Engine, mod, admission.Work{}, want.PromptTokens))
}

// silent reports whether an engine has sent nothing to any daemon for a while although an answer is due, and leaves it out
// then: a group that lost a member takes requests on and answers none. What one daemon finds out spares the others a
// request each.
func (plm *Placement) silent(id string, knn known, now time.Time) bool {
	all := knn.others.Add(knn.own)
	if all.Waiting <= silence || all.Quiet <= silence || now.Sub(plm.brd.LastProgress(id)) <= silence {
		return false
	}
	// The requests that showed it end; the group is still the same.
	plm.brd.Exclude(id, now)
	plm.sea.Silent(all)
	return true
}

// load returns what this daemon has in progress at a backend server; the lock is held.
func (plm *Placement) load(id string, own *work, now time.Time) loadview.Load {
	last := plm.brd.LastProgress(id)
	since := own.since
	if last.After(since) {
		since = last
	}
	return loadview.Load{
		Server:   id,
		Requests: own.requests,
		Unread:   own.unread,
		Quiet:    min(now.Sub(last), longQuiet),
		Waiting:  now.Sub(since),
	}
}

func (plm *Placement) coldRate(svc *route.Service) float64 {
	return svc.ColdRate*plm.cfg.ColdExcess + plm.cfg.ColdReserve
}

// candidates returns the backend servers that may get the request, and the time until the first of those that want
// none for a while takes them again.
func (plm *Placement) candidates(want Want, now time.Time) ([]*roster.Server, time.Duration) {
	viw := plm.sea.Roster()
	var srvs []*roster.Server
	var back time.Duration
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
		if until := plm.brd.PausedUntil(srv.ID, srv.Born, now); !until.IsZero() {
			if left := until.Sub(now); back == 0 || left < back {
				back = left
			}
			continue
		}
		srvs = append(srvs, srv)
	}
	return srvs, back
}

// serves reports whether an engine is the head of a whole group that serves the model.
func (plm *Placement) serves(viw *roster.View, want Want, srv *roster.Server) bool {
	if srv.Place.State != roster.Open || srv.Place.Rank != 0 || !slices.Contains(srv.Models, want.Model) {
		return false
	}
	mod := model(want)
	return mod != nil && viw.Members(srv.Place) >= mod.VMs && !viw.Leaving(srv.Place)
}

// best returns the index of the backend server with the best score, and the forecast of its first token.
func (plm *Placement) best(want Want, srvs []*roster.Server, all map[string]known, now time.Time) (int, time.Duration) {
	mod := model(want)
	views := make([]router.View, 0, len(srvs))
	works := make([]admission.Work, 0, len(srvs))
	others := 0
	plm.mu.Lock()
	rtr := plm.router(want)
	for _, srv := range srvs {
		wrk := all[srv.ID].work()
		others += all[srv.ID].others.Requests
		viw := router.View{
			Group:      srv.ID,
			HasAdapter: true,
			Running:    wrk.Requests,
			Own:        wrk.Requests,
			Limit:      max(1, srv.Slots),
		}
		if srv.Zone != plm.cfg.AvailabilityZone {
			viw.Distance = zoneDistance
		}
		if mod != nil {
			viw.Limit = max(1, want.Service.Engine.Slots)
			// The prompts ahead are read before this one.
			viw.Distance += admission.Forecast(want.Service.Engine, mod, unreadOnly(wrk), 0)
		}
		views = append(views, viw)
		works = append(works, wrk)
	}
	unseen := plm.unseen(&want, others, now)
	plm.mu.Unlock()
	req := router.Request{
		MaxTokens: want.AnswerTokens,
		Within:    want.Within,
		Unseen:    unseen,
	}
	if eng := want.Service.Engine; eng != nil && eng.ReadRate > 0 {
		req.Prefill = time.Duration(float64(want.PromptTokens) / eng.ReadRate * float64(time.Second))
	}
	idx := rtr.Choose(req, views, now)
	if mod == nil {
		return idx, 0
	}
	return idx, admission.Forecast(want.Service.Engine, mod, works[idx], want.PromptTokens)
}

func unreadOnly(wrk admission.Work) admission.Work {
	wrk.Requests = 0
	return wrk
}

// model returns the model that a request asks for, nil for plain services and unknown models.
func model(want Want) *route.Model {
	if want.Service.Engine == nil {
		return nil
	}
	for idx := range want.Service.Engine.Models {
		if want.Service.Engine.Models[idx].Name == want.Model {
			return &want.Service.Engine.Models[idx]
		}
	}
	return nil
}

// known is the work at a backend server as this daemon knows it when it chooses.
type known struct {
	others loadview.Load
	own    loadview.Load
}

func (knn known) work() admission.Work {
	return admission.Work{
		Requests: knn.others.Requests + knn.own.Requests,
		Unread:   knn.others.Unread + knn.own.Unread,
	}
}

// look returns the work at backend servers.
func (plm *Placement) look(srvs []*roster.Server, now time.Time) map[string]known {
	all := make(map[string]known, len(srvs))
	plm.mu.Lock()
	defer plm.mu.Unlock()
	for _, srv := range srvs {
		knn := known{
			others: plm.sea.Others(srv.ID, now),
		}
		if own, ok := plm.own[srv.ID]; ok {
			knn.own = plm.load(srv.ID, own, now)
		}
		all[srv.ID] = knn
	}
	return all
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
		Growth:     serviceTime,
		Near:       near,
		Tokens:     1,
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
	cfg.Growth = time.Duration(cfg.Tokens) * cfg.StepGrowth
	if eng.ReadRate > 0 {
		cfg.Growth += time.Duration(pace * float64(eng.UsualPrompt) / eng.ReadRate * float64(time.Second))
	}
	return cfg
}

// begin counts a request at a backend server until release; its prompt counts as unread until began.
func (plm *Placement) begin(want Want, id string, now time.Time) (began, release func()) {
	plm.mu.Lock()
	defer plm.mu.Unlock()
	own, ok := plm.own[id]
	if !ok {
		own = &work{
			since: now,
		}
		plm.own[id] = own
	}
	own.requests++
	own.unread += want.PromptTokens
	left := want.PromptTokens
	read := func() {
		own.unread -= left
		left = 0
	}
	answered := want.Service.Engine == nil
	began = func() {
		plm.mu.Lock()
		defer plm.mu.Unlock()
		answered = true
		read()
	}
	release = func() {
		plm.mu.Lock()
		defer plm.mu.Unlock()
		if answered {
			plm.stayed(&want, plm.clk.Since(now))
		}
		read()
		own.requests--
		if own.requests == 0 && plm.own[id] == own {
			delete(plm.own, id)
		}
	}
	return began, release
}

// Loads returns what this daemon has in progress at each backend server.
func (plm *Placement) Loads() []loadview.Load {
	now := plm.clk.Now()
	plm.mu.Lock()
	defer plm.mu.Unlock()
	loads := make([]loadview.Load, 0, len(plm.own))
	for id, own := range plm.own {
		loads = append(loads, plm.load(id, own, now))
	}
	return loads
}
