package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/coldlimit"
	"github.com/cumintally/cumintally/internal/firsttoken"
	"github.com/cumintally/cumintally/internal/loadview"
	"github.com/cumintally/cumintally/internal/outlier"
	"github.com/cumintally/cumintally/internal/promptcache"
	"github.com/cumintally/cumintally/internal/reservation"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/router"
	"github.com/cumintally/cumintally/internal/serverlimit"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/suspicion"
)

const (
	// ErrNoServer reports that no backend server can take the request now.
	ErrNoServer = errors.ConstError("placement: no backend server available")
	// ErrBusy reports that the backend servers are so busy that the response would come too late.
	ErrBusy = errors.ConstError("placement: backend servers are busy")
	// ErrReserved reports that the capacity of the backend servers is kept for more urgent requests.
	ErrReserved = errors.ConstError("placement: capacity is kept for more urgent requests")
)

const (
	// plainServiceTime is the expected time of a call to a plain service. Its size does not matter, since scores are
	// only compared with each other.
	plainServiceTime = 30 * time.Millisecond
	// plainRequestCost is the time by which one request raises the score of a plain backend server where calls wait for
	// slots or are spread because the view lacks some. It is below crossZoneCost, so that calls stay in their availability
	// zone until several wait there: a call in flight to another zone when that zone is cut off may be lost for good.
	plainRequestCost = 5 * time.Millisecond
	// crossZoneCost is added to the score of a backend server in another availability zone: about the load difference
	// at which the transfer between zones pays off.
	crossZoneCost = 25 * time.Millisecond
	// stallTimeout is the time without a byte after which a backend server with requests in flight receives no more
	// requests: several times the pause between two events of a full batch.
	stallTimeout = 400 * time.Millisecond
	// plainStallFactor replaces stallTimeout for a plain backend server whose calls take long: it counts as stalled after
	// this multiple of their mean time.
	plainStallFactor = 4
	// scoreTolerance is the share of the best score by which another backend server may be worse and still be drawn, so
	// that idle ones in other zones receive some of the requests. Requests that the view lacks widen the bound.
	scoreTolerance = 0.05
	// maxSinceLastByte is the longest reported time since the last byte; it is also reported for an engine that never
	// sent one.
	maxSinceLastByte = time.Minute
)

// Config holds the location of the daemon and the bounds on cold backend servers.
type Config struct {
	AvailabilityZone string
	// ColdExcess multiplies the request rate of a cold backend server, and ColdReserve adds to it, in requests per
	// second: together the rate that the deployment tolerates there.
	ColdExcess  float64
	ColdReserve float64
}

// Dependencies holds the functions that supply the state a choice depends on, and one that reports stalled servers.
type Dependencies struct {
	Registrations func() *serverregistry.View
	// InService reports whether an availability zone may receive requests.
	InService func(zone string) bool
	// OthersLoad returns the load that the other daemons have in flight at a backend server.
	OthersLoad func(server string, now time.Time) loadview.Load
	// LastByte returns when a backend server last sent a byte of a response to any daemon.
	LastByte func(server string, now time.Time) time.Time
	// ReportUnregistered is called when a group is chosen some of whose members are not registered.
	ReportUnregistered func()
	// ReportStalled is called when a stalled backend server is ejected, with the load that all daemons have in flight there.
	ReportStalled func(all loadview.Load)
	// Assess returns how each backend server is used in view of the failures that daemons report, nil if all are trusted.
	// BeginTrial records that one is sent a request to find out whether its failure has ended; it returns false if another
	// daemon has just done so. ReportFailure reports a server that this daemon found stalled.
	Assess        func(srvs []*serverregistry.Server, repeatable bool, now time.Time) []suspicion.Verdict
	BeginTrial    func(srv *serverregistry.Server, now time.Time) bool
	ReportFailure func(srv *serverregistry.Server, kind suspicion.Kind, now time.Time)
	// OthersStaleness returns the mean staleness of the load of the other daemons.
	OthersStaleness func(now time.Time) time.Duration
	// LimitShare returns the share of this daemon in the requests that all daemons send for a model of a service.
	LimitShare func(service, model string, now time.Time) float64
	// FirstTokenError returns by how much first tokens come later than modelled at groups of which the share load of the
	// slots is taken, and RecordFirstToken records a response that began.
	FirstTokenError  func(key firsttoken.Key, load float64, now time.Time) firsttoken.Error
	RecordFirstToken func(observation firsttoken.Observation, now time.Time)
	// Reserve decides whether a request of a class may take capacity of a model.
	Reserve func(key reservation.Key, class reservation.Class, onTime reservation.OnTime, now time.Time) reservation.Verdict
	// Seed returns the seed of the random draws of a router.
	Seed func() uint64
	// Prompts estimates which backend servers have cached which prefixes of prompts, nil if they retain none. ReportSaved is
	// called with the estimated number of tokens that the chosen backend server need not read.
	Prompts     *promptcache.Estimator
	ReportSaved func(tokens int)
}

// Request describes the request to be placed.
type Request struct {
	Service *route.Service
	// Model is empty for plain services.
	Model          string
	PromptTokens   int
	ExpectedTokens int
	// SharedParts holds the IDs of the leading parts of the prompt that other requests may share, and SharedTokens the number
	// of tokens of each, 0 if it is not known.
	SharedParts  []string
	SharedTokens []int
	// StartWithin is the time within which the request must start.
	StartWithin time.Duration
	// MaxUsefulForecast returns the longest forecast of the first token at which the request is still worth sending, given
	// idleForecast, the forecast for an idle engine. If it is nil, the request is sent at any forecast.
	MaxUsefulForecast func(idleForecast time.Duration) time.Duration
	// Priority is 0 for the most urgent requests. Objective is the time within which the response must begin.
	Priority  int
	Objective time.Duration
	// FirstSend is set if the request was not sent before, so that its response tells how good the forecast was.
	FirstSend bool
	// Avoid holds the IDs of backend servers that failed the request.
	Avoid []string
	// Repeatable says that the request may run more than once.
	Repeatable bool
}

// Pick is a chosen backend server. The caller must call ResponseBegan when the response begins, and Release when the
// request has ended there.
type Pick struct {
	Server        *serverregistry.Server
	ResponseBegan func()
	Release       func()
	// SetReading tells that the caller reads a response that has begun, or that it does not while it waits for a slow
	// receiver. It may be nil.
	SetReading func(reading bool)
	// Forecast is the expected time to the first token, 0 for plain services. It includes Correction, the error that
	// earlier forecasts had.
	Forecast   time.Duration
	Correction firsttoken.Error
	// PrefillSaved is the part of the prefill that the backend server probably saves, since it has cached a prefix of the
	// prompt. Forecast leaves it out.
	PrefillSaved time.Duration
	// Exempt is set if the request was sent because its class would starve, though more urgent requests need the capacity.
	Exempt bool
	// UsualTime is the mean time that requests of the same service and model are in flight, 0 if it is not known.
	UsualTime time.Duration
	// Candidates is the number of backend servers that were considered.
	Candidates int
	// ResumesIn is the time until the first backend server that is paused or at its limit takes requests again, 0 if there
	// is none.
	ResumesIn time.Duration
}

// Placement chooses backend servers for one daemon.
type Placement struct {
	config      Config
	deps        Dependencies
	outliers    *outlier.Tracker
	coldLimiter *coldlimit.Limiter
	limiter     *serverlimit.Limiter
	clock       clockwork.Clock

	mu       sync.Mutex
	ownLoads map[string]*ownLoad
	routers  map[routerKey]*router.Router
	// residences holds the mean time that this daemon's requests are in flight, by service and model.
	residences map[residenceKey]*residence
}

// ownLoad is the load that this daemon has in flight at a backend server. At least one request has been in flight there
// since busySince.
type ownLoad struct {
	requests     int
	unreadTokens int
	busySince    time.Time
	// writing counts the streams whose events are being read. It is above 0 since writingSince. The latest one is of the
	// given engine service and model.
	writing      int
	writingSince time.Time
	engine       *route.Engine
	model        *route.Model
	pause        recentPause
}

type routerKey struct {
	service *route.Service
	model   string
}

// New returns a placement without requests in flight.
func New(
	config Config,
	deps Dependencies,
	outliers *outlier.Tracker,
	coldLimiter *coldlimit.Limiter,
	limiter *serverlimit.Limiter,
	clock clockwork.Clock,
) *Placement {
	return &Placement{
		config:      config,
		deps:        deps,
		outliers:    outliers,
		coldLimiter: coldLimiter,
		limiter:     limiter,
		clock:       clock,
		ownLoads:    map[string]*ownLoad{},
		routers:     map[routerKey]*router.Router{},
		residences:  map[residenceKey]*residence{},
	}
}

// Choose picks a backend server and counts the request as in flight there. It fails with ErrNoServer, or with ErrBusy or
// ErrReserved and the forecast of a candidate.
func (plm *Placement) Choose(request Request, now time.Time) (Pick, error) {
	limitShare := sync.OnceValue(func() float64 { return plm.deps.LimitShare(request.Service.Name, request.Model, now) })
	candidates, resumesIn := plm.candidates(request, limitShare, now)
	loads := plm.knownLoads(candidates, now)
	usualTime := plm.usualTime(&request)
	return plm.chooseByHealth(request, candidates, loads, plm.stalledAfter(&request, usualTime), now, func(healthy []*serverregistry.Server) (Pick, error) {
		return plm.chooseAmong(request, candidates, healthy, loads, usualTime, resumesIn, limitShare, now)
	})
}

// chooseAmong picks one of the healthy candidates. It fails as Choose does.
func (plm *Placement) chooseAmong(
	request Request,
	candidates []*serverregistry.Server,
	healthy []*serverregistry.Server,
	loads map[string]knownLoad,
	usualTime time.Duration,
	resumesIn time.Duration,
	limitShare func() float64,
	now time.Time,
) (Pick, error) {
	// reserved is the longest forecast at a server whose capacity is kept for more urgent requests.
	reserved := time.Duration(0)
	for len(healthy) > 0 {
		idx, exp := plm.drawCandidate(request, healthy, loads, now)
		srv, forecast := healthy[idx], exp.firstToken()
		if plm.tooLate(&request, exp, now) {
			pck := Pick{
				Forecast:   forecast,
				Correction: exp.correction,
				Candidates: len(candidates),
			}
			return pck, errors.Annotatef(ErrBusy, "service %s, model %q: first token expected after %v at the best of %d",
				request.Service.Name, request.Model, forecast.Round(time.Millisecond), len(healthy))
		}
		verdict := plm.reserve(&request, exp.load, now)
		if verdict == reservation.Reserved {
			reserved = max(reserved, forecast)
			healthy = slices.Delete(slices.Clone(healthy), idx, idx+1)
			continue
		}
		if srv.Cold(now) && request.Service.ColdRate > 0 && !plm.coldLimiter.Take(srv.ID, plm.coldRate(request.Service), now) {
			healthy = slices.Delete(slices.Clone(healthy), idx, idx+1)
			continue
		}
		if !plm.limiter.Take(srv.ID, srv.StartTime, limitShare, now) {
			healthy = slices.Delete(slices.Clone(healthy), idx, idx+1)
			continue
		}
		plm.reportUnregistered(srv)
		began, setReading, release, saved := plm.countPrompt(request, srv, loads[srv.ID].total(), now)
		record := plm.firstTokenRecorder(&request, exp, now)
		return Pick{
			Server: srv,
			ResponseBegan: func() {
				began()
				record()
			},
			Release:      release,
			SetReading:   setReading,
			Forecast:     forecast,
			Correction:   exp.correction,
			PrefillSaved: saved,
			Exempt:       verdict == reservation.Exempt,
			UsualTime:    usualTime,
			Candidates:   len(candidates),
		}, nil
	}
	pck := Pick{
		Forecast:   reserved,
		Candidates: len(candidates),
		ResumesIn:  resumesIn,
	}
	if reserved > 0 {
		return pck, errors.Annotatef(ErrReserved, "service %s, model %q: priority %d, first token expected after %v at most",
			request.Service.Name, request.Model, request.Priority, reserved.Round(time.Millisecond))
	}
	const format = "service %s, model %q: %d registered, %d candidates cold beyond their rate or failing, " +
		"%d of them send to other daemons, next one back in %v"
	return pck, errors.Annotatef(ErrNoServer, format,
		request.Service.Name, request.Model, len(plm.deps.Registrations().Service(request.Service.Name)), len(candidates),
		sendingToOthers(loads), resumesIn.Round(time.Millisecond))
}

// sendingToOthers returns the number of backend servers that have just sent bytes to another daemon.
func sendingToOthers(loads map[string]knownLoad) int {
	num := 0
	for _, knl := range loads {
		if knl.others.Requests > 0 && knl.others.SinceLastByte <= stallTimeout {
			num++
		}
	}
	return num
}

// tooLate reports whether the first token is forecast so late that the request is not worth sending, as it is in any case
// if the caller no longer waits for it then. It takes the modelled time without the learned correction: a response that is
// late by the correction is worth something, whereas a rejected request is late whenever it returns.
func (plm *Placement) tooLate(req *Request, exp expectation, now time.Time) bool {
	if req.MaxUsefulForecast == nil || req.RequestedModel() == nil {
		return false
	}
	limit := req.MaxUsefulForecast(plm.expect(req, admission.Load{}, now).modelled)
	if req.StartWithin != 0 {
		limit = min(limit, req.StartWithin)
	}
	return exp.modelled > limit
}

// load returns the load that this daemon has in flight at a backend server. The caller holds the lock.
func (plm *Placement) load(id string, own *ownLoad, now time.Time) loadview.Load {
	last := plm.outliers.LastProgress(id)
	since := own.busySince
	if last.After(since) {
		since = last
	}
	return loadview.Load{
		Server:         id,
		Requests:       own.requests,
		UnreadTokens:   own.unreadTokens,
		SinceLastByte:  min(now.Sub(last), maxSinceLastByte),
		ResponseDueFor: now.Sub(since),
	}
}

func (plm *Placement) coldRate(svc *route.Service) float64 {
	return svc.ColdRate*plm.config.ColdExcess + plm.config.ColdReserve
}

// candidates returns the backend servers that may receive the request, and the time until the first one that is paused or at
// its limit takes requests again, 0 if there is none.
func (plm *Placement) candidates(req Request, limitShare func() float64, now time.Time) ([]*serverregistry.Server, time.Duration) {
	viw := plm.deps.Registrations()
	var srvs []*serverregistry.Server
	var resumesIn time.Duration
	for _, srv := range viw.Service(req.Service.Name) {
		if srv.Draining || !plm.deps.InService(srv.Zone) {
			continue
		}
		if req.Service.Engine != nil && !plm.serves(viw, req, srv, now) {
			continue
		}
		if srv.Cold(now) && req.Service.ColdRate > 0 && !plm.coldLimiter.Allowed(srv.ID, plm.coldRate(req.Service), now) {
			continue
		}
		if until := plm.outliers.PausedUntil(srv.ID, srv.StartTime, now); !until.IsZero() {
			resumesIn = sooner(resumesIn, until.Sub(now))
			continue
		}
		if wait := plm.limiter.WaitTime(srv.ID, srv.StartTime, limitShare, now); wait > 0 {
			resumesIn = sooner(resumesIn, wait)
			continue
		}
		srvs = append(srvs, srv)
	}
	return srvs, resumesIn
}

// sooner returns the shorter of two times, of which 0 stands for none.
func sooner(one, two time.Duration) time.Duration {
	if one == 0 {
		return two
	}
	return min(one, two)
}

// drawCandidate returns the index of the backend server that the router draws at random by the scores, and the forecast
// of its first token.
func (plm *Placement) drawCandidate(req Request, srvs []*serverregistry.Server, all map[string]knownLoad, now time.Time) (int, expectation) {
	mod := req.RequestedModel()
	views := make([]router.ReplicaView, 0, len(srvs))
	loads := make([]admission.Load, 0, len(srvs))
	others := 0
	plm.mu.Lock()
	rtr := plm.router(req)
	for _, srv := range srvs {
		lod := all[srv.ID].total()
		others += all[srv.ID].others.Requests
		viw := router.ReplicaView{
			ReplicaID:   srv.ID,
			HasAdapter:  true,
			Running:     lod.Requests,
			OwnRequests: lod.Requests,
			Limit:       max(1, srv.Slots),
		}
		if srv.Zone != plm.config.AvailabilityZone {
			viw.ExtraTime = crossZoneCost
		}
		if mod != nil {
			viw.Limit = max(1, req.Service.Engine.Slots)
			// The engine reads the prompts that arrived earlier before this one.
			viw.ExtraTime += admission.Forecast(req.Service.Engine, mod, unreadOnly(lod), 0)
		}
		views = append(views, viw)
		loads = append(loads, lod)
	}
	unseen := plm.estimateUnseen(&req, others, now)
	plm.mu.Unlock()
	rrq := router.Request{
		MaxTokens:      req.ExpectedTokens,
		StartWithin:    req.StartWithin,
		UnseenRequests: unseen,
	}
	if eng := req.Service.Engine; eng != nil && eng.PrefillRate > 0 {
		rrq.Prefill = time.Duration(float64(req.PromptTokens) / eng.PrefillRate * float64(time.Second))
	}
	savings := plm.promptSavings(&req, srvs, loads, now)
	req.applySavings(views, savings)
	rrq.UnseenRequests *= req.uncachedShare(savings)
	idx := rtr.Choose(rrq, views, now)
	uncached := req
	uncached.PromptTokens = req.uncachedTokens(savings, idx)
	return idx, plm.expect(&uncached, loads[idx], now)
}

func unreadOnly(lod admission.Load) admission.Load {
	lod.Requests = 0
	return lod
}

// RequestedModel returns the model that a request asks for, nil for plain services and unknown models.
func (req *Request) RequestedModel() *route.Model {
	if req.Service.Engine == nil {
		return nil
	}
	for idx := range req.Service.Engine.Models {
		if req.Service.Engine.Models[idx].Name == req.Model {
			return &req.Service.Engine.Models[idx]
		}
	}
	return nil
}

// knownLoad is the load at a backend server as this daemon knows it at the time of a choice.
type knownLoad struct {
	others loadview.Load
	own    loadview.Load
}

func (knl knownLoad) total() admission.Load {
	return admission.Load{
		Requests:     knl.others.Requests + knl.own.Requests,
		UnreadTokens: knl.others.UnreadTokens + knl.own.UnreadTokens,
	}
}

// knownLoads returns the known load of each backend server.
func (plm *Placement) knownLoads(srvs []*serverregistry.Server, now time.Time) map[string]knownLoad {
	all := make(map[string]knownLoad, len(srvs))
	plm.mu.Lock()
	defer plm.mu.Unlock()
	for _, srv := range srvs {
		knl := knownLoad{
			others: plm.deps.OthersLoad(srv.ID, now),
		}
		if own, ok := plm.ownLoads[srv.ID]; ok {
			knl.own = plm.load(srv.ID, own, now)
		}
		all[srv.ID] = knl
	}
	return all
}

// router returns the router of a service and model. The caller holds the lock.
func (plm *Placement) router(req Request) *router.Router {
	key := routerKey{
		service: req.Service,
		model:   req.Model,
	}
	rtr, ok := plm.routers[key]
	if ok {
		return rtr
	}
	// A new configuration replaces the service objects; the routers of the replaced ones are dropped.
	for old := range plm.routers {
		if old.service.Name == key.service.Name && old.service != key.service {
			delete(plm.routers, old)
		}
	}
	rtr = router.New(routerConfig(req.Service.Engine, req.Model), rand.New(rand.NewPCG(plm.deps.Seed(), plm.deps.Seed())))
	plm.routers[key] = rtr
	return rtr
}

func routerConfig(eng *route.Engine, model string) router.Config {
	cfg := router.Config{
		Policy:             router.PolicyScore,
		Prefill:            plainServiceTime,
		StepTimePerRequest: plainRequestCost,
		ScorePerRequest:    plainRequestCost,
		ScoreTolerance:     scoreTolerance,
		MaxScoredTokens:    1,
	}
	if eng == nil {
		return cfg
	}
	factor := 1.0
	for _, mod := range eng.Models {
		if mod.Name == model && mod.TimeFactor > 0 {
			factor = mod.TimeFactor
		}
	}
	cfg.Step = time.Duration(float64(eng.BaseStepTime) * factor)
	cfg.StepTimePerRequest = time.Duration(float64(eng.StepTimePerRequest) * factor)
	cfg.MaxScoredTokens = max(1, eng.MeanOutputTokens)
	cfg.ScorePerRequest = time.Duration(cfg.MaxScoredTokens) * cfg.StepTimePerRequest
	if eng.PrefillRate > 0 {
		cfg.ScorePerRequest += time.Duration(factor * float64(eng.MeanPromptTokens) / eng.PrefillRate * float64(time.Second))
	}
	return cfg
}

// countRequest counts a request as in flight at a backend server until release is called. The tokens of its prompt
// count as unread until began is called. The events of its response are read from then on, except while setReading says
// otherwise.
func (plm *Placement) countRequest(req Request, id string, now time.Time) (began func(), setReading func(reading bool), release func()) {
	plm.mu.Lock()
	defer plm.mu.Unlock()
	own, ok := plm.ownLoads[id]
	if !ok {
		own = &ownLoad{
			busySince: now,
		}
		plm.ownLoads[id] = own
	}
	own.requests++
	own.unreadTokens += req.PromptTokens
	unread := req.PromptTokens
	promptRead := func() {
		own.unreadTokens -= unread
		unread = 0
	}
	// A request without a response says nothing about the usual time: it may have hung.
	responseBegan := false
	stm := &countedStream{
		own:    own,
		engine: req.Service.Engine,
		model:  req.RequestedModel(),
	}
	began = func() {
		plm.mu.Lock()
		defer plm.mu.Unlock()
		if !responseBegan {
			stm.setReading(true, plm.clock.Now())
		}
		responseBegan = true
		promptRead()
	}
	setReading = func(reading bool) {
		plm.mu.Lock()
		defer plm.mu.Unlock()
		if responseBegan {
			stm.setReading(reading, plm.clock.Now())
		}
	}
	release = func() {
		plm.mu.Lock()
		defer plm.mu.Unlock()
		if responseBegan {
			plm.recordResidence(&req, plm.clock.Since(now))
		}
		stm.setReading(false, plm.clock.Now())
		promptRead()
		own.requests--
		if own.requests == 0 && plm.ownLoads[id] == own {
			delete(plm.ownLoads, id)
		}
	}
	return began, setReading, release
}

// Loads returns the load that this daemon has in flight at each backend server.
func (plm *Placement) Loads() []loadview.Load {
	now := plm.clock.Now()
	plm.mu.Lock()
	defer plm.mu.Unlock()
	loads := make([]loadview.Load, 0, len(plm.ownLoads))
	for id, own := range plm.ownLoads {
		loads = append(loads, plm.load(id, own, now))
	}
	return loads
}
