package hub_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/hub"
)

const step = 100 * time.Millisecond

// fleet is a site whose daemons hear each other at once.
type fleet struct {
	clk     *clockwork.FakeClock
	daemons []hub.Daemon
	hubs    map[string]*hub.Hubs
	plans   map[string]hub.Plan
	dead    map[string]bool
	// cut holds zones that do not reach any other.
	cut map[string]bool
	// words counts the words of the last step, by sender.
	words map[string]int
}

func newFleet(zones, perZone int) *fleet {
	flt := &fleet{
		clk:   clockwork.NewFakeClock(),
		hubs:  map[string]*hub.Hubs{},
		plans: map[string]hub.Plan{},
		dead:  map[string]bool{},
		cut:   map[string]bool{},
	}
	for zone := range zones {
		for num := range perZone {
			dmn := hub.Daemon{
				Name:             fmt.Sprintf("entry-%d-%02d", zone, num),
				AvailabilityZone: fmt.Sprintf("zone-%d", zone),
			}
			flt.daemons = append(flt.daemons, dmn)
			flt.hubs[dmn.Name] = hub.New(dmn.Name, dmn.AvailabilityZone, flt.clk)
		}
	}
	return flt
}

// run lets all daemons speak for a time.
func (flt *fleet) run(span time.Duration) {
	for range span / step {
		flt.clk.Advance(step)
		flt.words = map[string]int{}
		for _, dmn := range flt.daemons {
			if flt.dead[dmn.Name] {
				continue
			}
			pln := flt.hubs[dmn.Name].Plan(flt.daemons)
			flt.plans[dmn.Name] = pln
			for _, rcp := range pln.Recipients {
				flt.words[dmn.Name]++
				away := dmn.AvailabilityZone != rcp.AvailabilityZone && (flt.cut[dmn.AvailabilityZone] || flt.cut[rcp.AvailabilityZone])
				if !flt.dead[rcp.Name] && !away {
					flt.hubs[rcp.Name].Hear(dmn.Name)
				}
			}
		}
	}
}

// informed reports whether each daemon is told something by a hub that all hubs of sound zones tell something.
func (flt *fleet) informed(name string) bool {
	for _, pln := range flt.plans {
		for _, rcp := range pln.Recipients {
			if rcp.Name == name && rcp.Relation == hub.Member && pln.Hub {
				return true
			}
		}
	}
	return false
}

func TestSmallSiteTellsAll(tst *testing.T) {
	flt := newFleet(3, 4)
	flt.run(time.Second)
	ranks := map[int]bool{}
	for _, dmn := range flt.daemons {
		pln := flt.plans[dmn.Name]
		qt.Assert(tst, pln.Recipients, qt.HasLen, 11)
		ranks[pln.Rank] = true
	}
	qt.Assert(tst, ranks, qt.HasLen, 12)
}

// Replays a site of 295 daemons, on which 86,730 words an interval would pass if each told all others.
func TestWordsGrowWithTheFleet(tst *testing.T) {
	flt := newFleet(5, 59)
	flt.run(2 * time.Second)
	sum, most := 0, 0
	for _, num := range flt.words {
		sum += num
		most = max(most, num)
	}
	qt.Assert(tst, sum <= 5*len(flt.daemons), qt.IsTrue, qt.Commentf("%d words", sum))
	qt.Assert(tst, most <= 80, qt.IsTrue, qt.Commentf("%d words of one daemon", most))
	hubs, ranks := 0, map[int]bool{}
	for _, dmn := range flt.daemons {
		pln := flt.plans[dmn.Name]
		if pln.Hub {
			hubs++
			ranks[pln.Rank] = true
		}
		qt.Assert(tst, flt.informed(dmn.Name), qt.IsTrue)
	}
	qt.Assert(tst, hubs, qt.Equals, 10)
	qt.Assert(tst, ranks, qt.HasLen, 10)
}

// Guards against a zone that is told nothing after both of its hubs are lost, and against one that stays on the
// replacements once they are back.
func TestLostHubsAreReplaced(tst *testing.T) {
	flt := newFleet(3, 20)
	flt.run(time.Second)
	flt.dead["entry-1-00"] = true
	flt.dead["entry-1-01"] = true
	flt.run(3 * time.Second)
	for _, dmn := range flt.daemons {
		if !flt.dead[dmn.Name] {
			qt.Assert(tst, flt.informed(dmn.Name), qt.IsTrue, qt.Commentf(dmn.Name))
		}
	}
	qt.Assert(tst, flt.plans["entry-1-02"].Hub, qt.IsTrue)
	qt.Assert(tst, flt.plans["entry-1-03"].Hub, qt.IsTrue)
	clear(flt.dead)
	flt.run(4 * time.Second)
	qt.Assert(tst, flt.plans["entry-1-00"].Hub, qt.IsTrue)
	qt.Assert(tst, flt.plans["entry-1-02"].Hub, qt.IsFalse)
	qt.Assert(tst, flt.plans["entry-1-07"].Hubs, qt.DeepEquals, []string{"entry-1-00", "entry-1-01"})
}

// Guards against a zone that is cut off and stops being told what it does itself.
func TestZoneThatIsCutOffKeepsItsHubs(tst *testing.T) {
	flt := newFleet(3, 20)
	flt.run(time.Second)
	flt.cut["zone-2"] = true
	flt.run(4 * time.Second)
	for _, dmn := range flt.daemons {
		qt.Assert(tst, flt.informed(dmn.Name), qt.IsTrue)
	}
	flt.cut["zone-2"] = false
	flt.run(4 * time.Second)
	abroad := 0
	for _, rcp := range flt.plans["entry-0-00"].Recipients {
		if rcp.Relation == hub.Abroad {
			abroad++
		}
	}
	qt.Assert(tst, abroad, qt.Equals, 4)
}
