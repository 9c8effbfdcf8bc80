package site

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/loadview"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/promptcrash"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/relay"
	"github.com/cumintally/cumintally/internal/settings"
)

// The site of the test has the size and the links of the largest deployment.
const (
	testZones          = 5
	testDaemonsPerZone = 59
	testGroupsPerZone  = 16
	// testLinkRate is the rate of the slowest link of an entry VM in bytes a second: 20 Mbit/s.
	testLinkRate = 20e6 / 8
)

// daemonName returns the name of a daemon; the first two of each zone are hubs.
func daemonName(zone, num int) string {
	return fmt.Sprintf("entry-%d-%02d", zone, num)
}

func zoneName(zone int) string {
	return fmt.Sprintf("zone-%d", zone)
}

// sentBytes counts the bytes that one daemon sends by receiver.
type sentBytes struct {
	mu    sync.Mutex
	total map[string]int
}

func (snt *sentBytes) transmit(_ context.Context, adr, kind string, body any) error {
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	snt.mu.Lock()
	defer snt.mu.Unlock()
	snt.total[adr] += len(kind) + len(data)
	return nil
}

// toAll returns the bytes that were sent to all receivers.
func (snt *sentBytes) toAll() int {
	snt.mu.Lock()
	defer snt.mu.Unlock()
	sum := 0
	for _, num := range snt.total {
		sum += num
	}
	return sum
}

// to returns the bytes that were sent to one receiver.
func (snt *sentBytes) to(adr string) int {
	snt.mu.Lock()
	defer snt.mu.Unlock()
	return snt.total[adr]
}

// newTestDaemon returns a daemon of a large site that is not running, and what it sends.
func newTestDaemon(tst *testing.T, name, zone string) (*Daemon, *sentBytes) {
	set, err := settings.New("", []string{
		"CUMINTALLY_ENTRY_NAME=" + name,
		"CUMINTALLY_ENTRY_AVAILABILITYZONE=" + zone,
		"CUMINTALLY_PLATFORM_PROTOCOL=Machines",
		"CUMINTALLY_PLATFORM_ADDRESS=127.0.0.1:1",
		"CUMINTALLY_LISTEN_CALLERS=127.0.0.1:1",
		"CUMINTALLY_LISTEN_READINESS=127.0.0.1:2",
		"CUMINTALLY_LISTEN_PEERS=127.0.0.1:3",
		"CUMINTALLY_PEERS_KEY=a shared key of thirty-two bytes",
	})
	qt.Assert(tst, err, qt.IsNil)
	dmn, err := New(set, zap.NewNop(), Dial)
	qt.Assert(tst, err, qt.IsNil)
	var objs []objects.Object
	for zne := range testZones {
		for num := range testDaemonsPerZone {
			val, err := json.Marshal(daemonRecord{
				AvailabilityZone: zoneName(zne),
				Address:          daemonName(zne, num),
			})
			qt.Assert(tst, err, qt.IsNil)
			objs = append(objs, objects.Object{
				Kind:  objects.KindDaemon,
				Name:  daemonName(zne, num),
				Value: val,
			})
		}
	}
	dmn.dep.StoreCache.applyDaemons(objs, true)
	snt := &sentBytes{
		total: map[string]int{},
	}
	dmn.dep.Gossip.transmit = snt.transmit
	dmn.dep.Gossip.linkNumber = func(string) uint64 { return 1 }
	return dmn, snt
}

// zoneLoads returns the loads that the daemons of a zone announce.
func zoneLoads(zone int) []loadview.Load {
	var loads []loadview.Load
	for num := range testGroupsPerZone {
		loads = append(loads, loadview.Load{
			Server:         fmt.Sprintf("i-%d%09d", zone, num),
			Requests:       12,
			UnreadTokens:   9000,
			SinceLastByte:  20 * time.Millisecond,
			ResponseDueFor: 30 * time.Millisecond,
		})
	}
	return loads
}

// receiveLoads passes on to a daemon what the hubs of the site, and the other daemons of its zone if it is a hub, send in one
// interval.
func receiveLoads(dmn *Daemon, isHub bool, sequence uint64) {
	for zne := range testZones {
		for num := range testDaemonsPerZone {
			from := peer.Identity{
				Name:             daemonName(zne, num),
				AvailabilityZone: zoneName(zne),
			}
			sendsTo := num < 2 && isHub || zne == 0 && (isHub || num < 2)
			if !sendsTo || from.Name == dmn.dep.Settings.Entry.Name {
				continue
			}
			msg := gossipMessage{
				Load: loadview.Announcement{
					Instance: 1,
					Sequence: sequence,
				},
			}
			if num < 2 {
				msg.ZoneLoad = &loadview.Sum{
					Daemons: testDaemonsPerZone,
					Loads:   zoneLoads(zne),
				}
			}
			dmn.dep.Gossip.receive(from, msg)
		}
	}
}

// crashAt returns the num-th crash of a test.
func crashAt(num int64) promptcrash.Crash {
	return promptcrash.Crash{
		Model:   "model-of-10",
		Parts:   []string{fmt.Sprintf("%08x", num%60)},
		Request: string(quarantine.FingerprintOf("model-of-10", fmt.Sprint(num))),
		Event:   fmt.Sprintf("i-%010d/1780844084752", num%900),
		SentAge: 200 * time.Millisecond,
	}
}

// reportCrash passes the num-th crash of a test on to a daemon: as its own observation, or as the news of the first hub of its
// zone.
func reportCrash(dmn *Daemon, num int64, isOwn bool) {
	crs := crashAt(num)
	if isOwn {
		idn := relay.Identity{
			Fingerprint: quarantine.Fingerprint(crs.Request),
			Model:       crs.Model,
			SharedParts: crs.Parts,
		}
		dmn.dep.Crashes.recordCrash(relay.Crash{
			Request: idn,
			Event:   crs.Event,
			SentAt:  time.Now(),
		}, time.Now())
		return
	}
	hub := peer.Identity{
		Name:             daemonName(0, 0),
		AvailabilityZone: zoneName(0),
	}
	dmn.dep.Crashes.receive(hub, crashMessage{
		Crashes: []promptcrash.Crash{
			crs,
		},
	})
	dmn.dep.Gossip.receive(hub, gossipMessage{
		Crashes: []quarantine.Crash{
			{
				Fingerprint: quarantine.Fingerprint(crs.Request),
				Event:       crs.Event,
			},
		},
	})
}

// Guards against hubs whose links are full of news of crashes when most sends fail, so that changes of the configuration, calls to
// the store and readiness checks wait for seconds.
func TestNewsOfCrashesLeavesLinksOfHubsFree(tst *testing.T) {
	const (
		crashInterval = 5 * time.Millisecond
		measured      = 3 * time.Second
	)
	tests := map[string]struct {
		name  string
		isHub bool
		// linkBytes returns the bytes at the link of a hub.
		linkBytes func(snt *sentBytes) int
	}{
		"sent by a hub": {
			name:      daemonName(0, 1),
			isHub:     true,
			linkBytes: (*sentBytes).toAll,
		},
		"sent to a hub by all others of its zone": {
			name:      daemonName(0, 30),
			linkBytes: func(snt *sentBytes) int { return snt.to(daemonName(0, 0)) * (testDaemonsPerZone - 1) },
		},
	}
	for title, tcs := range tests {
		tst.Run(title, func(tst *testing.T) {
			dmn, snt := newTestDaemon(tst, tcs.name, zoneName(0))
			ctx, cancel := context.WithTimeout(tst.Context(), measured)
			defer cancel()
			var wgr sync.WaitGroup
			wgr.Go(func() { dmn.dep.Gossip.run(ctx) })
			wgr.Go(func() {
				for sequence := uint64(1); ctx.Err() == nil; sequence++ {
					receiveLoads(dmn, tcs.isHub, sequence)
					time.Sleep(loadview.Interval(testZones * testDaemonsPerZone))
				}
			})
			for num := int64(1); ctx.Err() == nil; num++ {
				reportCrash(dmn, num, num%(testZones*testDaemonsPerZone) == 0)
				time.Sleep(crashInterval)
			}
			wgr.Wait()
			rate := float64(tcs.linkBytes(snt)) / measured.Seconds()
			qt.Assert(tst, rate < testLinkRate/2, qt.IsTrue, qt.Commentf("%.0f kB/s on a link of %.0f", rate/1e3, testLinkRate/1e3))
		})
	}
}

// Guards against hubs whose links are full of repeated lists of what is blocked, after an outage in which many prompt parts seemed to
// crash backend servers.
func TestBlockedPartsLeaveLinksOfHubsFree(tst *testing.T) {
	const (
		blocked       = 240
		blockInterval = 200 * time.Millisecond
		measured      = 3 * time.Second
	)
	dmn, snt := newTestDaemon(tst, daemonName(0, 1), zoneName(0))
	combination := func(num int) promptcrash.Combination {
		return promptcrash.Combination{
			Model: "model-of-10",
			Parts: []string{fmt.Sprintf("%08x", num), fmt.Sprintf("%08x", num+1)},
		}
	}
	for num := range blocked {
		dmn.dep.Crashes.trk.RecordBlocked(combination(num), time.Now())
	}
	ctx, cancel := context.WithTimeout(tst.Context(), measured)
	defer cancel()
	var wgr sync.WaitGroup
	wgr.Go(func() { dmn.dep.Gossip.run(ctx) })
	from := peer.Identity{
		Name:             daemonName(1, 0),
		AvailabilityZone: zoneName(1),
	}
	for num := blocked; ctx.Err() == nil; num++ {
		receiveLoads(dmn, true, uint64(num))
		dmn.dep.Crashes.receive(from, crashMessage{
			Blocked: []promptcrash.Combination{
				combination(num),
			},
		})
		time.Sleep(blockInterval)
	}
	wgr.Wait()
	rate := float64(snt.toAll()) / measured.Seconds()
	qt.Assert(tst, rate < testLinkRate/2, qt.IsTrue, qt.Commentf("%.0f kB/s on a link of %.0f", rate/1e3, testLinkRate/1e3))
}

// Guards against news that a peer misses since the connection broke on which it was in flight, and against news that is sent more
// than once over one connection.
func TestNewsIsSentOnceOverEachLink(tst *testing.T) {
	dmn, _ := newTestDaemon(tst, daemonName(0, 30), zoneName(0))
	gsp := dmn.dep.Gossip
	var link atomic.Uint64
	link.Store(1)
	gsp.linkNumber = func(string) uint64 { return link.Load() }
	var mu sync.Mutex
	sent := map[string][]string{}
	gsp.transmit = func(_ context.Context, adr, kind string, body any) error {
		mu.Lock()
		defer mu.Unlock()
		if msg, ok := body.(crashMessage); ok && kind == frameKindCrashes {
			for _, crs := range msg.Crashes {
				sent[adr] = append(sent[adr], crs.Event)
			}
		}
		return nil
	}
	ctx, cancel := context.WithCancel(tst.Context())
	var wgr sync.WaitGroup
	wgr.Go(func() { gsp.run(ctx) })
	defer wgr.Wait()
	defer cancel()
	received := func() []string {
		mu.Lock()
		defer mu.Unlock()
		return sent[daemonName(0, 0)]
	}
	reportCrash(dmn, 1, true)
	eventually(tst, func() bool { return len(received()) > 0 })
	reportCrash(dmn, 2, true)
	eventually(tst, func() bool { return len(received()) > 1 })
	time.Sleep(2 * loadview.Interval(testZones*testDaemonsPerZone))
	first, second := crashAt(1).Event, crashAt(2).Event
	qt.Assert(tst, received(), qt.DeepEquals, []string{first, second})
	link.Store(2)
	eventually(tst, func() bool { return len(received()) > 2 })
	qt.Assert(tst, received(), qt.DeepEquals, []string{first, second, first, second})
}
