package config_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/operator"
	"github.com/cumintally/cumintally/internal/standin/fleet"
	standin "github.com/cumintally/cumintally/internal/standin/platform"
)

// propagationLimit is the time within which an accepted generation must be in force at every daemon.
const propagationLimit = 5 * time.Second

var (
	daemons = flag.Int("daemons", 8, "number of daemons")
	changes = flag.Int("changes", 20, "number of changes in a burst")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(fleet.RunTests(m.Run))
}

func start(t *testing.T) (context.Context, *fleet.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	bin, err := fleet.Build()
	qt.Assert(t, err, qt.IsNil)
	flt, err := fleet.Start(ctx, fleet.Config{
		Binaries: bin,
		Folder:   t.TempDir(),
		Zones:    []string{"zone-1", "zone-2", "zone-3"},
		EntryVMs: *daemons,
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(flt.Kill)
	return ctx, flt
}

// newDocument returns a document of 50 workspaces; num selects one of them and its share.
func newDocument(num int) []byte {
	var bld strings.Builder
	bld.WriteString("AvailabilityZones:\n")
	for idx := range 3 {
		fmt.Fprintf(&bld, "  - {Name: zone-%d, Region: region-1}\n", idx+1)
	}
	bld.WriteString("Workspaces:\n")
	for idx := range 50 {
		share := 1
		if idx == num%50 {
			share = 2 + num/50
		}
		fmt.Fprintf(&bld, "  - {Name: workspace-%d, KeyHashes: [\"%064x\"], Share: %d}\n", idx, idx+1, share)
	}
	return []byte(bld.String())
}

// generations returns the generation in force at each daemon, or 0 for a daemon that does not respond.
func generations(ctx context.Context, flt *fleet.Fleet) []uint64 {
	gens := make([]uint64, len(flt.Entries))
	var wgr sync.WaitGroup
	for idx, ent := range flt.Entries {
		wgr.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if sta, err := fleet.Status(ctx, ent); err == nil {
				gens[idx] = sta.Generation
			}
		})
	}
	wgr.Wait()
	return gens
}

// waitInForce waits until gen or a later generation is in force at every daemon and returns the time it took.
func waitInForce(ctx context.Context, t *testing.T, flt *fleet.Fleet, gen uint64) time.Duration {
	t.Helper()
	begin := time.Now()
	for {
		lowest := gen
		gens := generations(ctx, flt)
		for _, current := range gens {
			lowest = min(lowest, current)
		}
		if lowest >= gen {
			return time.Since(begin)
		}
		if time.Since(begin) > 2*propagationLimit {
			t.Fatalf("generation %d is not in force after %v: %v", gen, time.Since(begin), gens)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// watcher polls the daemons during a test and records each one that reverts to a lower generation.
type watcher struct {
	stop    chan struct{}
	done    chan struct{}
	samples int
	reverts []string
}

func watch(ctx context.Context, flt *fleet.Fleet) *watcher {
	wat := &watcher{
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
	highest := map[string]uint64{}
	go func() {
		defer close(wat.done)
		for {
			select {
			case <-wat.stop:
				return
			default:
			}
			for idx, gen := range generations(ctx, flt) {
				name := flt.Entries[idx].Name
				if gen == 0 {
					continue
				}
				wat.samples++
				if gen < highest[name] {
					wat.reverts = append(wat.reverts, fmt.Sprintf("%s from %d to %d", name, highest[name], gen))
				}
				highest[name] = max(highest[name], gen)
			}
		}
	}()
	return wat
}

// finish stops the polling and fails the test if a daemon reverted.
func (wat *watcher) finish(t *testing.T) {
	t.Helper()
	close(wat.stop)
	<-wat.done
	t.Logf("never reverts: %d samples, %d violations", wat.samples, len(wat.reverts))
	qt.Assert(t, wat.reverts, qt.HasLen, 0)
}

// TestBurst guards against a burst of changes that is not in force at every daemon in time, and against a
// daemon that reverts to a lower generation during the burst.
func TestBurst(t *testing.T) {
	c := qt.New(t)
	ctx, flt := start(t)
	wat := watch(ctx, flt)
	var last uint64
	for num := range *changes {
		hed, err := fleet.Promote(ctx, flt.Entries[num%len(flt.Entries)], newDocument(num), last)
		c.Assert(err, qt.IsNil)
		last = hed.Generation
	}
	took := waitInForce(ctx, t, flt, last)
	t.Logf("in force everywhere: %d daemons, %d changes in a burst, %v after the last was accepted", len(flt.Entries), *changes, took)
	c.Assert(took < propagationLimit, qt.IsTrue)
	wat.finish(t)
}

// TestRacingOperators guards against two accepted promotions that replace the same generation, when several
// operators promote at once.
func TestRacingOperators(t *testing.T) {
	c := qt.New(t)
	ctx, flt := start(t)
	accepted := make([]int, 10)
	for round := range accepted {
		var wgr sync.WaitGroup
		var mu sync.Mutex
		for oper := range 4 {
			wgr.Go(func() {
				_, err := fleet.Promote(ctx, flt.Entries[oper], newDocument(10*round+oper), uint64(round))
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					accepted[round]++
				} else if !strings.Contains(err.Error(), "409") {
					t.Errorf("not a conflict: %v", err)
				}
			})
		}
		wgr.Wait()
	}
	for round, num := range accepted {
		c.Assert(num, qt.Equals, 1, qt.Commentf("round %d", round))
	}
	t.Logf("one of 4 concurrent promotions accepted: %d cases, 0 violations", len(accepted))
}

// TestLostResponses guards against an accepted generation that is reported as failed or under a wrong number
// because the platform lost the response to a write that took effect.
func TestLostResponses(t *testing.T) {
	c := qt.New(t)
	ctx, flt := start(t)
	const cases = 10
	for num := range cases {
		ent := flt.Entries[num%len(flt.Entries)]
		var trl generation.Trial
		c.Assert(fleet.CallOperatorAPI(ctx, ent, http.MethodPost, "/config/try", newDocument(num), &trl), qt.IsNil)
		body, err := json.Marshal(operator.Promotion{
			Digest:   trl.Digest,
			Replaces: uint64(num),
		})
		c.Assert(err, qt.IsNil)
		c.Assert(flt.SetFaults(ctx, flt.Platform, standin.Faults{LoseShare: 0.5}), qt.IsNil)
		var hed generation.Head
		err = fleet.CallOperatorAPI(ctx, ent, http.MethodPost, "/config/promote", body, &hed)
		c.Assert(flt.SetFaults(ctx, flt.Platform, standin.Faults{}), qt.IsNil)
		c.Assert(err, qt.IsNil)
		c.Assert(hed.Generation, qt.Equals, uint64(num+1))
	}
	took := waitInForce(ctx, t, flt, cases)
	t.Logf("acceptance reported correctly with half of the responses lost: %d cases, 0 violations", cases)
	c.Assert(took < propagationLimit, qt.IsTrue)
}

// TestRestartDuringOutage guards against a restarted or paused daemon that keeps a lower generation than the
// other daemons of its zone while the platform is unavailable.
func TestRestartDuringOutage(t *testing.T) {
	c := qt.New(t)
	ctx, flt := start(t)
	_, err := fleet.Promote(ctx, flt.Entries[0], newDocument(1), 0)
	c.Assert(err, qt.IsNil)
	waitInForce(ctx, t, flt, 1)
	paused := flt.Entries[1]
	c.Assert(paused.Signal(syscall.SIGSTOP), qt.IsNil)
	_, err = fleet.Promote(ctx, flt.Entries[0], newDocument(2), 1)
	c.Assert(err, qt.IsNil)
	time.Sleep(time.Second)
	c.Assert(flt.SetFaults(ctx, flt.Platform, standin.Faults{Out: true}), qt.IsNil)
	restarted := flt.Entries[3]
	c.Assert(restarted.Kill(), qt.IsNil)
	c.Assert(restarted.Restart(), qt.IsNil)
	c.Assert(paused.Signal(syscall.SIGCONT), qt.IsNil)
	wat := watch(ctx, flt)
	took := waitInForce(ctx, t, flt, 2)
	wat.finish(t)
	t.Logf("restarted and paused daemons have the highest generation after %v while the platform is unavailable", took)
	c.Assert(took < propagationLimit, qt.IsTrue)
	var sta operator.ConfigStatus
	c.Assert(fleet.CallOperatorAPI(ctx, restarted, http.MethodGet, "/config/status", nil, &sta), qt.IsNil)
	c.Assert(sta.PlatformError, qt.Not(qt.Equals), "")
}
