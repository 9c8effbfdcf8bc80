package limits_test

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/engine"
	"github.com/cumintally/cumintally/internal/standin/fleet"
	"github.com/cumintally/cumintally/internal/standin/load"
)

// coldLimit is the ColdLimit in documentText and the limit at which the engine stand-in is started.
const coldLimit = 2

const documentText = `AvailabilityZones:
  - {Name: zone-1, Region: region-1}
Models:
  - {Name: lap-recipes, Version: "1", VMsPerGroup: 1, ColdLimit: 2, WarmLimit: 16}
Groups:
  - {Name: recipes, Model: lap-recipes, AvailabilityZone: zone-1, Replicas: 1}
Workspaces:
  - Name: polishing
    KeyHashes: [064f736ded26ef7daea0f8913982c3dceded5a1dc4854caa1a3fa86042670bba]
    Share: 1
`

func TestMain(m *testing.M) {
	os.Exit(fleet.RunTests(m.Run))
}

func start(t *testing.T) (context.Context, *fleet.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	bin, err := fleet.Build()
	qt.Assert(t, err, qt.IsNil)
	flt, err := fleet.Start(ctx, fleet.Config{
		Binaries:       bin,
		Folder:         t.TempDir(),
		Zones:          []string{"zone-1"},
		EntryVMs:       3,
		DomainsPerZone: 1,
		VMsPerDomain:   1,
		// The engine stays cold throughout the test, and exits when it has more requests than its cold limit.
		EngineArgs: []string{"--warm-after", "100000", "--cold-limit", "2", "--token-time", "20ms", "--load-time", "2s"},
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(flt.Kill)
	_, err = fleet.Promote(ctx, flt.Entries[0], []byte(documentText), 0)
	qt.Assert(t, err, qt.IsNil)
	for _, ent := range flt.Entries {
		qt.Assert(t, fleet.WaitForServingGroups(ctx, ent, 1), qt.IsNil)
	}
	return ctx, flt
}

// sendOverload sends requests at a higher rate than a cold engine can serve. Callers disconnect after two
// seconds, and the engine continues their streams.
func sendOverload(ctx context.Context, t *testing.T, ents []*fleet.Entry, dur time.Duration) *load.Report {
	t.Helper()
	var targets []string
	for _, ent := range ents {
		targets = append(targets, ent.Address)
	}
	lod, err := load.New(load.Config{
		Targets:   targets,
		Model:     "lap-recipes",
		Rate:      6,
		Duration:  dur,
		MinTokens: 10,
		MaxTokens: 60,
		Timeout:   2 * time.Second,
		ReadyOnly: true,
		Seed:      1,
		Workspaces: []load.Workspace{{
			Name:  "polishing",
			Key:   fleet.CallerKey,
			Share: 1,
		}},
	})
	qt.Assert(t, err, qt.IsNil)
	rep, err := lod.Run(ctx)
	qt.Assert(t, err, qt.IsNil)
	return rep
}

func engineCounts(ctx context.Context, t *testing.T, eng *fleet.Engine) engine.Counts {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+eng.Address+"/counts", nil)
	qt.Assert(t, err, qt.IsNil)
	res, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("the engine does not respond; it exits when its cold limit is exceeded"))
	defer res.Body.Close()
	var cnt engine.Counts
	qt.Assert(t, json.NewDecoder(res.Body).Decode(&cnt), qt.IsNil)
	return cnt
}

// TestColdEngine guards against more requests in flight at a cold engine than its cold limit, while daemons are
// paused in turn, one is killed and one joins, and against a cold engine that receives no requests afterwards.
func TestColdEngine(t *testing.T) {
	ctx, flt := start(t)
	done := make(chan *load.Report)
	go func() { done <- sendOverload(ctx, t, flt.Entries, 24*time.Second) }()
	time.Sleep(6 * time.Second)
	for _, ent := range flt.Entries {
		qt.Assert(t, ent.Signal(syscall.SIGSTOP), qt.IsNil)
		time.Sleep(3 * time.Second)
		qt.Assert(t, ent.Signal(syscall.SIGCONT), qt.IsNil)
	}
	qt.Assert(t, flt.Entries[0].Kill(), qt.IsNil)
	qt.Assert(t, flt.StartEntry(ctx, "entry-4", "zone-1"), qt.IsNil)
	rep := <-done
	cnt := engineCounts(ctx, t, flt.Engines[0])
	t.Logf("%d of %d requests completed, %d started at the engine, at most %d in flight of %d allowed", rep.Whole, rep.Sent, cnt.Started, cnt.ColdMost, coldLimit)
	qt.Assert(t, cnt.ColdMost, qt.Equals, coldLimit)
	before := cnt.Finished
	sendOverload(ctx, t, flt.Entries[1:], 10*time.Second)
	cnt = engineCounts(ctx, t, flt.Engines[0])
	qt.Assert(t, cnt.ColdMost, qt.Equals, coldLimit)
	qt.Assert(t, cnt.Finished > before, qt.IsTrue, qt.Commentf("%d requests finished before the crash, %d after", before, cnt.Finished))
}
