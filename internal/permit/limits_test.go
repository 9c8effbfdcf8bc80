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
	step           = 100 * time.Millisecond
	maxReportAge   = 1500 * time.Millisecond
	settle         = 1800 * time.Millisecond
	loadTime       = 1600 * time.Millisecond
	maxRequestTime = 20 * time.Second
	reportLag      = time.Second
	warmAfter      = 12
	testGroup      = "recipes-1/0"
	maxDaemons     = 6
)

var limits = permit.Config{
	ValidFor:       2 * time.Second,
	Settle:         settle,
	ClockMargin:    100 * time.Millisecond,
	ReportLag:      reportLag,
	MaxRequest:     maxRequestTime,
	AdjustInterval: 500 * time.Millisecond,
	Increase:       2,
	DecreaseFactor: 0.7,
	LateShare:      0.05,
	SpareSlots:     2,
}

// server is an engine. It accepts every request that it is sent and records the number of running requests.
type server struct {
	incarnation uint64
	cold        bool
	// coldKnownAt is the time by which every daemon must know that the server turned cold without a restart.
	coldKnownAt time.Time
	ready       time.Time
	completed   int
	// running holds the end time of each request. The engine continues when the sender has crashed.
	running []time.Time
	history []int
}

type daemon struct {
	name        string
	instance    uint64
	crashed     bool
	pausedUntil time.Time
	lim         *permit.Limiter
	que         *queue.Queue
	lastPing    map[string]time.Time
	// views holds the views that other daemons sent with their last ping.
	views map[string]peerView
	// suspectAfter is the time without a ping after which this daemon considers another one dead.
	suspectAfter time.Duration
	report       permit.GroupReport
	tickets      map[*queue.Ticket]time.Time
	callInFlight bool
	request      permit.SlotRequest
	sentAt       time.Time
	owner        string
	// grant is the response in flight. The call takes delay to the owner and the response delay back.
	grant *permit.Grant
	delay time.Duration
}

type peerView struct {
	alive []string
	at    time.Time
}

// viewMaxAge is the time for which a view of another daemon counts after it was received.
const viewMaxAge = 1500 * time.Millisecond

// zone is a simulation, in steps, of a set of daemons that send to one server.
type zone struct {
	now       time.Time
	srv       *server
	daemons   []*daemon
	partition map[string]int
	// cutLinks holds the pairs of daemons that cannot reach each other, in both orders.
	cutLinks  map[[2]string]bool
	coldLimit int
	warmLimit int
	joined    int
	violation string
	// events is the log that is printed if the test fails.
	events []string
}

func (zon *zone) recordEvent(format string, args ...any) {
	zon.events = append(zon.events, fmt.Sprintf("%6v ", zon.now.Sub(start))+fmt.Sprintf(format, args...))
}

var start = time.Unix(1000, 0)

func newZone(coldLimit, daemons int) *zone {
	zon := &zone{
		now:       start,
		srv:       &server{incarnation: 1, cold: true},
		partition: map[string]int{},
		cutLinks:  map[[2]string]bool{},
		coldLimit: coldLimit,
		warmLimit: 3 * coldLimit,
	}
	zon.srv.ready = zon.now.Add(loadTime)
	for range daemons {
		zon.join()
	}
	for _, dmn := range zon.daemons {
		for _, oth := range zon.daemons {
			dmn.lastPing[oth.name] = zon.now
		}
	}
	return zon
}

func (zon *zone) join() {
	zon.joined++
	name := fmt.Sprintf("entry-%d", zon.joined)
	dmn := &daemon{
		name:         name,
		instance:     uint64(zon.joined),
		suspectAfter: settle,
		delay:        step,
		lim:          permit.New(name, limits),
		que:          queue.New(queue.Config{MaxWaiting: 8, SpareSlots: 2, KeepSpareFor: time.Second, FirstTokenObjective: time.Second}),
		lastPing:     map[string]time.Time{},
		views:        map[string]peerView{},
		tickets:      map[*queue.Ticket]time.Time{},
	}
	// A daemon starts with the platform's list of entry VMs, from which it also has its allocations.
	for _, oth := range zon.daemons {
		if !oth.crashed {
			dmn.lastPing[oth.name] = time.Time{}
		}
	}
	zon.daemons = append(zon.daemons, dmn)
	zon.recordEvent("%s joins", dmn.name)
}

func (zon *zone) up(dmn *daemon) bool {
	return !dmn.crashed && !zon.now.Before(dmn.pausedUntil)
}

func (zon *zone) linked(fst, snd *daemon) bool {
	return zon.up(fst) && zon.up(snd) && zon.partition[fst.name] == zon.partition[snd.name] && !zon.cutLinks[[2]string{fst.name, snd.name}]
}

func (zon *zone) alive(dmn *daemon) []string {
	names := []string{dmn.name}
	for name, at := range dmn.lastPing {
		if name != dmn.name && zon.now.Sub(at) <= dmn.suspectAfter {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// advance moves the time forward by one step: ends of requests, membership, calls to owners, reports.
func (zon *zone) advance() {
	zon.now = zon.now.Add(step)
	srv := zon.srv
	srv.running = slices.DeleteFunc(srv.running, func(end time.Time) bool {
		if end.After(zon.now) {
			return false
		}
		srv.completed++
		return true
	})
	if srv.cold && srv.completed >= warmAfter {
		srv.cold = false
	}
	srv.history = append(srv.history, len(srv.running))
	for idx, fst := range zon.daemons {
		for _, snd := range zon.daemons[idx+1:] {
			if zon.linked(fst, snd) {
				zon.exchangePings(fst, snd)
			}
		}
	}
	for _, dmn := range zon.daemons {
		zon.answerCall(dmn)
	}
	for _, dmn := range zon.daemons {
		if zon.up(dmn) {
			zon.stepDaemon(dmn)
		}
	}
}

func (zon *zone) exchangePings(fst, snd *daemon) {
	for _, name := range zon.knownNames(snd) {
		if _, ok := fst.lastPing[name]; !ok {
			fst.lastPing[name] = time.Time{}
		}
	}
	for _, name := range zon.knownNames(fst) {
		if _, ok := snd.lastPing[name]; !ok {
			snd.lastPing[name] = time.Time{}
		}
	}
	fst.lastPing[snd.name] = zon.now
	snd.lastPing[fst.name] = zon.now
	fst.views[snd.name] = peerView{
		alive: zon.alive(snd),
		at:    zon.now,
	}
	snd.views[fst.name] = peerView{
		alive: zon.alive(fst),
		at:    zon.now,
	}
}

// agreeing returns the daemons whose last recent view equals that of dmn.
func (zon *zone) agreeing(dmn *daemon) []string {
	alive := zon.alive(dmn)
	return slices.DeleteFunc(slices.Clone(alive), func(name string) bool {
		viw := dmn.views[name]
		return name != dmn.name && (zon.now.Sub(viw.at) > viewMaxAge || !slices.Equal(viw.alive, alive))
	})
}

func (zon *zone) knownNames(dmn *daemon) []string {
	names := []string{dmn.name}
	for name := range dmn.lastPing {
		names = append(names, name)
	}
	return names
}

func (zon *zone) stepDaemon(dmn *daemon) {
	dmn.lastPing[dmn.name] = zon.now
	for tkt, end := range dmn.tickets {
		if !end.After(zon.now) {
			dmn.que.Release(tkt, zon.now)
			delete(dmn.tickets, tkt)
		}
	}
	if zon.now.Sub(dmn.report.AsOf) >= 400*time.Millisecond {
		// The load figures are as old as ReportLag allows.
		past := max(0, len(zon.srv.history)-int(reportLag/step))
		dmn.report = permit.GroupReport{
			Group:       testGroup,
			Fencing:     1,
			Incarnation: zon.srv.incarnation,
			Cold:        zon.srv.cold,
			ColdLimit:   zon.coldLimit,
			WarmLimit:   zon.warmLimit,
			Running:     zon.srv.history[past:][0],
			AsOf:        zon.now,
			Loading:     zon.now.Before(zon.srv.ready),
		}
		dmn.que.RecordReport(queueReport(dmn))
	}
	alive := zon.alive(dmn)
	dmn.lim.UpdateView(alive, zon.agreeing(dmn), len(dmn.lastPing), zon.now)
	for _, oth := range zon.daemons {
		if zon.linked(dmn, oth) {
			dmn.lim.AdoptCompleteView(oth.lim.LastCompleteView())
		}
	}
	if alive[0] == dmn.name {
		dmn.lim.RecordReport(dmn.report, zon.now)
	} else {
		dmn.lim.DropGroup(testGroup)
	}
	zon.callOwner(dmn, alive[0])
}

func queueReport(dmn *daemon) queue.Report {
	return queue.Report{
		Fencing:     dmn.report.Fencing,
		Incarnation: dmn.report.Incarnation,
		Cold:        dmn.report.Cold,
		AsOf:        dmn.report.AsOf,
	}
}

// callOwner sends a slot request and applies the response some steps later, so that pauses and other requests can
// occur in between.
func (zon *zone) callOwner(dmn *daemon, owner string) {
	if !dmn.callInFlight {
		dmn.request, dmn.callInFlight = dmn.que.NextSlotRequest(testGroup, zon.now)
		dmn.sentAt = zon.now
		dmn.owner = owner
		return
	}
	if zon.now.Sub(dmn.sentAt) >= 2*dmn.delay {
		dmn.callInFlight = false
		dmn.que.ApplyGrant(dmn.grant, dmn.sentAt, zon.now)
		dmn.grant = nil
	}
}

// answerCall lets the owner handle a slot request when it arrives, even if the sender is paused by then.
func (zon *zone) answerCall(dmn *daemon) {
	if !dmn.callInFlight || zon.now.Sub(dmn.sentAt) != dmn.delay {
		return
	}
	for _, oth := range zon.daemons {
		if oth.name != dmn.owner || !zon.up(oth) || zon.partition[oth.name] != zon.partition[dmn.name] {
			continue
		}
		if grt, ok := oth.lim.Grant(dmn.name, dmn.instance, dmn.request, zon.now); ok {
			zon.recordEvent("%s requests slots with %d running, holds %d, %s grants %d", dmn.name, dmn.request.Running, dmn.request.HeldSlots, oth.name, grt.Slots)
			dmn.grant = &grt
		}
	}
}

// send sends the daemon's requests that have a slot, as the dispatcher does.
func (zon *zone) send(dmn *daemon, hold time.Duration, sendNow bool) {
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
		if !sendNow {
			continue
		}
		if zon.now.Sub(dmn.report.AsOf) > maxReportAge || dmn.que.MarkSent(tkt, queueReport(dmn), zon.now) != nil || zon.now.Before(srv.ready) {
			dmn.que.Release(tkt, zon.now)
			delete(dmn.tickets, tkt)
			continue
		}
		dmn.que.RecordFirstToken(tkt, zon.now)
		dmn.tickets[tkt] = zon.now.Add(hold)
		srv.running = append(srv.running, zon.now.Add(hold))
		zon.recordEvent("%s sends until %v, running %d", dmn.name, zon.now.Add(hold).Sub(start), len(srv.running))
		if srv.cold && len(srv.running) > zon.coldLimit && !zon.now.Before(srv.coldKnownAt) {
			zon.violation = fmt.Sprintf("%s sent request %d to a cold server with a limit of %d", dmn.name, len(srv.running), zon.coldLimit)
		}
	}
}

var never = time.Unix(1<<40, 0)

func (zon *zone) enqueue(dmn *daemon, priority int) {
	tkt := &queue.Ticket{
		Workspace: "polishing",
		Share:     1,
		Priority:  priority,
		Deadline:  zon.now.Add(maxRequestTime),
	}
	if _, err := dmn.que.Enqueue(tkt, zon.now); err == nil {
		dmn.tickets[tkt] = never
	}
}

func (zon *zone) turnCold() {
	if zon.srv.cold {
		return
	}
	zon.recordEvent("server turns cold with %d running", len(zon.srv.running))
	zon.srv.cold = true
	zon.srv.completed = 0
	zon.srv.coldKnownAt = zon.now.Add(maxReportAge)
}

func (zon *zone) restart() {
	zon.srv.incarnation++
	zon.recordEvent("server restarts")
	zon.srv.cold = true
	zon.srv.completed = 0
	zon.srv.running = nil
	zon.srv.ready = zon.now.Add(loadTime)
}

// TestColdLimitHolds guards against more requests at a cold server than its limit, during restarts of the server,
// crashes, pauses and joins of daemons, and partitions of the zone.
func TestColdLimitHolds(t *testing.T) {
	rapid.Check(t, func(rpt *rapid.T) {
		zon := newZone(rapid.IntRange(1, 6).Draw(rpt, "coldLimit"), rapid.IntRange(2, 4).Draw(rpt, "daemons"))
		partitioned := false
		for _, dmn := range zon.daemons {
			dmn.delay = time.Duration(rapid.IntRange(1, 4).Draw(rpt, "delay")) * step
			dmn.suspectAfter = time.Duration(rapid.IntRange(4, int(settle/step)).Draw(rpt, "aliveFor")) * step
		}
		for range rapid.IntRange(20, 400).Draw(rpt, "steps") {
			dmn := zon.daemons[rapid.IntRange(0, len(zon.daemons)-1).Draw(rpt, "daemon")]
			switch action := rapid.IntRange(0, 40).Draw(rpt, "action"); {
			case action <= 24 && zon.up(dmn):
				for range action % 4 {
					zon.enqueue(dmn, action%3)
				}
			case action == 25:
				zon.restart()
			case action == 31:
				zon.turnCold()
			case action == 26:
				dmn.crashed = true
				zon.recordEvent("%s crashes", dmn.name)
			case action == 27 && len(zon.daemons) < maxDaemons:
				zon.join()
			case action == 28:
				dmn.pausedUntil = zon.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(rpt, "pause")) * step)
				zon.recordEvent("%s pauses until %v", dmn.name, dmn.pausedUntil.Sub(start))
			case action == 29 && !partitioned:
				partitioned = true
				for _, oth := range zon.daemons {
					zon.partition[oth.name] = rapid.IntRange(0, 1).Draw(rpt, "side")
				}
				zon.recordEvent("zone is partitioned: %v", zon.partition)
			case action == 32:
				oth := zon.daemons[rapid.IntRange(0, len(zon.daemons)-1).Draw(rpt, "other")]
				zon.cutLinks[[2]string{dmn.name, oth.name}] = true
				zon.cutLinks[[2]string{oth.name, dmn.name}] = true
				zon.recordEvent("%s and %s cannot reach each other", dmn.name, oth.name)
			case action == 33:
				zon.cutLinks = map[[2]string]bool{}
				zon.recordEvent("all links work again")
			case action == 30 && partitioned:
				partitioned = false
				zon.partition = map[string]int{}
				zon.recordEvent("partition ends")
			}
			zon.advance()
			for _, oth := range zon.daemons {
				if zon.up(oth) {
					zon.send(oth, time.Duration(rapid.IntRange(1, 80).Draw(rpt, "hold"))*step, rapid.IntRange(0, 3).Draw(rpt, "prompt") > 0)
				}
			}
			if zon.violation != "" {
				rpt.Fatalf("%s\n%s", zon.violation, strings.Join(zon.events, "\n"))
			}
		}
	})
}

// TestLimitGrows guards against a limit that stays at the cold limit after the server has become warm.
func TestLimitGrows(t *testing.T) {
	zon := newZone(2, 3)
	for range 400 {
		for _, dmn := range zon.daemons {
			zon.enqueue(dmn, 0)
		}
		zon.advance()
		for _, dmn := range zon.daemons {
			zon.send(dmn, 5*step, true)
		}
	}
	qt.Assert(t, zon.violation, qt.Equals, "")
	qt.Assert(t, zon.srv.cold, qt.IsFalse)
	qt.Assert(t, len(zon.srv.running), qt.Equals, 6)
}
