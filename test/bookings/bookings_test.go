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

// documentText has one service whose bookings may not be repeated; the key hash is that of fleet.CallerKey.
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

func start(t *testing.T, daemons int, limit time.Duration, env ...string) (context.Context, *fleet.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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

// invariant counts the cases in which a rule was checked and the cases in which it did not hold.
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

// verdict holds the invariants of all seeds.
type verdict struct {
	keyOnce, plainOnce, notRun, receipt, problem, stored invariant
}

func newVerdict() *verdict {
	return &verdict{
		keyOnce:   invariant{text: "a keyed booking runs at most once"},
		plainOnce: invariant{text: "a booking without key runs at most once"},
		notRun:    invariant{text: "a request answered as not run did not run"},
		receipt:   invariant{text: "an answer is the complete receipt of the own booking, which ran"},
		problem:   invariant{text: "a rejection says NotRun or Unknown and when to come back"},
		stored:    invariant{text: "a repeated key gets its receipt or Unknown, never another run"},
	}
}

func (vrd *verdict) all() []*invariant {
	return []*invariant{&vrd.keyOnce, &vrd.plainOnce, &vrd.notRun, &vrd.receipt, &vrd.problem, &vrd.stored}
}

// TestBookingsUnderFailures guards against a booking that runs twice and against a rejection that says
// "not run" about a call that ran, while daemons are killed, paused and restarted, the platform loses
// responses, is slow or out, services break connections or leave, and callers repeat unanswered keys at
// other daemons. The counts are the service stand-ins' own.
func TestBookingsUnderFailures(t *testing.T) {
	vrd := newVerdict()
	for run := range *seeds {
		sed := *seed + uint64(run)
		t.Run(fmt.Sprintf("seed %d", sed), func(t *testing.T) { runSeed(t, sed, vrd) })
	}
	for _, inv := range vrd.all() {
		fmt.Printf("%s: %d cases, seeds %d to %d, %d violations\n", inv.text, inv.cases, *seed, *seed+uint64(*seeds)-1, inv.violations)
		qt.Check(t, inv.violations, qt.Equals, 0, qt.Commentf("%s: %s", inv.text, inv.first))
	}
}

func runSeed(t *testing.T, sed uint64, vrd *verdict) {
	ctx, flt := start(t, 6, 10*time.Minute)
	for _, ent := range flt.Entries {
		waitReady(ctx, t, ent)
	}
	dst := &disturber{
		flt: flt,
		rnd: rand.New(rand.NewPCG(sed, 1)),
	}
	disturb, stop := context.WithCancel(ctx)
	var wgr sync.WaitGroup
	wgr.Go(func() { dst.run(disturb, ctx) })
	began := time.Now()
	bks := callAll(ctx, flt, sed, dst)
	stop()
	wgr.Wait()
	took := time.Since(began)
	for _, ent := range flt.Entries {
		waitReady(ctx, t, ent)
	}
	// Results that could not be written are tried again every two seconds at most.
	time.Sleep(2500 * time.Millisecond)
	bks.repeatAll(ctx, flt, rand.New(rand.NewPCG(sed, 2)))
	counts, err := readCounts(ctx, flt)
	qt.Assert(t, err, qt.IsNil)
	bks.judge(vrd, counts)
	fmt.Printf("seed %d: %d bookings in %.1f s, %s; disturbances: %s\n", sed, len(bks), took.Seconds(), bks.summary(), dst.summary())
}
