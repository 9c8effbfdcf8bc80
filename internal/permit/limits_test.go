package permit_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cumintally/cumintally/internal/permit"
	"github.com/cumintally/cumintally/internal/permit/queue"
)

const (
	step       = 100 * time.Millisecond
	evidence   = 1500 * time.Millisecond
	settle     = 1800 * time.Millisecond
	loadTime   = 1600 * time.Millisecond
	longest    = 20 * time.Second
	reportLag  = time.Second
	warmAfter  = 12
	theGroup   = "recipes-1/0"
	maxDaemons = 6
)

var limits = permit.Config{
	ValidFor:       2 * time.Second,
	Settle:         settle,
	Margin:         100 * time.Millisecond,
	ReportLag:      reportLag,
	MaxRequest:     longest,
	AdjustInterval: 500 * time.Millisecond,
	Increase:       2,
	Decrease:       0.7,
	LateShare:      0.05,
	Spare:          2,
}

// server is an engine: it takes everything that it is sent and records the most requests while cold.
type server struct {
	incarnation uint64
	cold        bool
	// noticed is when every daemon must know that the server turned cold without a restart.
	noticed time.Time
	ready   time.Time
	done    int
	// running holds the end of each request; the engine goes on when the sender is gone.
	running []time.Time
	history []int
}

type daemon struct {
	name        string
	instance    uint64
	gone        bool
	pausedUntil time.Time
	lim         *permit.Limiter
	que         *queue.Queue
	heard       map[string]time.Time
	// views holds the daemons alive as other daemons said with their last ping.
	views map[string]peerView
	// aliveFor is the time after which this daemon takes a silent one for dead.
	aliveFor time.Duration
	sight    permit.Observation
	tickets  map[*queue.Ticket]time.Time
	asked    bool
	ask      permit.Ask
	askedAt  time.Time
	owner    string
	// grant is the answer on its way; the call takes delay to the owner and delay back.
	grant *permit.Grant
	delay time.Duration
}

type peerView struct {
	alive []string
	at    time.Time
}

// agreeFor is the time for which a view counts after it was heard.
const agreeFor = 1500 * time.Millisecond

// zone is a set of daemons in front of one server, moved on in steps.
type zone struct {
	now     time.Time
	srv     *server
	daemons []*daemon
	side    map[string]int
	// cut holds pairs of daemons that cannot reach each other, in both orders.
	cut      map[[2]string]bool
	coldMax  int
	warmMax  int
	names    int
	overflow string
	// events tells what happened, for the report of a failure.
	events []string
}

func (zon *zone) event(format string, args ...any) {
	zon.events = append(zon.events, fmt.Sprintf("%6v ", zon.now.Sub(start))+fmt.Sprintf(format, args...))
}

var start = time.Unix(1000, 0)

func newZone(coldLimit, daemons int) *zone {
	zon := &zone{
		now:     start,
		srv:     &server{incarnation: 1, cold: true},
		side:    map[string]int{},
		cut:     map[[2]string]bool{},
		coldMax: coldLimit,
		warmMax: 3 * coldLimit,
	}
	zon.srv.ready = zon.now.Add(loadTime)
	for range daemons {
		zon.join()
	}
	for _, dmn := range zon.daemons {
		for _, oth := range zon.daemons {
			dmn.heard[oth.name] = zon.now
		}
	}
	return zon
}

func (zon *zone) join() {
	zon.names++
	name := fmt.Sprintf("entry-%d", zon.names)
	dmn := &daemon{
		name:     name,
		instance: uint64(zon.names),
		aliveFor: settle,
		delay:    step,
		lim:      permit.New(name, limits),
		que:      queue.New(queue.Config{MaxWaiting: 8, Spare: 2, SpareFor: time.Second, Objective: time.Second}),
		heard:    map[string]time.Time{},
		views:    map[string]peerView{},
		tickets:  map[*queue.Ticket]time.Time{},
	}
	// A daemon starts with the platform's list of entry VMs, which its allocations come from as well.
	for _, oth := range zon.daemons {
		if !oth.gone {
			dmn.heard[oth.name] = time.Time{}
		}
	}
	zon.daemons = append(zon.daemons, dmn)
	zon.event("%s joins", dmn.name)
}

func (zon *zone) up(dmn *daemon) bool {
	return !dmn.gone && !zon.now.Before(dmn.pausedUntil)
}

func (zon *zone) linked(fst, snd *daemon) bool {
	return zon.up(fst) && zon.up(snd) && zon.side[fst.name] == zon.side[snd.name] && !zon.cut[[2]string{fst.name, snd.name}]
}

func (zon *zone) alive(dmn *daemon) []string {
	names := []string{dmn.name}
	for name, at := range dmn.heard {
		if name != dmn.name && zon.now.Sub(at) <= dmn.aliveFor {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// tick moves time on: membership, reports, calls to owners, ends of requests.
func (zon *zone) tick() {
	zon.now = zon.now.Add(step)
	srv := zon.srv
	srv.running = slices.DeleteFunc(srv.running, func(end time.Time) bool {
		if end.After(zon.now) {
			return false
		}
		srv.done++
		return true
	})
	if srv.cold && srv.done >= warmAfter {
		srv.cold = false
	}
	srv.history = append(srv.history, len(srv.running))
	for idx, fst := range zon.daemons {
		for _, snd := range zon.daemons[idx+1:] {
			if zon.linked(fst, snd) {
				zon.meet(fst, snd)
			}
		}
	}
	for _, dmn := range zon.daemons {
		zon.serve(dmn)
	}
	for _, dmn := range zon.daemons {
		if zon.up(dmn) {
			zon.work(dmn)
		}
	}
}

func (zon *zone) meet(fst, snd *daemon) {
	for _, name := range zon.heardNames(snd) {
		if _, ok := fst.heard[name]; !ok {
			fst.heard[name] = time.Time{}
		}
	}
	for _, name := range zon.heardNames(fst) {
		if _, ok := snd.heard[name]; !ok {
			snd.heard[name] = time.Time{}
		}
	}
	fst.heard[snd.name] = zon.now
	snd.heard[fst.name] = zon.now
	fst.views[snd.name] = peerView{
		alive: zon.alive(snd),
		at:    zon.now,
	}
	snd.views[fst.name] = peerView{
		alive: zon.alive(fst),
		at:    zon.now,
	}
}

// agreeing returns the daemons that lately had the same view as dmn.
func (zon *zone) agreeing(dmn *daemon) []string {
	alive := zon.alive(dmn)
	return slices.DeleteFunc(slices.Clone(alive), func(name string) bool {
		viw := dmn.views[name]
		return name != dmn.name && (zon.now.Sub(viw.at) > agreeFor || !slices.Equal(viw.alive, alive))
	})
}

func (zon *zone) heardNames(dmn *daemon) []string {
	names := []string{dmn.name}
	for name := range dmn.heard {
		names = append(names, name)
	}
	return names
}

func (zon *zone) work(dmn *daemon) {
	dmn.heard[dmn.name] = zon.now
	for tkt, end := range dmn.tickets {
		if !end.After(zon.now) {
			dmn.que.End(tkt, zon.now)
			delete(dmn.tickets, tkt)
		}
	}
	if zon.now.Sub(dmn.sight.AsOf) >= 400*time.Millisecond {
		// The load figures are a reading of up to ReportLag ago.
		past := max(0, len(zon.srv.history)-int(reportLag/step))
		dmn.sight = permit.Observation{
			Group:       theGroup,
			Fencing:     1,
			Incarnation: zon.srv.incarnation,
			Cold:        zon.srv.cold,
			ColdLimit:   zon.coldMax,
			WarmLimit:   zon.warmMax,
			Running:     zon.srv.history[past:][0],
			AsOf:        zon.now,
			Loading:     zon.now.Before(zon.srv.ready),
		}
		dmn.que.See(sight(dmn))
	}
	alive := zon.alive(dmn)
	dmn.lim.See(alive, zon.agreeing(dmn), len(dmn.heard), zon.now)
	for _, oth := range zon.daemons {
		if zon.linked(dmn, oth) {
			dmn.lim.Adopt(oth.lim.Roll())
		}
	}
	if alive[0] == dmn.name {
		dmn.lim.Observe(dmn.sight, zon.now)
	} else {
		dmn.lim.Disown(theGroup)
	}
	zon.call(dmn, alive[0])
}

func sight(dmn *daemon) queue.Sight {
	return queue.Sight{
		Fencing:     dmn.sight.Fencing,
		Incarnation: dmn.sight.Incarnation,
		Cold:        dmn.sight.Cold,
		AsOf:        dmn.sight.AsOf,
	}
}

// call sends an ask and takes the answer some steps later, so that pauses and requests fall between.
func (zon *zone) call(dmn *daemon, owner string) {
	if !dmn.asked {
		dmn.ask, dmn.asked = dmn.que.Ask(theGroup, zon.now)
		dmn.askedAt = zon.now
		dmn.owner = owner
		return
	}
	if zon.now.Sub(dmn.askedAt) >= 2*dmn.delay {
		dmn.asked = false
		dmn.que.Take(dmn.grant, dmn.askedAt, zon.now)
		dmn.grant = nil
	}
}

// serve lets the owner answer an ask when it arrives, whether or not its sender is paused meanwhile.
func (zon *zone) serve(dmn *daemon) {
	if !dmn.asked || zon.now.Sub(dmn.askedAt) != dmn.delay {
		return
	}
	for _, oth := range zon.daemons {
		if oth.name != dmn.owner || !zon.up(oth) || zon.side[oth.name] != zon.side[dmn.name] {
			continue
		}
		if grt, ok := oth.lim.Grant(dmn.name, dmn.instance, dmn.ask, zon.now); ok {
			zon.event("%s asked with %d running, holds %d, %s grants %d", dmn.name, dmn.ask.Running, dmn.ask.Hold, oth.name, grt.Slots)
			dmn.grant = &grt
		}
	}
}

// send sends every request of a daemon that has a slot, as the dispatcher does.
func (zon *zone) send(dmn *daemon, hold time.Duration, prompt bool) {
	srv := zon.srv
	for tkt, end := range dmn.tickets {
		if !end.Equal(never) {
			continue
		}
		select {
		case <-tkt.Ready:
		default:
			continue
		}
		if !prompt {
			continue
		}
		if zon.now.Sub(dmn.sight.AsOf) > evidence || dmn.que.Send(tkt, sight(dmn), zon.now) != nil || zon.now.Before(srv.ready) {
			dmn.que.End(tkt, zon.now)
			delete(dmn.tickets, tkt)
			continue
		}
		dmn.que.FirstToken(tkt, zon.now)
		dmn.tickets[tkt] = zon.now.Add(hold)
		srv.running = append(srv.running, zon.now.Add(hold))
		zon.event("%s sends until %v, running %d", dmn.name, zon.now.Add(hold).Sub(start), len(srv.running))
		if srv.cold && len(srv.running) > zon.coldMax && !zon.now.Before(srv.noticed) {
			zon.overflow = fmt.Sprintf("%s sent request %d to a cold server that bears %d", dmn.name, len(srv.running), zon.coldMax)
		}
	}
}

var never = time.Unix(1<<40, 0)

func (zon *zone) enter(dmn *daemon, priority int) {
	tkt := &queue.Ticket{
		Workspace: "polishing",
		Share:     1,
		Priority:  priority,
		Deadline:  zon.now.Add(longest),
	}
	if _, err := dmn.que.Enter(tkt, zon.now); err == nil {
		dmn.tickets[tkt] = never
	}
}

func (zon *zone) turnCold() {
	if zon.srv.cold {
		return
	}
	zon.event("server turns cold with %d running", len(zon.srv.running))
	zon.srv.cold = true
	zon.srv.done = 0
	zon.srv.noticed = zon.now.Add(evidence)
}

func (zon *zone) restart() {
	zon.srv.incarnation++
	zon.event("server restarts")
	zon.srv.cold = true
	zon.srv.done = 0
	zon.srv.running = nil
	zon.srv.ready = zon.now.Add(loadTime)
}

// TestColdLimitHolds guards against more requests at a cold server than it bears, over restarts of the
// server, crashes and pauses of daemons, joins and partitions of the zone.
func TestColdLimitHolds(t *testing.T) {
	rapid.Check(t, func(rpt *rapid.T) {
		zon := newZone(rapid.IntRange(1, 6).Draw(rpt, "coldLimit"), rapid.IntRange(2, 4).Draw(rpt, "daemons"))
		split := false
		for _, dmn := range zon.daemons {
			dmn.delay = time.Duration(rapid.IntRange(1, 4).Draw(rpt, "delay")) * step
			dmn.aliveFor = time.Duration(rapid.IntRange(4, int(settle/step)).Draw(rpt, "aliveFor")) * step
		}
		for range rapid.IntRange(20, 400).Draw(rpt, "steps") {
			dmn := zon.daemons[rapid.IntRange(0, len(zon.daemons)-1).Draw(rpt, "daemon")]
			switch act := rapid.IntRange(0, 40).Draw(rpt, "action"); {
			case act <= 24 && zon.up(dmn):
				for range act % 4 {
					zon.enter(dmn, act%3)
				}
			case act == 25:
				zon.restart()
			case act == 31:
				zon.turnCold()
			case act == 26:
				dmn.gone = true
				zon.event("%s crashes", dmn.name)
			case act == 27 && len(zon.daemons) < maxDaemons:
				zon.join()
			case act == 28:
				dmn.pausedUntil = zon.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(rpt, "pause")) * step)
				zon.event("%s pauses until %v", dmn.name, dmn.pausedUntil.Sub(start))
			case act == 29 && !split:
				split = true
				for _, oth := range zon.daemons {
					zon.side[oth.name] = rapid.IntRange(0, 1).Draw(rpt, "side")
				}
				zon.event("zone splits: %v", zon.side)
			case act == 32:
				oth := zon.daemons[rapid.IntRange(0, len(zon.daemons)-1).Draw(rpt, "other")]
				zon.cut[[2]string{dmn.name, oth.name}] = true
				zon.cut[[2]string{oth.name, dmn.name}] = true
				zon.event("%s and %s are cut apart", dmn.name, oth.name)
			case act == 33:
				zon.cut = map[[2]string]bool{}
				zon.event("cuts heal")
			case act == 30 && split:
				split = false
				zon.side = map[string]int{}
				zon.event("zone heals")
			}
			zon.tick()
			for _, oth := range zon.daemons {
				if zon.up(oth) {
					zon.send(oth, time.Duration(rapid.IntRange(1, 80).Draw(rpt, "hold"))*step, rapid.IntRange(0, 3).Draw(rpt, "prompt") > 0)
				}
			}
			if zon.overflow != "" {
				rpt.Fatalf("%s\n%s", zon.overflow, strings.Join(zon.events, "\n"))
			}
		}
	})
}

// TestLimitGrows guards against a limit that stays at the cold limit once the server is warm.
func TestLimitGrows(t *testing.T) {
	zon := newZone(2, 3)
	for range 400 {
		for _, dmn := range zon.daemons {
			zon.enter(dmn, 0)
		}
		zon.tick()
		for _, dmn := range zon.daemons {
			zon.send(dmn, 5*step, true)
		}
	}
	qt.Assert(t, zon.overflow, qt.Equals, "")
	qt.Assert(t, zon.srv.cold, qt.IsFalse)
	qt.Assert(t, len(zon.srv.running), qt.Equals, 6)
}
