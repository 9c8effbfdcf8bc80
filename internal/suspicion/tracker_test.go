package suspicion_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/suspicion"
)

// report returns the report of a daemon of the test site on a server, observed now.
func (sit *simSite) report(dmn, srv int, kind suspicion.Kind) suspicion.Report {
	return suspicion.Report{
		Server:    sit.servers[srv].ID,
		StartTime: sit.servers[srv].StartTime,
		Kind:      kind,
		Daemon:    sit.daemons[dmn].Name,
		Zone:      sit.daemons[dmn].AvailabilityZone,
	}
}

// counts returns the number of servers of each verdict at a daemon.
func (sit *simSite) counts(dmn int, repeatable bool) map[suspicion.Verdict]int {
	num := map[suspicion.Verdict]int{}
	for _, verdict := range sit.daemons[dmn].trk.Assess(sit.servers, repeatable, sit.now) {
		num[verdict]++
	}
	return num
}

// Guards against a daemon that is cut off, sees all servers fail, and empties availability zones by its reports. Those of a
// second daemon count.
func TestOneDaemonNeverEmptiesAZone(tst *testing.T) {
	sit := newSimSite(1, 6)
	observer, sameZone, elsewhere := 0, 3, 1
	for srv := range sit.servers {
		for _, dmn := range []int{sameZone, elsewhere} {
			for _, kind := range []suspicion.Kind{suspicion.Unreachable, suspicion.Stalled, suspicion.Reset} {
				sit.daemons[dmn].trk.Receive(sit.report(observer, srv, kind), false, sit.now)
			}
		}
	}
	qt.Assert(tst, sit.counts(sameZone, true), qt.DeepEquals, map[suspicion.Verdict]int{
		suspicion.Avoided: 2 * testZones,
		suspicion.Trusted: 4 * testZones,
	})
	qt.Assert(tst, sit.counts(elsewhere, true)[suspicion.RankedLast], qt.Equals, 2*testZones)
	single := newSimSite(1, 1)
	single.daemons[sameZone].trk.Receive(single.report(observer, 0, suspicion.Stalled), false, single.now)
	qt.Assert(tst, single.counts(sameZone, true)[suspicion.Trusted], qt.Equals, testZones)
	for srv := range sit.servers {
		sit.daemons[sameZone].trk.Receive(sit.report(6, srv, suspicion.Unreachable), false, sit.now)
	}
	qt.Assert(tst, sit.counts(sameZone, true)[suspicion.Avoided], qt.Equals, 6*testZones)
}

// Guards against reports that outlast what they are about: they age out, are about one process, and count neither after
// progress nor at a daemon that takes another path.
func TestReportsCountForALimitedTime(tst *testing.T) {
	sit := newSimSite(1, 6)
	dmn := sit.daemons[0]
	suspect := func() {
		for _, reporter := range []int{1, 2} {
			dmn.trk.Receive(sit.report(reporter, 0, suspicion.Stalled), false, sit.now)
		}
		qt.Assert(tst, sit.counts(0, true)[suspicion.Avoided], qt.Equals, 1)
	}
	suspect()
	dmn.out.RecordProgress(sit.servers[0].ID, sit.now.Add(time.Millisecond))
	qt.Assert(tst, sit.counts(0, true)[suspicion.Avoided], qt.Equals, 0)
	sit.now = sit.now.Add(time.Second)
	suspect()
	sit.servers[0].StartTime++
	qt.Assert(tst, sit.counts(0, true)[suspicion.Avoided], qt.Equals, 0)
	sit.servers[0].StartTime--
	sit.now = sit.now.Add(6 * time.Second)
	qt.Assert(tst, sit.counts(0, true)[suspicion.Avoided], qt.Equals, 0)
	outdated := sit.report(1, 0, suspicion.Stalled)
	outdated.Age = 6 * time.Second
	qt.Assert(tst, dmn.trk.Receive(outdated, true, sit.now), qt.IsFalse)
}

// Guards against a server that its own zone reports as unreachable and that a daemon reaches through another one.
func TestReportsOnLinksDoNotBarOtherPaths(tst *testing.T) {
	sit := newSimSite(1, 6)
	direct := true
	trk := suspicion.New(sit.daemons[0].Daemon, suspicion.Dependencies{
		Daemons:         sit.registered,
		Registrations:   sit.reg.View,
		LastProgress:    func(string) time.Time { return time.Time{} },
		ReachesDirectly: func(string) bool { return direct },
	})
	trk.ReportFailure(sit.servers[1].Process(), suspicion.Unreachable, sit.now)
	trk.Receive(sit.report(3, 1, suspicion.Unreachable), false, sit.now)
	qt.Assert(tst, trk.Assess(sit.servers, true, sit.now)[1], qt.Equals, suspicion.Avoided)
	direct = false
	qt.Assert(tst, trk.Assess(sit.servers, true, sit.now)[1], qt.Equals, suspicion.Trusted)
}

// Guards against a stalled server that is tried with a request that may not run twice, by several daemons at once, or by a
// daemon whose trials fail again and again.
func TestOneDaemonTriesASuspectedServer(tst *testing.T) {
	sit := newSimSite(1, 6)
	for _, reporter := range []int{1, 2} {
		sit.daemons[reporter].trk.ReportFailure(sit.servers[0].Process(), suspicion.Reset, sit.now)
		for _, dmn := range sit.daemons {
			dmn.trk.Receive(sit.report(reporter, 0, suspicion.Reset), false, sit.now)
		}
	}
	due := func(span time.Duration) []int {
		sit.now = sit.now.Add(span)
		var dmns []int
		for num, dmn := range sit.daemons {
			zone := dmn.AvailabilityZone
			qt.Assert(tst, sit.counts(num, false)[suspicion.DueForTrial], qt.Equals, 0)
			if sit.counts(num, true)[suspicion.DueForTrial] > 0 {
				qt.Assert(tst, zone == "b" || zone == "c", qt.IsTrue)
				dmns = append(dmns, num)
			}
		}
		return dmns
	}
	qt.Assert(tst, due(800*time.Millisecond), qt.HasLen, 0)
	first := due(110 * time.Millisecond)
	qt.Assert(tst, first, qt.HasLen, 1)
	qt.Assert(tst, len(due(time.Second)) > 5, qt.IsTrue)
	sit.now = sit.now.Add(-time.Second)
	qt.Assert(tst, sit.daemons[first[0]].trk.BeginTrial(sit.servers[0], sit.now), qt.IsTrue)
	for _, dmn := range sit.daemons {
		dmn.trk.Receive(sit.report(first[0], 0, suspicion.Trial), false, sit.now)
	}
	qt.Assert(tst, due(800*time.Millisecond), qt.HasLen, 0)
	second := due(110 * time.Millisecond)
	qt.Assert(tst, second, qt.HasLen, 1)
	qt.Assert(tst, second[0] != first[0], qt.IsTrue)
}

// Guards against reports that fill the links: each daemon sends one for each process within an interval, news is limited to
// a few reporters of each zone, and a message to a bounded number.
func TestReportsAreBounded(tst *testing.T) {
	sit := newSimSite(1, 30)
	trk := sit.daemons[0].trk
	prc := sit.servers[0].Process()
	sent := 0
	for range 100 {
		if trk.ReportFailure(prc, suspicion.Stalled, sit.now) {
			sent++
		}
		sit.now = sit.now.Add(10 * time.Millisecond)
	}
	qt.Assert(tst, sent, qt.Equals, 2)
	forwarded := 0
	for srv := range sit.servers {
		for dmn := range sit.daemons {
			if trk.Receive(sit.report(dmn, srv, suspicion.Unreachable), true, sit.now) {
				forwarded++
			}
		}
	}
	qt.Assert(tst, forwarded <= 2*testZones*len(sit.servers), qt.IsTrue, qt.Commentf("%d reports", forwarded))
	reps, next := trk.Unsent(0, sit.now)
	qt.Assert(tst, reps, qt.HasLen, 64)
	again, _ := trk.Unsent(next, sit.now)
	qt.Assert(tst, again[0] != reps[0], qt.IsTrue)
}
