package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/coldlimit"
	"github.com/cumintally/cumintally/internal/firsttoken"
	"github.com/cumintally/cumintally/internal/hub"
	"github.com/cumintally/cumintally/internal/loadview"
	"github.com/cumintally/cumintally/internal/outlier"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/reservation"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/serverlimit"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/suspicion"
)

const (
	// registrationTimeout is the time after which the registration of a lost VM expires: three heartbeats of 1.2 s.
	registrationTimeout = 3600 * time.Millisecond
	// streamTimeout is the time without a byte after which a stream is abandoned, the same as in the relay.
	streamTimeout = 900 * time.Millisecond
)

// event is an action that is scheduled for a simulated time.
type event struct {
	at     time.Time
	action func()
}

// eventHeap is a heap of scheduled events, the earliest first.
type eventHeap []event

func (evs eventHeap) Len() int           { return len(evs) }
func (evs eventHeap) Less(i, j int) bool { return evs[i].at.Before(evs[j].at) }
func (evs eventHeap) Swap(i, j int)      { evs[i], evs[j] = evs[j], evs[i] }

// Push is part of heap.Interface.
func (evs *eventHeap) Push(val any) { *evs = append(*evs, val.(event)) }

// Pop is part of heap.Interface.
func (evs *eventHeap) Pop() any {
	last := (*evs)[len(*evs)-1]
	*evs = (*evs)[:len(*evs)-1]
	return last
}

// simulation is the state of one run of a scenario with a policy.
type simulation struct {
	scenario  *Scenario
	policy    Policy
	rng       *rand.Rand
	clock     *clockwork.FakeClock
	startTime time.Time
	events    eventHeap
	service   *route.Service
	outcomes  *tally

	registry *serverregistry.Registry
	engines  map[string]*engine
	// groupNames are the names of the groups by model.
	groupNames map[string][]string
	daemons    []*daemon
	version    uint64
}

// daemon is the daemon of an entry VM. Its view of the other daemons' load and its placement are the production code.
type daemon struct {
	name            string
	loadView        *loadview.View
	ejections       *outlier.Tracker
	placer          *placement.Placement
	announcement    loadview.Announcement
	roundRobinIndex int
}

// Simulate runs a scenario with a policy and returns its result.
func Simulate(scn *Scenario, pol Policy, seed uint64) Result {
	sim := &simulation{
		scenario:   scn,
		policy:     pol,
		rng:        rand.New(rand.NewPCG(seed, 1)),
		startTime:  time.Unix(1000, 0),
		clock:      clockwork.NewFakeClockAt(time.Unix(1000, 0)),
		registry:   serverregistry.New(),
		engines:    map[string]*engine{},
		groupNames: map[string][]string{},
		outcomes:   newTally(),
		service:    newService(),
	}
	sim.addGroups()
	for num := range scn.Daemons {
		sim.daemons = append(sim.daemons, sim.newDaemon(fmt.Sprintf("entry-%02d", num)))
	}
	for idx := range scn.Classes {
		sim.scheduleArrival(&scn.Classes[idx])
	}
	for _, at := range scn.MemberLosses {
		for _, mod := range []string{large, small} {
			sim.schedule(at, func() { sim.loseMember(mod) })
		}
	}
	sim.exchangeLoads(1, nil)
	for len(sim.events) > 0 {
		evt := heap.Pop(&sim.events).(event)
		sim.clock.Advance(evt.at.Sub(sim.clock.Now()))
		evt.action()
	}
	return sim.outcomes.result()
}

// newService returns a service with the engine figures that the users published.
func newService() *route.Service {
	return &route.Service{
		Name: "engines",
		Engine: &route.Engine{
			Slots:              26,
			BaseStepTime:       6070 * time.Microsecond,
			StepTimePerRequest: 241 * time.Microsecond,
			PrefillRate:        46000,
			StepsPerEvent:      5,
			MeanPromptTokens:   1076,
			MeanOutputTokens:   116,
			Models: []route.Model{
				{
					Name:       large,
					VMs:        1,
					TimeFactor: 1,
				},
				{
					Name:       small,
					VMs:        1,
					TimeFactor: 0.6,
				},
			},
		},
	}
}

func (sim *simulation) addGroups() {
	for idx := range sim.service.Engine.Models {
		mod := &sim.service.Engine.Models[idx]
		for num := range sim.scenario.Groups[mod.Name] {
			name := fmt.Sprintf("%s-%02d", mod.Name, num)
			sim.groupNames[mod.Name] = append(sim.groupNames[mod.Name], name)
			sim.engines[name] = &engine{
				config: sim.service.Engine,
				model:  mod,
			}
			sim.updateRegistration(name, mod.Name, false)
		}
	}
}

// updateRegistration adds or updates the registration of a group, or removes it if removed is set.
func (sim *simulation) updateRegistration(name, model string, removed bool) {
	sim.version++
	sim.registry.Apply([]serverregistry.Change{
		{
			Server: serverregistry.Server{
				ID:      name,
				Service: sim.service.Name,
				Zone:    "a",
				Models:  []string{model},
				Version: sim.version,
				Membership: serverregistry.Membership{
					Group: name,
					Epoch: 1,
					State: serverregistry.Open,
				},
			},
			Removed: removed,
		},
	}, sim.clock.Now())
}

func (sim *simulation) newDaemon(name string) *daemon {
	dmn := &daemon{
		name:      name,
		loadView:  loadview.New(),
		ejections: outlier.New(),
	}
	lrn := firsttoken.New()
	dps := placement.Dependencies{
		Registrations:   sim.registry.View,
		InService:       func(string) bool { return true },
		OthersLoad:      dmn.loadView.OthersLoad,
		OthersStaleness: dmn.loadView.Staleness,
		LastByte:        dmn.loadView.LastByte,
		// Groups of the simulation have one registration.
		ReportUnregistered: func() {},
		ReportStalled:      func(loadview.Load) {},
		LimitShare:         func(string, string, time.Time) float64 { return 1 / float64(sim.scenario.Daemons) },
		Seed:               sim.rng.Uint64,
		FirstTokenError:    lrn.Error,
		RecordFirstToken:   func(obs firsttoken.Observation, now time.Time) { lrn.Record(obs, now) },
		Reserve:            reservation.New().Decide,
		Assess:             func([]*serverregistry.Server, bool, time.Time) []suspicion.Verdict { return nil },
		ReportFailure:      func(*serverregistry.Server, suspicion.Kind, time.Time) {},
	}
	if sim.policy.IgnoreStaleness {
		dps.OthersStaleness = func(time.Time) time.Duration { return 0 }
	}
	cfg := placement.Config{
		AvailabilityZone: "a",
	}
	dmn.placer = placement.New(cfg, dps, dmn.ejections, coldlimit.New(func() int { return sim.scenario.Daemons }, sim.clock.Now().Add(-coldlimit.Window)),
		serverlimit.New(sim.rng.Float64), sim.clock)
	return dmn
}

func (sim *simulation) schedule(span time.Duration, act func()) {
	heap.Push(&sim.events, event{
		at:     sim.clock.Now().Add(span),
		action: act,
	})
}

func (sim *simulation) elapsed() time.Duration {
	return sim.clock.Now().Sub(sim.startTime)
}

// loseMember makes the first working group of a model lose a member.
func (sim *simulation) loseMember(model string) {
	for _, name := range sim.groupNames[model] {
		if egn := sim.engines[name]; !egn.memberLost {
			egn.memberLost = true
			sim.schedule(registrationTimeout, func() { sim.updateRegistration(name, model, true) })
			return
		}
	}
}

// exchangeLoads exchanges the loads of all daemons and schedules the next exchange. On a large site hubs pass on the loads
// that they received one interval earlier.
func (sim *simulation) exchangeLoads(sequence uint64, last *loadview.Sum) {
	now := sim.clock.Now()
	sum := loadview.New()
	for _, dmn := range sim.daemons {
		dmn.announcement = loadview.Announcement{
			Instance: 1,
			Sequence: sequence,
			Loads:    dmn.placer.Loads(),
		}
		dmn.loadView.RecordOwn(dmn.announcement)
		sum.ReceiveAnnouncement(dmn.name, dmn.announcement, now)
	}
	all := sum.SiteSum(loadview.Announcement{}, now)
	for _, dmn := range sim.daemons {
		if len(sim.daemons) > hub.MaxFullMeshDaemons {
			if last != nil {
				dmn.loadView.ReceiveSiteSum("hub", *last, sequence-1, now)
			}
			continue
		}
		for _, oth := range sim.daemons {
			if oth != dmn {
				dmn.loadView.ReceiveAnnouncement(oth.name, oth.announcement, now)
			}
		}
	}
	if sim.elapsed() < sim.scenario.ArrivalPeriod {
		sim.schedule(loadview.Interval(len(sim.daemons)), func() { sim.exchangeLoads(sequence+1, &all) })
	}
}

// scheduleArrival schedules the next request of a class, until the end of the scenario.
func (sim *simulation) scheduleArrival(cls *Class) {
	rate := cls.RequestsPerSecond
	for _, bst := range sim.scenario.Bursts {
		if now := sim.elapsed(); now >= bst.From && now < bst.To && (bst.Class == "" || bst.Class == cls.Name) {
			rate *= bst.Factor
		}
	}
	sim.schedule(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if sim.elapsed() >= sim.scenario.ArrivalPeriod {
			return
		}
		sim.send(&request{
			cls:          cls,
			arrivedAt:    sim.clock.Now(),
			promptTokens: max(1, int(float64(cls.MeanPromptTokens)*sim.rng.ExpFloat64())),
			outputTokens: max(1, int(float64(cls.MeanOutputTokens)*sim.rng.ExpFloat64())),
		})
		sim.scheduleArrival(cls)
	})
}

// request is a caller's request, which is retried once if it is rejected.
type request struct {
	cls          *Class
	arrivedAt    time.Time
	promptTokens int
	outputTokens int
	retried      bool
	attempts     int
	avoid        []string
}

// recordOutcome records the outcome of a request.
func (sim *simulation) recordOutcome(req *request, first time.Duration, outcome string) {
	sim.outcomes.add(req.cls, req.arrivedAt.Sub(sim.startTime), first, outcome)
}

// send sends a request to a random daemon.
func (sim *simulation) send(req *request) {
	sim.dispatch(req, sim.daemons[sim.rng.IntN(len(sim.daemons))])
}

// dispatch lets a daemon place a request. A rejected request is retried once, unless the retry would come after a third of
// its deadline.
func (sim *simulation) dispatch(req *request, dmn *daemon) {
	now := sim.clock.Now()
	pck, err := sim.policy.choose(sim, dmn, placement.Request{
		Service:           sim.service,
		Model:             req.cls.Model,
		PromptTokens:      req.promptTokens,
		ExpectedTokens:    req.outputTokens,
		StartWithin:       req.cls.Deadline - now.Sub(req.arrivedAt),
		MaxUsefulForecast: sim.policy.maxUsefulForecast(req.cls.Objective, sim.waitedSinceArrival(req)),
		FirstSend:         req.attempts == 0,
		Avoid:             req.avoid,
	})
	if err != nil {
		delay := admission.RetryDelay(pck.Forecast-req.cls.Objective, sim.rng.Float64())
		if req.retried || now.Add(delay).Sub(req.arrivedAt) > req.cls.Deadline/3 {
			sim.recordOutcome(req, 0, "refused")
			return
		}
		req.retried = true
		sim.schedule(delay, func() { sim.send(req) })
		return
	}
	sim.runRequest(req, dmn, pck)
}

// waitedSinceArrival returns the time since the arrival of a request that was rejected before, and 0 for other requests.
// Daemons announce this time to their peers, so that a retry at any daemon counts from the first arrival.
func (sim *simulation) waitedSinceArrival(req *request) time.Duration {
	if !req.retried {
		return 0
	}
	return sim.clock.Now().Sub(req.arrivedAt)
}

// runRequest sends a request to the chosen group. If the group has lost a member, the request times out, and the daemon
// excludes the group and places the request once more. After a second timeout, or if the first token had been sent, the
// request counts as unanswered.
func (sim *simulation) runRequest(req *request, dmn *daemon, pck placement.Pick) {
	name := pck.Server.ID
	req.attempts++
	first := time.Duration(0)
	done := false
	jbb := &job{
		unreadTokens:    req.promptTokens,
		remainingTokens: req.outputTokens,
	}
	jbb.onFirstToken = func(at time.Time) {
		first = at.Sub(req.arrivedAt)
		dmn.ejections.RecordProgress(name, at)
		pck.ResponseBegan()
	}
	jbb.onLastToken = func(at time.Time) {
		if done {
			return
		}
		done = true
		dmn.ejections.RecordProgress(name, at)
		pck.Release()
		if first <= req.cls.Objective {
			sim.recordOutcome(req, first, "on time")
		} else {
			sim.recordOutcome(req, first, "late")
		}
	}
	sim.engines[name].enqueue(jbb)
	if sim.engines[name].busyUntil.IsZero() {
		sim.runPasses(name)
	}
	var watch func()
	watch = func() {
		switch {
		case done:
		case !sim.engines[name].memberLost:
			sim.schedule(streamTimeout, watch)
		default:
			done = true
			dmn.ejections.Eject(name, sim.clock.Now())
			pck.Release()
			req.avoid = append(req.avoid, name)
			if req.attempts > 1 || first > 0 {
				sim.recordOutcome(req, 0, "unanswered")
				return
			}
			sim.dispatch(req, dmn)
		}
	}
	sim.schedule(streamTimeout, watch)
}

// runPasses runs passes of a group until it has nothing to do.
func (sim *simulation) runPasses(name string) {
	egn := sim.engines[name]
	end := egn.startPass(sim.clock.Now())
	if end.IsZero() {
		return
	}
	sim.schedule(end.Sub(sim.clock.Now()), func() {
		if !egn.memberLost {
			egn.finishPass(sim.clock.Now())
		}
		sim.runPasses(name)
	})
}
