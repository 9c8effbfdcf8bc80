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

// fleet simulates a site whose daemons receive each other's messages without delay.
type fleet struct {
	clk     *clockwork.FakeClock
	daemons []hub.Daemon
	hubs    map[string]*hub.Selector
	plans   map[string]hub.Plan
	dead    map[string]bool
	// cut holds the zones that are partitioned from all others.
	cut map[string]bool
	// messages counts the messages of the last step by sender.
	messages map[string]int
}

func newFleet(zones, perZone int) *fleet {
	flt := &fleet{
		clk:   clockwork.NewFakeClock(),
		hubs:  map[string]*hub.Selector{},
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

// run lets all live daemons send their messages every step for the duration span.
func (flt *fleet) run(span time.Duration) {
	for range span / step {
		flt.clk.Advance(step)
		flt.messages = map[string]int{}
		for _, dmn := range flt.daemons {
			if flt.dead[dmn.Name] {
				continue
			}
			pln := flt.hubs[dmn.Name].Plan(flt.daemons)
			flt.plans[dmn.Name] = pln
			for _, rcp := range pln.Recipients {
				flt.messages[dmn.Name]++
				partitioned := dmn.AvailabilityZone != rcp.AvailabilityZone && (flt.cut[dmn.AvailabilityZone] || flt.cut[rcp.AvailabilityZone])
				if !flt.dead[rcp.Name] && !partitioned {
					flt.hubs[rcp.Name].RecordReceived(dmn.Name)
				}
			}
		}
	}
}

// informed reports whether some hub sends the state of the site to the daemon.
func (flt *fleet) informed(name string) bool {
	for _, pln := range flt.plans {
		for _, rcp := range pln.Recipients {
			if rcp.Name == name && rcp.Relation == hub.Member && pln.IsHub {
				return true
			}
		}
	}
	return false
}

func TestSmallSiteSendsToAll(tst *testing.T) {
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

// Guards against a number of messages that grows with the square of the fleet: on a site of 295 daemons, 86,730
// messages would be sent in each interval if each daemon sent to all others.
func TestMessagesGrowLinearly(tst *testing.T) {
	flt := newFleet(5, 59)
	flt.run(2 * time.Second)
	sum, most := 0, 0
	for _, num := range flt.messages {
		sum += num
		most = max(most, num)
	}
	qt.Assert(tst, sum <= 5*len(flt.daemons), qt.IsTrue, qt.Commentf("%d messages", sum))
	qt.Assert(tst, most <= 80, qt.IsTrue, qt.Commentf("%d messages of one daemon", most))
	hubs, ranks := 0, map[int]bool{}
	for _, dmn := range flt.daemons {
		pln := flt.plans[dmn.Name]
		if pln.IsHub {
			hubs++
			ranks[pln.Rank] = true
		}
		qt.Assert(tst, flt.informed(dmn.Name), qt.IsTrue)
	}
	qt.Assert(tst, hubs, qt.Equals, 10)
	qt.Assert(tst, ranks, qt.HasLen, 10)
}

// Guards against a zone that receives no state after both of its hubs are lost, and against one that keeps the
// replacements once its first hubs are back.
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
	qt.Assert(tst, flt.plans["entry-1-02"].IsHub, qt.IsTrue)
	qt.Assert(tst, flt.plans["entry-1-03"].IsHub, qt.IsTrue)
	clear(flt.dead)
	flt.run(4 * time.Second)
	qt.Assert(tst, flt.plans["entry-1-00"].IsHub, qt.IsTrue)
	qt.Assert(tst, flt.plans["entry-1-02"].IsHub, qt.IsFalse)
	qt.Assert(tst, flt.plans["entry-1-07"].Hubs, qt.DeepEquals, []string{"entry-1-00", "entry-1-01"})
}

// Guards against a zone that loses its own state when it is partitioned from the others: its hubs keep sending it.
func TestPartitionedZoneKeepsItsHubs(tst *testing.T) {
	flt := newFleet(3, 20)
	flt.run(time.Second)
	flt.cut["zone-2"] = true
	flt.run(4 * time.Second)
	for _, dmn := range flt.daemons {
		qt.Assert(tst, flt.informed(dmn.Name), qt.IsTrue)
	}
	flt.cut["zone-2"] = false
	flt.run(4 * time.Second)
	remoteHubs := 0
	for _, rcp := range flt.plans["entry-0-00"].Recipients {
		if rcp.Relation == hub.RemoteHub {
			remoteHubs++
		}
	}
	qt.Assert(tst, remoteHubs, qt.Equals, 4)
}
