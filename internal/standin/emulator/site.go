package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/coldlimit"
	"github.com/cumintally/cumintally/internal/hub"
	"github.com/cumintally/cumintally/internal/loadview"
	"github.com/cumintally/cumintally/internal/outlier"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

const (
	// lapse is the time after which the entry of a lost VM is removed: three heartbeats of 1.2 s.
	lapse = 3600 * time.Millisecond
	// patience is the time without a byte after which a stream is given up, as the relay does.
	patience = 900 * time.Millisecond
)

// event is something that happens at a time.
type event struct {
	at  time.Time
	act func()
}

type events []event

func (evs events) Len() int           { return len(evs) }
func (evs events) Less(i, j int) bool { return evs[i].at.Before(evs[j].at) }
func (evs events) Swap(i, j int)      { evs[i], evs[j] = evs[j], evs[i] }

// Push is part of heap.Interface.
func (evs *events) Push(val any) { *evs = append(*evs, val.(event)) }

// Pop is part of heap.Interface.
func (evs *events) Pop() any {
	last := (*evs)[len(*evs)-1]
	*evs = (*evs)[:len(*evs)-1]
	return last
}

// site is one play.
type site struct {
	scn *Scenario
	pol Policy
	rng *rand.Rand
	clk *clockwork.FakeClock
	beg time.Time
	evs events
	svc *route.Service
	tly *tally

	reg     *serverregistry.Registry
	engines map[string]*engine
	names   map[string][]string
	daemons []*daemon
	version uint64
}

// daemon is an entry VM with its real view of others' work and its real choice of groups.
type daemon struct {
	name string
	viw  *loadview.View
	trk  *outlier.Tracker
	plm  *placement.Placement
	word loadview.Announcement
	turn int
}

// Play plays a scenario with a policy.
func Play(scn *Scenario, pol Policy, seed uint64) Result {
	ste := &site{
		scn:     scn,
		pol:     pol,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		beg:     time.Unix(1000, 0),
		clk:     clockwork.NewFakeClockAt(time.Unix(1000, 0)),
		reg:     serverregistry.New(),
		engines: map[string]*engine{},
		names:   map[string][]string{},
		tly:     newTally(),
		svc:     newService(),
	}
	ste.addGroups()
	for num := range scn.Daemons {
		ste.daemons = append(ste.daemons, ste.newDaemon(fmt.Sprintf("entry-%02d", num)))
	}
	for idx := range scn.Classes {
		ste.arrive(&scn.Classes[idx])
	}
	for _, at := range scn.Lost {
		for _, mod := range []string{large, small} {
			ste.after(at, func() { ste.lose(mod) })
		}
	}
	ste.speak(1, nil)
	for len(ste.evs) > 0 {
		evt := heap.Pop(&ste.evs).(event)
		ste.clk.Advance(evt.at.Sub(ste.clk.Now()))
		evt.act()
	}
	return ste.tly.result()
}

// newService returns engines whose figures are those that the users published for theirs.
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

func (ste *site) addGroups() {
	for idx := range ste.svc.Engine.Models {
		mod := &ste.svc.Engine.Models[idx]
		for num := range ste.scn.Groups[mod.Name] {
			name := fmt.Sprintf("%s-%02d", mod.Name, num)
			ste.names[mod.Name] = append(ste.names[mod.Name], name)
			ste.engines[name] = &engine{
				eng: ste.svc.Engine,
				mod: mod,
			}
			ste.enter(name, mod.Name, false)
		}
	}
}

func (ste *site) enter(name, model string, gone bool) {
	ste.version++
	ste.reg.Apply([]serverregistry.Change{
		{
			Server: serverregistry.Server{
				ID:      name,
				Service: ste.svc.Name,
				Zone:    "a",
				Models:  []string{model},
				Version: ste.version,
				Membership: serverregistry.Membership{
					Group: name,
					Epoch: 1,
					State: serverregistry.Open,
				},
			},
			Removed: gone,
		},
	}, ste.clk.Now())
}

func (ste *site) newDaemon(name string) *daemon {
	dmn := &daemon{
		name: name,
		viw:  loadview.New(),
		trk:  outlier.New(),
	}
	dps := placement.Dependencies{
		Registrations:   ste.reg.View,
		InService:       func(string) bool { return true },
		OthersLoad:      dmn.viw.OthersLoad,
		OthersStaleness: dmn.viw.Staleness,
		ReportStalled:   func(loadview.Load) {},
	}
	if ste.pol.FreshViews {
		dps.OthersStaleness = func(time.Time) time.Duration { return 0 }
	}
	cfg := placement.Config{
		AvailabilityZone: "a",
	}
	dmn.plm = placement.New(cfg, dps, dmn.trk, coldlimit.New(func() int { return ste.scn.Daemons }), ste.clk)
	return dmn
}

func (ste *site) after(span time.Duration, act func()) {
	heap.Push(&ste.evs, event{
		at:  ste.clk.Now().Add(span),
		act: act,
	})
}

func (ste *site) elapsed() time.Duration {
	return ste.clk.Now().Sub(ste.beg)
}

// lose makes the first group of a model that works lose a member.
func (ste *site) lose(model string) {
	for _, name := range ste.names[model] {
		if egn := ste.engines[name]; !egn.lost {
			egn.lost = true
			ste.after(lapse, func() { ste.enter(name, model, true) })
			return
		}
	}
}

// speak lets all daemons tell each other what they have in progress: on a large site hubs pass on what they heard an
// interval before.
func (ste *site) speak(sequence uint64, last *loadview.Sum) {
	now := ste.clk.Now()
	sum := loadview.New()
	for _, dmn := range ste.daemons {
		dmn.word = loadview.Announcement{
			Instance: 1,
			Sequence: sequence,
			Loads:    dmn.plm.Loads(),
		}
		dmn.viw.RecordOwn(dmn.word)
		sum.ReceiveAnnouncement(dmn.name, dmn.word, now)
	}
	all := sum.SiteSum(nil, now)
	for _, dmn := range ste.daemons {
		if len(ste.daemons) > hub.MaxFullMeshDaemons {
			if last != nil {
				dmn.viw.ReceiveSiteSum("hub", *last, sequence-1, now)
			}
			continue
		}
		for _, oth := range ste.daemons {
			if oth != dmn {
				dmn.viw.ReceiveAnnouncement(oth.name, oth.word, now)
			}
		}
	}
	if ste.elapsed() < ste.scn.Span {
		ste.after(loadview.Interval(len(ste.daemons)), func() { ste.speak(sequence+1, &all) })
	}
}

// arrive lets requests of a class come until the end.
func (ste *site) arrive(cls *Class) {
	rate := cls.Rate
	for _, bst := range ste.scn.Bursts {
		if now := ste.elapsed(); now >= bst.From && now < bst.To && (bst.Class == "" || bst.Class == cls.Name) {
			rate *= bst.Factor
		}
	}
	ste.after(time.Duration(ste.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if ste.elapsed() >= ste.scn.Span {
			return
		}
		ste.send(&request{
			cls:    cls,
			came:   ste.clk.Now(),
			prompt: max(1, int(float64(cls.Prompt)*ste.rng.ExpFloat64())),
			answer: max(1, int(float64(cls.Answer)*ste.rng.ExpFloat64())),
		})
		ste.arrive(cls)
	})
}

// request is a caller's request, which comes back once if it is refused.
type request struct {
	cls    *Class
	came   time.Time
	prompt int
	answer int
	again  bool
	sends  int
	avoid  []string
}

func (ste *site) end(req *request, first time.Duration, how string) {
	ste.tly.add(req.cls, req.came.Sub(ste.beg), first, how)
}

// send lets a daemon choose a group for a request.
func (ste *site) send(req *request) {
	ste.dispatch(req, ste.daemons[ste.rng.IntN(len(ste.daemons))])
}

func (ste *site) dispatch(req *request, dmn *daemon) {
	now := ste.clk.Now()
	pck, err := ste.pol.choose(ste, dmn, placement.Request{
		Service:           ste.svc,
		Model:             req.cls.Model,
		PromptTokens:      req.prompt,
		ExpectedTokens:    req.answer,
		StartWithin:       req.cls.Deadline - now.Sub(req.came),
		MaxUsefulForecast: ste.pol.useful(req.cls.Objective, ste.waited(req)),
		Avoid:             req.avoid,
	})
	if err != nil {
		back := admission.RetryDelay(pck.Forecast-req.cls.Objective, ste.rng.Float64())
		if req.again || now.Add(back).Sub(req.came) > req.cls.Deadline/3 {
			ste.end(req, 0, "refused")
			return
		}
		req.again = true
		ste.after(back, func() { ste.send(req) })
		return
	}
	ste.run(req, dmn, pck)
}

// waited returns the time since a request was first turned away, which daemons tell each other; 0 if it was not.
func (ste *site) waited(req *request) time.Duration {
	if !req.again {
		return 0
	}
	return ste.clk.Now().Sub(req.came)
}

// run lets a group work on a request, which goes on elsewhere if nothing comes for long.
func (ste *site) run(req *request, dmn *daemon, pck placement.Pick) {
	name := pck.Server.ID
	req.sends++
	first := time.Duration(0)
	done := false
	jbb := &job{
		unread: req.prompt,
		left:   req.answer,
	}
	jbb.began = func(at time.Time) {
		first = at.Sub(req.came)
		dmn.trk.RecordProgress(name, at)
		pck.ResponseBegan()
	}
	jbb.ended = func(at time.Time) {
		if done {
			return
		}
		done = true
		dmn.trk.RecordProgress(name, at)
		pck.Release()
		if first <= req.cls.Objective {
			ste.end(req, first, "on time")
		} else {
			ste.end(req, first, "late")
		}
	}
	ste.engines[name].add(jbb)
	if ste.engines[name].busyUntil.IsZero() {
		ste.pass(name)
	}
	var watch func()
	watch = func() {
		switch {
		case done:
		case !ste.engines[name].lost:
			ste.after(patience, watch)
		default:
			done = true
			dmn.trk.Eject(name, ste.clk.Now())
			pck.Release()
			req.avoid = append(req.avoid, name)
			if req.sends > 1 || first > 0 {
				ste.end(req, 0, "unanswered")
				return
			}
			ste.dispatch(req, dmn)
		}
	}
	ste.after(patience, watch)
}

// pass lets a group work until it has nothing to do.
func (ste *site) pass(name string) {
	egn := ste.engines[name]
	end := egn.start(ste.clk.Now())
	if end.IsZero() {
		return
	}
	ste.after(end.Sub(ste.clk.Now()), func() {
		if !egn.lost {
			egn.finish(ste.clk.Now())
		}
		ste.pass(name)
	})
}
