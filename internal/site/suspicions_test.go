package site

import (
	"context"
	"encoding/hex"
	"fmt"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/suspicion"
)

// suspicionSite is a few running daemons of a large site: two hubs and one other daemon of each of two zones.
type suspicionSite struct {
	daemons map[string]*Daemon
	servers []*serverregistry.Server
}

// startSuspicionSite starts the daemons. What they send each other is encoded and decoded; the other daemons are silent.
func startSuspicionSite(tst *testing.T) *suspicionSite {
	sit := &suspicionSite{
		daemons: map[string]*Daemon{},
	}
	var chgs []serverregistry.Change
	for num := range 6 {
		srv := &serverregistry.Server{
			ID:        fmt.Sprintf("vm-%d", num),
			Address:   fmt.Sprintf("127.0.0.1:%d", 1+num),
			Service:   "calls",
			Zone:      zoneName(0),
			StartTime: 5,
		}
		sit.servers = append(sit.servers, srv)
		chgs = append(chgs, serverregistry.Change{
			Server: *srv,
		})
	}
	for zne := range 2 {
		for _, num := range []int{0, 1, 30} {
			dmn, _ := newTestDaemon(tst, daemonName(zne, num), zoneName(zne))
			dmn.dep.Suspicions.enabled = true
			dmn.dep.StoreCache.registry.Apply(chgs, time.Now())
			sit.daemons[daemonName(zne, num)] = dmn
		}
	}
	ctx, cancel := context.WithCancel(tst.Context())
	var wgr sync.WaitGroup
	tst.Cleanup(func() {
		cancel()
		wgr.Wait()
	})
	for _, dmn := range sit.daemons {
		from := peer.Identity{
			Name:             dmn.dep.Settings.Entry.Name,
			AvailabilityZone: dmn.dep.Settings.Entry.AvailabilityZone,
		}
		dmn.dep.Gossip.transmit = func(_ context.Context, adr, kind string, body any) error {
			return sit.deliver(from, adr, kind, body)
		}
	}
	for _, dmn := range sit.daemons {
		wgr.Go(func() { dmn.dep.Gossip.run(ctx) })
		wgr.Go(func() { dmn.dep.Suspicions.run(ctx, dmn.dep.Placement) })
	}
	return sit
}

func (sit *suspicionSite) deliver(from peer.Identity, adr, kind string, body any) error {
	dmn, ok := sit.daemons[adr]
	if !ok {
		return nil
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	switch kind {
	case frameKindGossip:
		var msg gossipMessage
		if err := cbor.Unmarshal(data, &msg); err != nil {
			return err
		}
		dmn.dep.Gossip.receive(from, msg)
	case frameKindSuspicions:
		var msg suspicionMessage
		if err := cbor.Unmarshal(data, &msg); err != nil {
			return err
		}
		dmn.dep.Suspicions.receive(msg)
	}
	return nil
}

// verdict returns how a daemon uses a server.
func (sit *suspicionSite) verdict(dmn string, num int) suspicion.Verdict {
	verdicts := sit.daemons[dmn].dep.Suspicions.trk.Assess(sit.servers, true, time.Now())
	if verdicts == nil {
		return suspicion.Trusted
	}
	return verdicts[num]
}

// Guards against a failure that the daemons of other zones learn of only when they encounter it, against one that is known
// for longer than it lasts, and against ejections that outlast it.
func TestFailureIsKnownAcrossTheSite(tst *testing.T) {
	sit := startSuspicionSite(tst)
	reporter, other := sit.daemons[daemonName(0, 30)], sit.daemons[daemonName(0, 1)]
	distant := daemonName(1, 30)
	eventually(tst, func() bool { return sit.daemons[daemonName(1, 0)].dep.StoreCache.forwards.Load() })
	eventually(tst, func() bool { return sit.daemons[daemonName(0, 0)].dep.StoreCache.forwards.Load() })
	reporter.dep.Suspicions.reportFailure(sit.servers[0], suspicion.Stalled, time.Now())
	eventually(tst, func() bool { return sit.verdict(distant, 0) == suspicion.RankedLast })
	qt.Assert(tst, sit.verdict(daemonName(0, 0), 0), qt.Equals, suspicion.Avoided)
	sit.daemons[daemonName(1, 1)].dep.Suspicions.reportFailure(sit.servers[0], suspicion.Stalled, time.Now())
	eventually(tst, func() bool { return sit.verdict(distant, 0) == suspicion.Avoided })
	out := sit.daemons[distant].dep.Suspicions.out
	out.Eject("vm-0", time.Now())
	other.dep.Suspicions.out.RecordProgress("vm-0", time.Now())
	eventually(tst, func() bool { return sit.verdict(distant, 0) == suspicion.Trusted })
	eventually(tst, func() bool { return out.Usable("vm-0", time.Now()) })
}

// Guards against hubs whose links are full of reports while all daemons of a zone report 27 servers that they cannot reach, and
// get progress from each of them in turn.
func TestReportsLeaveLinksOfHubsFree(tst *testing.T) {
	const (
		servers = 27
		// trialInterval is the time after which a suspected server is tried again, and can be reported or make progress.
		trialInterval = 900 * time.Millisecond
		measured      = 3 * time.Second
	)
	dmn, snt := newTestDaemon(tst, daemonName(0, 1), zoneName(0))
	var chgs []serverregistry.Change
	for num := range servers {
		chgs = append(chgs, serverregistry.Change{
			Server: serverregistry.Server{
				ID:        fmt.Sprintf("i-%010d", num),
				StartTime: 1780844084752,
			},
		})
	}
	dmn.dep.StoreCache.registry.Apply(chgs, time.Now())
	ctx, cancel := context.WithTimeout(tst.Context(), measured)
	defer cancel()
	var wgr sync.WaitGroup
	wgr.Go(func() { dmn.dep.Gossip.run(ctx) })
	kinds := []suspicion.Kind{suspicion.Unreachable, suspicion.Progress}
	for num := uint64(0); ctx.Err() == nil; num++ {
		receiveLoads(dmn, true, num+1)
		for reporter := 2; reporter < testDaemonsPerZone; reporter++ {
			var msg suspicionMessage
			for _, chg := range chgs {
				msg.Reports = append(msg.Reports, suspicion.Report{
					Server:    chg.Server.ID,
					StartTime: chg.Server.StartTime,
					Kind:      kinds[num%2],
					Daemon:    daemonName(0, reporter),
					Zone:      zoneName(0),
				})
			}
			dmn.dep.Suspicions.receive(msg)
		}
		time.Sleep(trialInterval / 2)
	}
	wgr.Wait()
	rate := float64(snt.toAll()) / measured.Seconds()
	tst.Logf("%.0f kB/s", rate/1e3)
	qt.Assert(tst, rate < testLinkRate/2, qt.IsTrue, qt.Commentf("%.0f kB/s on a link of %.0f", rate/1e3, testLinkRate/1e3))
}

// exampleSuspicions returns a message on failures in which every field is set.
func exampleSuspicions() suspicionMessage {
	return suspicionMessage{
		Reports: []suspicion.Report{
			{
				Server:    "vm-1",
				StartTime: 5,
				Kind:      suspicion.Unreachable,
				Daemon:    "entry-1",
				Zone:      "zone-a",
				Age:       time.Second,
			},
		},
	}
}

// Guards against messages on failures that this version writes or reads otherwise than the one that introduced them, and
// against fields and kinds of later versions that make it refuse a message.
func TestSuspicionsAreReadByOtherVersions(tst *testing.T) {
	checkMessage(tst, filepath.Join("testdata", "suspicions", "suspicions.hex"), exampleSuspicions())
	later, err := cbor.Marshal(map[string]any{
		"Reports": []map[string]any{
			{
				"Server":  "vm-1",
				"Kind":    "Slow",
				"Unknown": 1,
			},
		},
		"Unknown": []string{"b"},
	})
	qt.Assert(tst, err, qt.IsNil)
	var msg suspicionMessage
	qt.Assert(tst, cbor.Unmarshal(later, &msg), qt.IsNil)
	dmn, _ := newTestDaemon(tst, daemonName(0, 30), zoneName(0))
	dmn.dep.Suspicions.receive(msg)
	qt.Assert(tst, dmn.dep.Suspicions.trk.Suspected(), qt.Equals, 0)
}

// Guards against a daemon of an earlier version that closes the link on a message on failures: it must get what follows.
func TestEarlierVersionsIgnoreSuspicions(tst *testing.T) {
	const key = "a shared key of thirty-two bytes"
	earlier := peer.New(peer.Identity{
		Name: "earlier",
	}, []byte(key), metrics.NewRegistry(), zap.NewNop())
	received := make(chan string, 1)
	earlier.Handle(frameKindCrashes, func(_ context.Context, _ peer.Identity, body []byte) (any, error) {
		received <- hex.EncodeToString(body)
		return nil, nil
	})
	srv := httptest.NewServer(earlier)
	defer srv.Close()
	defer earlier.Close()
	msh := peer.New(peer.Identity{
		Name: "later",
	}, []byte(key), metrics.NewRegistry(), zap.NewNop())
	defer msh.Close()
	adr := strings.TrimPrefix(srv.URL, "http://")
	qt.Assert(tst, msh.Send(tst.Context(), adr, frameKindSuspicions, exampleSuspicions()), qt.IsNil)
	link := msh.LinkNumber(adr)
	qt.Assert(tst, msh.Send(tst.Context(), adr, frameKindCrashes, exampleCrashes()), qt.IsNil)
	data, err := cbor.Marshal(exampleCrashes())
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, <-received, qt.Equals, hex.EncodeToString(data))
	qt.Assert(tst, msh.LinkNumber(adr), qt.Equals, link)
}
