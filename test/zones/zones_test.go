package zones_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/operator"
	"github.com/cumintally/cumintally/internal/standin/engine"
	"github.com/cumintally/cumintally/internal/standin/fleet"
	"github.com/cumintally/cumintally/internal/standin/link"
)

const (
	// orderLimit is the time within which an order to a zone must be in effect at every daemon.
	orderLimit = 3 * time.Second
	// generationLimit is the time within which an accepted generation must be in force at every daemon.
	generationLimit = 5 * time.Second
	// maxReportAge is the age above which daemons must ignore the report of a member.
	maxReportAge = 2 * time.Second
	// coldLimit is the ColdLimit of the model.
	coldLimit = 2
	// coldNotice is the time after TurnCold in which an engine of the shared fleet rejects requests above its
	// ColdLimit; after it such a request crashes the engine.
	coldNotice = time.Second
)

var zones = []string{"zone-1", "zone-2", "zone-3"}

var (
	seed  = flag.Uint64("seed", 0, "seed of the choices; 0 draws one")
	seeds = flag.Int("seeds", 1, "number of runs with successive seeds")
)

func TestMain(m *testing.M) {
	flag.Parse()
	if *seed == 0 {
		*seed = rand.Uint64N(1_000_000) + 1
	}
	fmt.Printf("seed %d\n", *seed)
	bin, err := fleet.Build()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	if flt, err := sharedFleet(); err == nil {
		flt.Kill()
	}
	os.RemoveAll(sharedFolder)
	os.RemoveAll(bin)
	os.Exit(code)
}

// newDocument returns a document with one group of 4 VMs in each zone; the key hash is that of
// fleet.CallerKey.
func newDocument(share int) []byte {
	var bld strings.Builder
	bld.WriteString("AvailabilityZones:\n")
	for idx := range 3 {
		fmt.Fprintf(&bld, "  - {Name: zone-%d, Region: region-1}\n", idx+1)
	}
	fmt.Fprintf(&bld, "Models:\n  - {Name: recipes, Version: \"1\", VMsPerGroup: 4, ColdLimit: %d, WarmLimit: 32}\nGroups:\n", coldLimit)
	for idx := range 3 {
		fmt.Fprintf(&bld, "  - {Name: recipes-%d, Model: recipes, AvailabilityZone: zone-%d, Replicas: 1}\n", idx+1, idx+1)
	}
	bld.WriteString("Services:\n  - Name: jobs\n    Calls:\n      - {Method: POST, Path: /bookings, Repeatable: false}\nWorkspaces:\n")
	fmt.Fprintf(&bld, "  - {Name: polishing, KeyHashes: [064f736ded26ef7daea0f8913982c3dceded5a1dc4854caa1a3fa86042670bba], Share: %d}\n", share)
	return []byte(bld.String())
}

// environment is a fleet of three zones with one group each, whose processes connect through links that can be
// cut.
type environment struct {
	*fleet.Fleet
	rnd *rand.Rand
}

// start starts an environment that is used by one test only; cfg has the settings that differ from the defaults
// in startFleet.
func start(t *testing.T, cfg fleet.Config, sed uint64) (context.Context, *environment) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	cfg.Folder = t.TempDir()
	flt, err := startFleet(ctx, cfg)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(flt.Kill)
	env := &environment{
		Fleet: flt,
		rnd:   rand.New(rand.NewPCG(sed, 0)),
	}
	env.waitServing(ctx, t)
	return ctx, env
}

func startFleet(ctx context.Context, cfg fleet.Config) (*fleet.Fleet, error) {
	bin, err := fleet.Build()
	if err != nil {
		return nil, err
	}
	cfg.Binaries = bin
	cfg.Zones = zones
	cfg.EntryVMs = 8
	cfg.DomainsPerZone = 1
	cfg.VMsPerDomain = 4
	cfg.Service = "jobs"
	cfg.ServicesByZone = 1
	cfg.Links = true
	flt, err := fleet.Start(ctx, cfg)
	if err != nil {
		return nil, err
	}
	_, err = fleet.Promote(ctx, flt.Entries[0], newDocument(1), 0)
	return flt, err
}

var sharedFolder string

// sharedFleet starts one fleet for all tests that call startShared, since a start takes some seconds. These tests must
// leave it as they found it.
var sharedFleet = sync.OnceValues(func() (*fleet.Fleet, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var err error
	if sharedFolder, err = os.MkdirTemp("", "cumintally-zones-"); err != nil {
		return nil, err
	}
	return startFleet(ctx, fleet.Config{
		Folder:     sharedFolder,
		EngineArgs: []string{"--cold-notice", coldNotice.String()},
	})
})

// startShared returns an environment of the shared fleet without cuts, with every zone in service and every engine warm.
func startShared(t *testing.T, sed uint64) (context.Context, *environment) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	flt, err := sharedFleet()
	qt.Assert(t, err, qt.IsNil)
	env := &environment{
		Fleet: flt,
		rnd:   rand.New(rand.NewPCG(sed, 0)),
	}
	qt.Assert(t, env.SetCuts(ctx), qt.IsNil)
	for _, zon := range zones {
		if orderZone(ctx, t, flt.Entries[0], zon, false).Out {
			t.Fatalf("%s is out of service", zon)
		}
	}
	env.waitServing(ctx, t)
	env.warmEngines(ctx, t)
	return ctx, env
}

// waitFirstResponses waits until every entry VM has served a request, since a new fleet grants no slots for some
// seconds.
func (env *environment) waitFirstResponses(ctx context.Context, t *testing.T) {
	t.Helper()
	var wgr sync.WaitGroup
	for _, ent := range env.Entries {
		wgr.Go(func() {
			last, took := waitFor(time.Now(), 15*time.Second, func() (call, bool) {
				cal := requestCompletion(ctx, ent, "first request at "+ent.Name, 10)
				return cal, cal.result == correct
			})
			qt.Check(t, took < 15*time.Second, qt.IsTrue, qt.Commentf("%v", last))
		})
	}
	wgr.Wait()
}

// warmEngines sends requests to every zone until its engines are warm.
func (env *environment) warmEngines(ctx context.Context, t *testing.T) {
	t.Helper()
	cls := startCallers(ctx, env.Entries, 2, 20*time.Millisecond)
	defer cls.stop()
	for _, zon := range zones {
		_, took := waitFor(time.Now(), 15*time.Second, func() (string, bool) {
			sta, err := fleet.Status(ctx, env.entries(zon)[0])
			return "", err == nil && len(sta.Groups) == 1 && sta.Groups[0].State == string(backend.StateReady)
		})
		qt.Assert(t, took < 15*time.Second, qt.IsTrue, qt.Commentf("%s is not warm", zon))
	}
}

// waitServing ends all cuts and waits until every daemon reports that the group of its zone serves.
func (env *environment) waitServing(ctx context.Context, t *testing.T) {
	t.Helper()
	qt.Assert(t, env.SetCuts(ctx), qt.IsNil)
	for _, ent := range env.Entries {
		ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
		defer cancel()
		qt.Assert(t, fleet.WaitForServingGroups(ctx, ent, 1), qt.IsNil)
	}
}

func (env *environment) entries(zon string) []*fleet.Entry {
	var ents []*fleet.Entry
	for _, ent := range env.Entries {
		if ent.Zone == zon {
			ents = append(ents, ent)
		}
	}
	return ents
}

func (env *environment) engines(zon string) []*fleet.Engine {
	var engs []*fleet.Engine
	for _, eng := range env.Engines {
		if eng.Zone == zon {
			engs = append(engs, eng)
		}
	}
	return engs
}

// receivedRequests returns the number of requests that the engines of a zone have received, including those that
// they rejected.
func (env *environment) receivedRequests(ctx context.Context, t *testing.T, zon string) int {
	t.Helper()
	sum := 0
	for _, eng := range env.engines(zon) {
		var cnt engine.Counts
		getJSON(ctx, t, "http://"+eng.Address+"/counts", &cnt)
		sum += cnt.Started + cnt.Refused
	}
	return sum
}

// randomCutKind returns a random kind of cut.
func (env *environment) randomCutKind() link.Kind {
	return []link.Kind{link.Drop, link.Refuse}[env.rnd.IntN(2)]
}

func (env *environment) randomZone() string {
	return fmt.Sprintf("zone-%d", 1+env.rnd.IntN(3))
}

func getJSON(ctx context.Context, t *testing.T, url string, val any) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	qt.Assert(t, err, qt.IsNil)
	res, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer res.Body.Close()
	qt.Assert(t, json.NewDecoder(res.Body).Decode(val), qt.IsNil)
}

func orderZone(ctx context.Context, t *testing.T, ent *fleet.Entry, zon string, out bool) inventory.Zone {
	t.Helper()
	body, err := json.Marshal(operator.ZoneOrder{
		Out: out,
	})
	qt.Assert(t, err, qt.IsNil)
	var held inventory.Zone
	qt.Assert(t, fleet.CallOperatorAPI(ctx, ent, http.MethodPost, "/zones/"+zon, body, &held), qt.IsNil)
	return held
}

func hostPrefix(adr string) netip.Prefix {
	return netip.PrefixFrom(netip.MustParseAddrPort(adr).Addr(), 32)
}

// invariant counts how often a rule was checked and violated. It is printed as one line whatever its result.
type invariant struct {
	text       string
	cases      int
	violations int
	first      string
	// seconds is the longest time measured.
	seconds float64
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

// recordDuration keeps the longest time measured.
func (inv *invariant) recordDuration(dur time.Duration) {
	inv.seconds = max(inv.seconds, dur.Seconds())
}

// checkCalls counts every call as a case. Its response must be correct, or a rejection as NotRun if rejections are
// allowed.
func (inv *invariant) checkCalls(calls []call, rejections bool) {
	for _, cal := range calls {
		inv.check(cal.result == correct || (rejections && cal.result == notRun), "%v", cal)
		inv.recordDuration(cal.took)
	}
}

// report prints an invariant and fails the test if it was violated or never checked.
func (inv *invariant) report(t *testing.T, sed uint64) {
	t.Helper()
	fmt.Printf("%s: %d cases, seed %d, %d violations, %.2f s\n", inv.text, inv.cases, sed, inv.violations, inv.seconds)
	qt.Check(t, inv.violations, qt.Equals, 0, qt.Commentf("%s: %s", inv.text, inv.first))
	qt.Check(t, inv.cases > 0, qt.IsTrue, qt.Commentf("%s", inv.text))
}

func forSeeds(t *testing.T, run func(t *testing.T, sed uint64)) {
	for num := range *seeds {
		sed := *seed + uint64(num)
		t.Run(fmt.Sprintf("seed %d", sed), func(t *testing.T) { run(t, sed) })
	}
}

// TestZones runs the tests that share a fleet one after another. They form one test so that they run in parallel
// with TestDaemonsApart, which needs a fleet of its own.
func TestZones(t *testing.T) {
	t.Parallel()
	forSeeds(t, func(t *testing.T, sed uint64) {
		t.Run("cut off engines", func(t *testing.T) { testCutOffEngines(t, sed) })
		t.Run("isolated zone", func(t *testing.T) { testIsolatedZone(t, sed) })
		t.Run("zone out and in", func(t *testing.T) { testZoneOutAndIn(t, sed) })
	})
}
