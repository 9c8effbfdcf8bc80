package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/coldgate"
	"github.com/cumintally/cumintally/internal/health"
	"github.com/cumintally/cumintally/internal/loadview"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/roster"
	"github.com/cumintally/cumintally/internal/route"
)

// bench is a placement with what it is told.
type bench struct {
	rst *roster.Roster
	viw *loadview.View
	brd *health.Board
	out map[string]bool
	plm *placement.Placement
	now time.Time
	clk *clockwork.FakeClock
	svc *route.Service
}

func newBench() *bench {
	bch := &bench{
		rst: roster.New(),
		viw: loadview.New(),
		brd: health.New(),
		out: map[string]bool{},
		now: time.Unix(1000, 0),
		svc: &route.Service{
			Name:     "engines",
			ColdRate: 8,
			Engine: &route.Engine{
				Slots:          10,
				Step:           6 * time.Millisecond,
				StepPerRequest: 240 * time.Microsecond,
				ReadRate:       46000,
				Stride:         5,
				UsualPrompt:    1000,
				UsualAnswer:    100,
				Models: []route.Model{
					{
						Name: "recipes",
						VMs:  2,
						Pace: 1,
					},
				},
			},
		},
	}
	bch.clk = clockwork.NewFakeClockAt(bch.now)
	sea := placement.Seams{
		Roster:    bch.rst.View,
		InService: func(zone string) bool { return !bch.out[zone] },
		Others:    bch.viw.Others,
		OthersAge: bch.viw.Age,
		Silent:    func(loadview.Load) {},
	}
	cfg := placement.Config{
		AvailabilityZone: "a",
		ColdExcess:       1,
	}
	bch.plm = placement.New(cfg, sea, bch.brd, coldgate.New(func() int { return 1 }), bch.clk)
	return bch
}

// group registers a group of two VMs; its head is named after it.
func (bch *bench) group(name, zone string, member roster.GroupState) {
	bch.register(name, name, zone, 0, roster.Open)
	bch.register(name+"-1", name, zone, 1, member)
}

func (bch *bench) register(id, grp, zone string, rank int, state roster.GroupState) {
	bch.apply(roster.Server{
		ID:      id,
		Service: "engines",
		Zone:    zone,
		Models:  []string{"recipes"},
		Place: roster.Place{
			Group: grp,
			Epoch: 1,
			Rank:  rank,
			State: state,
		},
	})
}

func (bch *bench) apply(srv roster.Server) {
	bch.rst.Apply([]roster.Change{
		{
			Server: srv,
		},
	}, bch.now)
}

// counts chooses so many times and returns how often each backend server was chosen.
func (bch *bench) counts(num int, useful time.Duration) (map[string]int, error) {
	chosen := map[string]int{}
	for range num {
		pck, err := bch.plm.Choose(placement.Want{
			Service:      bch.svc,
			Model:        "recipes",
			PromptTokens: 1000,
			AnswerTokens: 100,
			Useful: func(time.Duration) time.Duration {
				if useful == 0 {
					return time.Minute
				}
				return useful
			},
		}, bch.now)
		if err != nil {
			return chosen, err
		}
		chosen[pck.Server.ID]++
	}
	return chosen, nil
}

func TestOnlyWholeGroupsInServiceAreChosen(tst *testing.T) {
	bch := newBench()
	bch.group("whole", "a", roster.Ready)
	bch.group("partial", "a", roster.Joining)
	bch.group("evacuated", "b", roster.Ready)
	bch.out["b"] = true
	bch.group("leaving", "a", roster.Ready)
	bch.apply(roster.Server{
		ID:       "leaving-1",
		Service:  "engines",
		Zone:     "a",
		Draining: true,
		Place: roster.Place{
			Group: "leaving",
			Epoch: 1,
			Rank:  1,
			State: roster.Ready,
		},
	})
	chosen, err := bch.counts(8, 0)
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, chosen, qt.DeepEquals, map[string]int{"whole": 8})
}

// Replays a burst at two groups, of which the other daemons have just filled one.
func TestWorkOfOtherDaemonsCounts(tst *testing.T) {
	bch := newBench()
	bch.group("one", "a", roster.Ready)
	bch.group("two", "a", roster.Ready)
	bch.viw.Take("entry-2", loadview.Announcement{
		Sequence: 1,
		Loads: []loadview.Load{
			{
				Server:   "one",
				Requests: 9,
				Unread:   9000,
			},
		},
	}, bch.now)
	chosen, err := bch.counts(6, 0)
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, chosen["two"] >= 5, qt.IsTrue, qt.Commentf("%v", chosen))
}

// Replays a lasting overload: what would wait too long is turned away, with the forecast to come back by.
// Replays a site whose daemons hear of each other every 400 ms: what they have sent since the last word is not in it, so
// that the emptiest group must not get everything.
func TestRequestsSinceTheLastWordAreSpread(tst *testing.T) {
	bch := newBench()
	for _, name := range []string{"one", "two", "three", "four"} {
		bch.group(name, "a", roster.Ready)
	}
	sequence := uint64(0)
	tell := func() {
		sequence++
		for num, name := range []string{"one", "two", "three"} {
			bch.viw.Take("entry-"+name, loadview.Announcement{
				Sequence: sequence,
				Loads: []loadview.Load{
					{
						Server:   name,
						Requests: 4 + num,
					},
				},
			}, bch.clk.Now())
		}
	}
	choose := func() string {
		pck, err := bch.plm.Choose(placement.Want{
			Service:      bch.svc,
			Model:        "recipes",
			PromptTokens: 1000,
			AnswerTokens: 100,
		}, bch.clk.Now())
		qt.Assert(tst, err, qt.IsNil)
		pck.Began()
		bch.clk.Advance(500 * time.Millisecond)
		pck.Release()
		return pck.Server.ID
	}
	// Until an answer has shown how long requests stay, the emptiest is best.
	tell()
	qt.Assert(tst, choose(), qt.Equals, "four")
	chosen := map[string]int{}
	for range 200 {
		tell()
		bch.clk.Advance(400 * time.Millisecond)
		chosen[choose()]++
	}
	qt.Assert(tst, chosen["four"] < 150, qt.IsTrue, qt.Commentf("%v", chosen))
	qt.Assert(tst, chosen["one"] > chosen["three"], qt.IsTrue, qt.Commentf("%v", chosen))
}

func TestOverloadIsTurnedAway(tst *testing.T) {
	bch := newBench()
	bch.group("one", "a", roster.Ready)
	chosen, err := bch.counts(200, 700*time.Millisecond)
	qt.Assert(tst, errors.Is(err, placement.ErrBusy), qt.IsTrue)
	qt.Assert(tst, chosen["one"] >= bch.svc.Engine.Slots && chosen["one"] < 40, qt.IsTrue, qt.Commentf("%v", chosen))
}

// Replays a group that lost a member: it takes requests on and sends nothing, so that a choice by load alone would
// send it more and more.
func TestSilentGroupGetsNoMore(tst *testing.T) {
	bch := newBench()
	bch.group("silent", "a", roster.Ready)
	bch.group("sound", "a", roster.Ready)
	for range 20 {
		bch.now = bch.now.Add(50 * time.Millisecond)
		bch.brd.Progress("sound", bch.now)
		_, err := bch.counts(1, 0)
		qt.Assert(tst, err, qt.IsNil)
	}
	chosen, err := bch.counts(10, 0)
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, chosen, qt.DeepEquals, map[string]int{"sound": 10})
}

// Replays a group that lost a member on a site of many daemons: one that waits there in vain spares the others their own
// request, unless another one gets bytes from it.
func TestSilenceOfOthersCounts(tst *testing.T) {
	bch := newBench()
	bch.group("silent", "a", roster.Ready)
	bch.group("sound", "a", roster.Ready)
	tell := func(daemon string, quiet, waiting time.Duration) {
		bch.viw.Take(daemon, loadview.Announcement{
			Sequence: uint64(bch.now.UnixNano()),
			Loads: []loadview.Load{
				{
					Server:   "silent",
					Requests: 1,
					Quiet:    quiet,
					Waiting:  waiting,
				},
			},
		}, bch.now)
	}
	tell("entry-1", 2*time.Second, 600*time.Millisecond)
	tell("entry-2", 10*time.Millisecond, 10*time.Millisecond)
	chosen, err := bch.counts(20, 0)
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, chosen["silent"] > 0, qt.IsTrue, qt.Commentf("%v", chosen))
	bch.now = bch.now.Add(time.Millisecond)
	// Another one has just sent a request there, which says nothing.
	tell("entry-2", time.Minute, 10*time.Millisecond)
	chosen, err = bch.counts(20, 0)
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, chosen, qt.DeepEquals, map[string]int{"sound": 20})
	// The requests that showed it have ended.
	bch.now = bch.now.Add(300 * time.Millisecond)
	bch.viw.Take("entry-1", loadview.Announcement{
		Sequence: uint64(bch.now.UnixNano()),
	}, bch.now)
	chosen, err = bch.counts(20, 0)
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, chosen, qt.DeepEquals, map[string]int{"sound": 20})
}

func TestColdRateIsKept(tst *testing.T) {
	bch := newBench()
	bch.apply(roster.Server{
		ID:        "cold",
		Service:   "engines",
		Zone:      "a",
		Models:    []string{"recipes"},
		ColdUntil: bch.now.Add(time.Minute),
		Place: roster.Place{
			Group: "cold",
			Epoch: 1,
			State: roster.Open,
		},
	})
	bch.register("cold-1", "cold", "a", 1, roster.Ready)
	chosen, err := bch.counts(20, 0)
	qt.Assert(tst, errors.Is(err, placement.ErrNone), qt.IsTrue)
	qt.Assert(tst, chosen["cold"], qt.Equals, 8)
}
