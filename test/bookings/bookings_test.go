package bookings_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/fleet"
)

var (
	bookings = flag.Int("bookings", 80, "least number of keyed bookings for each seed")
	seeds    = flag.Int("seeds", 1, "number of runs with different seeds")
	seed     = flag.Uint64("seed", 1, "first seed")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(fleet.RunTests(m.Run))
}

// documentText declares one service whose bookings are not repeatable. The key hash is that of fleet.CallerKey.
const documentText = `
AvailabilityZones:
  - {Name: zone-1, Region: region-1}
  - {Name: zone-2, Region: region-1}
Services:
  - Name: jobs
    Calls:
      - {Method: GET, Path: /batches/*, Repeatable: true}
      - {Method: POST, Path: /bookings, Repeatable: false}
Workspaces:
  - {Name: polishing, KeyHashes: [064f736ded26ef7daea0f8913982c3dceded5a1dc4854caa1a3fa86042670bba], Share: 1}
`

func start(t *testing.T, daemons int, timeout time.Duration, env ...string) (context.Context, *fleet.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	bin, err := fleet.Build()
	qt.Assert(t, err, qt.IsNil)
	flt, err := fleet.Start(ctx, fleet.Config{
		Binaries:       bin,
		Folder:         t.TempDir(),
		Zones:          []string{"zone-1", "zone-2"},
		EntryVMs:       daemons,
		Service:        "jobs",
		ServicesByZone: 2,
		EntryEnv:       env,
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(flt.Kill)
	_, err = fleet.Promote(ctx, flt.Entries[0], []byte(documentText), 0)
	qt.Assert(t, err, qt.IsNil)
	return ctx, flt
}

// invariant counts how often a rule was checked and how often it was violated.
type invariant struct {
	text       string
	cases      int
	violations int
	first      string
}

func (inv *invariant) check(holds bool, format string, args ...any) {
	inv.cases++
	if holds {
		return
	}
	inv.violations++
	if inv.first == "" {
		inv.first = fmt.Sprintf(format, args...)
	}
}

// invariants holds the invariants that are checked, with their counts over all seeds.
type invariants struct {
	keyedAtMostOnce, unkeyedAtMostOnce, notRunIsTrue, receiptMatches, rejectionComplete, repeatedKey invariant
}

func newInvariants() *invariants {
	return &invariants{
		keyedAtMostOnce:   invariant{text: "a keyed booking runs at most once"},
		unkeyedAtMostOnce: invariant{text: "a booking without a key runs at most once"},
		notRunIsTrue:      invariant{text: "a request rejected as NotRun did not run"},
		receiptMatches:    invariant{text: "a success response is the complete receipt of the requested booking, which ran"},
		rejectionComplete: invariant{text: "a rejection has an outcome and a Retry-After header"},
		repeatedKey:       invariant{text: "a repeated key gets its receipt or Unknown, never another run"},
	}
}

func (invs *invariants) all() []*invariant {
	return []*invariant{&invs.keyedAtMostOnce, &invs.unkeyedAtMostOnce, &invs.notRunIsTrue, &invs.receiptMatches, &invs.rejectionComplete, &invs.repeatedKey}
}

// TestBookingsUnderFailures guards against a booking that runs twice and against a rejection as NotRun of a
// call that ran. Meanwhile daemons are killed, paused and restarted, the platform loses responses, is slow
// or is unavailable, services break connections or report that they are leaving, and callers that got no response
// repeat the key at another daemon. The number of runs comes from the service stand-ins, not from the daemons.
func TestBookingsUnderFailures(t *testing.T) {
	invs := newInvariants()
	for run := range *seeds {
		sed := *seed + uint64(run)
		t.Run(fmt.Sprintf("seed %d", sed), func(t *testing.T) { runSeed(t, sed, invs) })
	}
	for _, inv := range invs.all() {
		fmt.Printf("%s: %d cases, seeds %d to %d, %d violations\n", inv.text, inv.cases, *seed, *seed+uint64(*seeds)-1, inv.violations)
		qt.Check(t, inv.violations, qt.Equals, 0, qt.Commentf("%s: %s", inv.text, inv.first))
	}
}

func runSeed(t *testing.T, sed uint64, invs *invariants) {
	ctx, flt := start(t, 6, 10*time.Minute)
	for _, ent := range flt.Entries {
		waitReady(ctx, t, ent)
	}
	inj := &faultInjector{
		flt: flt,
		rnd: rand.New(rand.NewPCG(sed, 1)),
	}
	injecting, stop := context.WithCancel(ctx)
	var wgr sync.WaitGroup
	wgr.Go(func() { inj.run(injecting, ctx) })
	began := time.Now()
	bks := callAll(ctx, flt, sed, inj)
	stop()
	wgr.Wait()
	took := time.Since(began)
	for _, ent := range flt.Entries {
		waitReady(ctx, t, ent)
	}
	// Daemons retry the write of a result that failed at intervals of at most two seconds.
	time.Sleep(2500 * time.Millisecond)
	bks.repeatAll(ctx, flt, rand.New(rand.NewPCG(sed, 2)))
	counts, err := readCounts(ctx, flt)
	qt.Assert(t, err, qt.IsNil)
	bks.checkInvariants(invs, counts)
	fmt.Printf("seed %d: %d bookings in %.1f s, %s; injected faults: %s\n", sed, len(bks), took.Seconds(), bks.summary(), inj.summary())
}
