package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/coldlimit"
	"github.com/cumintally/cumintally/internal/firsttoken"
	"github.com/cumintally/cumintally/internal/loadview"
	"github.com/cumintally/cumintally/internal/outlier"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/reservation"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/serverlimit"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/suspicion"
)

// fixture is a placement with the sources of state that it reads.
type fixture struct {
	reg *serverregistry.Registry
	viw *loadview.View
	trk *outlier.Tracker
	lim *serverlimit.Limiter
	lrn *firsttoken.Learner
	ldg *reservation.Ledger
	out map[string]bool
	plm *placement.Placement
	now time.Time
	clk *clockwork.FakeClock
	svc *route.Service
	// unregistered is the number of choices of groups with unregistered members.
	unregistered int
	// verdicts holds how backend servers are used that are not trusted, and reported the IDs of those that were reported.
	verdicts map[string]suspicion.Verdict
	reported []string
}

func newFixture() *fixture {
	return newSeededFixture(1)
}

// newSeededFixture returns a fixture whose random draws follow from seed.
func newSeededFixture(seed uint64) *fixture {
	fix := &fixture{
		reg: serverregistry.New(),
		viw: loadview.New(),
		trk: outlier.New(),
		lim: serverlimit.New(func() float64 { return 0 }),
		lrn: firsttoken.New(),
		ldg: reservation.New(),
		out: map[string]bool{},
		now: time.Unix(1000, 0),
		svc: &route.Service{
			Name:     "engines",
			ColdRate: 8,
			Engine: &route.Engine{
				Slots:              10,
				BaseStepTime:       6 * time.Millisecond,
				StepTimePerRequest: 240 * time.Microsecond,
				PrefillRate:        46000,
				StepsPerEvent:      5,
				MeanPromptTokens:   1000,
				MeanOutputTokens:   100,
				Models: []route.Model{
					{
						Name:       "recipes",
						VMs:        2,
						TimeFactor: 1,
					},
				},
			},
		},
	}
	fix.clk = clockwork.NewFakeClockAt(fix.now)
	dps := placement.Dependencies{
		Registrations:      fix.reg.View,
		InService:          func(zone string) bool { return !fix.out[zone] },
		OthersLoad:         fix.viw.OthersLoad,
		OthersStaleness:    fix.viw.Staleness,
		LastByte:           func(server string, _ time.Time) time.Time { return fix.trk.LastProgress(server) },
		ReportUnregistered: func() { fix.unregistered++ },
		ReportStalled:      func(loadview.Load) {},
		LimitShare:         func(string, string, time.Time) float64 { return 1 },
		Seed:               func() uint64 { return seed },
		FirstTokenError:    fix.lrn.Error,
		RecordFirstToken:   func(obs firsttoken.Observation, now time.Time) { fix.lrn.Record(obs, now) },
		Reserve:            fix.ldg.Decide,
		Assess: func(srvs []*serverregistry.Server, _ bool, _ time.Time) []suspicion.Verdict {
			verdicts := make([]suspicion.Verdict, len(srvs))
			for idx, srv := range srvs {
				verdicts[idx] = fix.verdicts[srv.ID]
			}
			return verdicts
		},
		BeginTrial: func(*serverregistry.Server, time.Time) bool { return true },
		ReportFailure: func(srv *serverregistry.Server, _ suspicion.Kind, _ time.Time) {
			fix.reported = append(fix.reported, srv.ID)
		},
	}
	cfg := placement.Config{
		AvailabilityZone: "a",
		ColdExcess:       1,
	}
	fix.plm = placement.New(cfg, dps, fix.trk, coldlimit.New(func() int { return 1 }, fix.clk.Now().Add(-coldlimit.Window)), fix.lim, fix.clk)
	return fix
}

// group registers a group of two VMs. The ID of the head is the name of the group.
func (fix *fixture) group(name, zone string, member serverregistry.MemberState) {
	fix.register(name, name, zone, 0, serverregistry.Open)
	fix.register(name+"-1", name, zone, 1, member)
}

func (fix *fixture) register(id, grp, zone string, rank int, state serverregistry.MemberState) {
	fix.apply(serverregistry.Server{
		ID:      id,
		Service: "engines",
		Zone:    zone,
		Models:  []string{"recipes"},
		Membership: serverregistry.Membership{
			Group: grp,
			Epoch: 1,
			Rank:  rank,
			State: state,
		},
	})
}

func (fix *fixture) apply(srv serverregistry.Server) {
	fix.reg.Apply([]serverregistry.Change{
		{
			Server: srv,
		},
	}, fix.now)
}

// counts makes num choices and returns how often each backend server was chosen.
func (fix *fixture) counts(num int, useful time.Duration) (map[string]int, error) {
	chosen := map[string]int{}
	for range num {
		pck, err := fix.plm.Choose(placement.Request{
			Service:        fix.svc,
			Model:          "recipes",
			PromptTokens:   1000,
			ExpectedTokens: 100,
			MaxUsefulForecast: func(time.Duration) time.Duration {
				if useful == 0 {
					return time.Minute
				}
				return useful
			},
		}, fix.now)
		if err != nil {
			return chosen, err
		}
		chosen[pck.Server.ID]++
	}
	return chosen, nil
}

func TestOnlyCompleteGroupsInServiceAreChosen(tst *testing.T) {
	fix := newFixture()
	fix.group("whole", "a", serverregistry.Ready)
	fix.group("partial", "a", serverregistry.Joining)
	fix.group("evacuated", "b", serverregistry.Ready)
	fix.out["b"] = true
	fix.group("leaving", "a", serverregistry.Ready)
	fix.apply(serverregistry.Server{
		ID:       "leaving-1",
		Service:  "engines",
		Zone:     "a",
		Draining: true,
		Membership: serverregistry.Membership{
			Group: "leaving",
			Epoch: 1,
			Rank:  1,
			State: serverregistry.Ready,
		},
	})
	chosen, err := fix.counts(8, 0)
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, chosen, qt.DeepEquals, map[string]int{"whole": 8})
}

// Guards against sending a burst to a group that the other daemons have just filled: of two groups, the placement must
// choose the one without their load.
func TestLoadOfOtherDaemonsCounts(tst *testing.T) {
	fix := newFixture()
	fix.group("one", "a", serverregistry.Ready)
	fix.group("two", "a", serverregistry.Ready)
	fix.viw.ReceiveAnnouncement("entry-2", loadview.Announcement{
		Sequence: 1,
		Loads: []loadview.Load{
			{
				Server:       "one",
				Requests:     9,
				UnreadTokens: 9000,
			},
		},
	}, fix.now)
	chosen, err := fix.counts(6, 0)
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, chosen["two"] >= 5, qt.IsTrue, qt.Commentf("%v", chosen))
}

// Guards against daemons that all fill the emptiest group. At a site whose daemons exchange loads every 400 ms, the
// requests that they have sent since the last announcement are missing from the view, so that the emptiest group must
// not receive every request.
func TestRequestsSinceTheLastAnnouncementAreSpread(tst *testing.T) {
	chosen := map[string]int{}
	for seed := range uint64(20) {
		for name, num := range chooseBetweenAnnouncements(tst, seed) {
			chosen[name] += num
		}
	}
	// The three groups that others use differ by one request each, so that the order shows only over many choices.
	qt.Assert(tst, chosen["one"] > chosen["two"] && chosen["two"] > chosen["three"], qt.IsTrue, qt.Commentf("%v", chosen))
}

// chooseBetweenAnnouncements makes 200 choices at a site whose daemons exchange loads every 400 ms, and returns how often
// each group was chosen: three that other daemons use and the empty one, named four.
func chooseBetweenAnnouncements(tst *testing.T, seed uint64) map[string]int {
	fix := newSeededFixture(seed)
	for _, name := range []string{"one", "two", "three", "four"} {
		fix.group(name, "a", serverregistry.Ready)
	}
	sequence := uint64(0)
	announce := func() {
		sequence++
		for num, name := range []string{"one", "two", "three"} {
			fix.viw.ReceiveAnnouncement("entry-"+name, loadview.Announcement{
				Sequence: sequence,
				Loads: []loadview.Load{
					{
						Server:   name,
						Requests: 4 + num,
					},
				},
			}, fix.clk.Now())
		}
	}
	choose := func() string {
		pck, err := fix.plm.Choose(placement.Request{
			Service:        fix.svc,
			Model:          "recipes",
			PromptTokens:   1000,
			ExpectedTokens: 100,
		}, fix.clk.Now())
		qt.Assert(tst, err, qt.IsNil)
		pck.ResponseBegan()
		fix.clk.Advance(500 * time.Millisecond)
		pck.Release()
		return pck.Server.ID
	}
	// Until a first response shows how long requests are in flight, the emptiest group is chosen.
	announce()
	qt.Assert(tst, choose(), qt.Equals, "four")
	chosen := map[string]int{}
	for range 200 {
		announce()
		fix.clk.Advance(400 * time.Millisecond)
		chosen[choose()]++
	}
	qt.Assert(tst, chosen["four"] < 150, qt.IsTrue, qt.Commentf("seed %d: %v", seed, chosen))
	return chosen
}

// Guards against a queue that grows during a lasting overload: requests that would wait too long are rejected at once,
// with a forecast from which the retry delay of callers is computed.
func TestOverloadIsRejected(tst *testing.T) {
	fix := newFixture()
	fix.group("one", "a", serverregistry.Ready)
	chosen, err := fix.counts(200, 700*time.Millisecond)
	qt.Assert(tst, errors.Is(err, placement.ErrBusy), qt.IsTrue)
	qt.Assert(tst, chosen["one"] >= fix.svc.Engine.Slots && chosen["one"] < 40, qt.IsTrue, qt.Commentf("%v", chosen))
}

// Guards against sending more and more requests to a group that lost a member: it accepts requests and responds to
// none, so that a choice by load alone would keep choosing it.
func TestStalledGroupReceivesNoMoreRequests(tst *testing.T) {
	fix := newFixture()
	fix.group("silent", "a", serverregistry.Ready)
	fix.group("sound", "a", serverregistry.Ready)
	for range 20 {
		fix.now = fix.now.Add(50 * time.Millisecond)
		fix.trk.RecordProgress("sound", fix.now)
		_, err := fix.counts(1, 0)
		qt.Assert(tst, err, qt.IsNil)
	}
	chosen, err := fix.counts(10, 0)
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, chosen, qt.DeepEquals, map[string]int{"sound": 10})
}

// Guards against every daemon of a large site losing a request of its own at a group that lost a member: a stall that
// one daemon announces ejects the group at the others too, unless another daemon receives bytes from it.
func TestStallAnnouncedByOthersCounts(tst *testing.T) {
	fix := newFixture()
	fix.group("silent", "a", serverregistry.Ready)
	fix.group("sound", "a", serverregistry.Ready)
	announce := func(daemon string, quiet, waiting time.Duration) {
		fix.viw.ReceiveAnnouncement(daemon, loadview.Announcement{
			Sequence: uint64(fix.now.UnixNano()),
			Loads: []loadview.Load{
				{
					Server:         "silent",
					Requests:       1,
					SinceLastByte:  quiet,
					ResponseDueFor: waiting,
				},
			},
		}, fix.now)
	}
	announce("entry-1", 2*time.Second, 600*time.Millisecond)
	announce("entry-2", 10*time.Millisecond, 10*time.Millisecond)
	chosen, err := fix.counts(20, 0)
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, chosen["silent"] > 0, qt.IsTrue, qt.Commentf("%v", chosen))
	fix.now = fix.now.Add(time.Millisecond)
	// Another daemon has only just sent a request there, so that its wait does not contradict the stall.
	announce("entry-2", time.Minute, 10*time.Millisecond)
	chosen, err = fix.counts(20, 0)
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, chosen, qt.DeepEquals, map[string]int{"sound": 20})
	// The requests that revealed the stall have ended.
	fix.now = fix.now.Add(300 * time.Millisecond)
	fix.viw.ReceiveAnnouncement("entry-1", loadview.Announcement{
		Sequence: uint64(fix.now.UnixNano()),
	}, fix.now)
	chosen, err = fix.counts(20, 0)
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, chosen, qt.DeepEquals, map[string]int{"sound": 20})
}

func TestColdRateIsKept(tst *testing.T) {
	fix := newFixture()
	fix.apply(serverregistry.Server{
		ID:        "cold",
		Service:   "engines",
		Zone:      "a",
		Models:    []string{"recipes"},
		ColdUntil: fix.now.Add(time.Minute),
		Membership: serverregistry.Membership{
			Group: "cold",
			Epoch: 1,
			State: serverregistry.Open,
		},
	})
	fix.register("cold-1", "cold", "a", 1, serverregistry.Ready)
	chosen, err := fix.counts(20, 0)
	qt.Assert(tst, errors.Is(err, placement.ErrNoServer), qt.IsTrue)
	qt.Assert(tst, chosen["cold"], qt.Equals, 8)
}

// plainFixture adds a plain service with one backend server in each of the availability zones a and b.
func plainFixture() (*fixture, *route.Service) {
	fix := newFixture()
	for _, zone := range []string{"a", "b"} {
		fix.apply(serverregistry.Server{
			ID:      "job-" + zone,
			Service: "jobs",
			Zone:    zone,
			Slots:   6,
		})
	}
	return fix, &route.Service{
		Name: "jobs",
	}
}

// Guards against calls that cannot be repeated and are lost at a plain server that hangs while its health check is good:
// one call that another daemon has waiting there ejects it. A server whose calls usually take that long is not ejected.
func TestHangingPlainServerReceivesNoMoreCalls(tst *testing.T) {
	for _, usual := range []time.Duration{60 * time.Millisecond, 300 * time.Millisecond} {
		fix, svc := plainFixture()
		choose := func() placement.Pick {
			pck, err := fix.plm.Choose(placement.Request{
				Service: svc,
			}, fix.clk.Now())
			qt.Assert(tst, err, qt.IsNil)
			return pck
		}
		pck := choose()
		fix.clk.Advance(usual)
		pck.ResponseBegan()
		pck.Release()
		fix.viw.ReceiveAnnouncement("entry-2", loadview.Announcement{
			Sequence: 1,
			Loads: []loadview.Load{
				{
					Server:         "job-a",
					Requests:       1,
					SinceLastByte:  time.Minute,
					ResponseDueFor: 500 * time.Millisecond,
				},
			},
		}, fix.clk.Now())
		want := "job-b"
		if usual > 100*time.Millisecond {
			want = "job-a"
		}
		for range 3 {
			qt.Assert(tst, choose().Server.ID, qt.Equals, want, qt.Commentf("calls usually take %v", usual))
		}
	}
}

// Guards against calls that are in flight to another zone when it is cut off, though servers of the own zone have free
// slots: calls go to another zone only when those at home are nearly full.
func TestPlainCallsStayInTheirZone(tst *testing.T) {
	fix, svc := plainFixture()
	counts := map[string]int{}
	for range 12 {
		pck, err := fix.plm.Choose(placement.Request{
			Service: svc,
		}, fix.now)
		qt.Assert(tst, err, qt.IsNil)
		counts[pck.Server.ID]++
		if counts["job-a"] < 5 {
			qt.Assert(tst, counts["job-b"], qt.Equals, 0)
		}
	}
	qt.Assert(tst, counts["job-b"] >= 3, qt.IsTrue, qt.Commentf("%v", counts))
}

// Guards against calls that wait ever longer at a server that hangs: the time of a call without a response must not count
// as usual, since calls are retried after a multiple of the usual time.
func TestHangingCallsDoNotCountAsUsual(tst *testing.T) {
	fix, svc := plainFixture()
	for num, answered := range []bool{false, true, false, false} {
		pck, err := fix.plm.Choose(placement.Request{
			Service: svc,
		}, fix.clk.Now())
		qt.Assert(tst, err, qt.IsNil)
		qt.Assert(tst, pck.UsualTime <= 20*time.Millisecond, qt.IsTrue, qt.Commentf("call %d: %v", num, pck.UsualTime))
		if answered {
			fix.clk.Advance(20 * time.Millisecond)
			pck.ResponseBegan()
		} else {
			fix.clk.Advance(600 * time.Millisecond)
		}
		pck.Release()
	}
}

// Guards against calls that are spread over other zones because the daemon's view lacks some requests, although servers of
// the own zone have free slots.
func TestUnseenPlainCallsAreNotSpreadOverZones(tst *testing.T) {
	fix, svc := plainFixture()
	choose := func() placement.Pick {
		pck, err := fix.plm.Choose(placement.Request{
			Service: svc,
		}, fix.clk.Now())
		qt.Assert(tst, err, qt.IsNil)
		return pck
	}
	// The mean time of a call and the loads of another daemon show that the view lacks two requests.
	pck := choose()
	fix.clk.Advance(60 * time.Millisecond)
	pck.ResponseBegan()
	pck.Release()
	fix.viw.ReceiveAnnouncement("entry-2", loadview.Announcement{
		Sequence: 1,
		Loads: []loadview.Load{
			{
				Server:   "job-a",
				Requests: 1,
			},
			{
				Server:   "job-b",
				Requests: 1,
			},
		},
	}, fix.clk.Now())
	fix.clk.Advance(60 * time.Millisecond)
	for range 50 {
		pck := choose()
		qt.Assert(tst, pck.Server.ID, qt.Equals, "job-a")
		pck.Release()
	}
}
