package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/standin/fleet"
	"github.com/cumintally/cumintally/internal/standin/load"
)

// Config selects what the experiment runs, and for how long.
type Config struct {
	// Binaries is the folder of the programs.
	Binaries string
	// Logs is the folder to which the settings and logs of each run are written.
	Logs     string
	Seed     uint64
	WarmUp   time.Duration
	Duration time.Duration
	// Scenarios and Policies are the names of the scenarios and policies to run; an empty list selects all.
	Scenarios []string
	Policies  []string
}

// Policy is a limits policy and a routing policy that are tested together.
type Policy struct {
	Name    string
	Limits  string
	Routing string
}

// Policies are the compared policies, the default settings of the daemon first.
var Policies = []Policy{
	{Name: "shared/score", Limits: "Shared", Routing: "Score"},
	{Name: "shared/round-robin", Limits: "Shared", Routing: "RoundRobin"},
	{Name: "shared/least-outstanding", Limits: "Shared", Routing: "LeastOutstanding"},
	{Name: "shared/power-of-two", Limits: "Shared", Routing: "PowerOfTwo"},
	{Name: "static/score", Limits: "Static", Routing: "Score"},
	{Name: "through-owner/score", Limits: "ThroughOwner", Routing: "Score"},
	{Name: "per-request/score", Limits: "PerRequest", Routing: "Score"},
}

// Scenario is a load, as a fraction of the capacity, and the disturbances during the run.
type Scenario struct {
	Name  string
	Load  float64
	Zones int
	// Disturb is called after a third of the run, and Restore after two thirds; each may be nil.
	Disturb func(ctx context.Context, run *Run) error
	Restore func(ctx context.Context, run *Run) error
}

// Scenarios are the scenarios in the order in which they run.
var Scenarios = []Scenario{
	{Name: "steady-80", Load: 0.8, Zones: 1},
	{Name: "steady-120", Load: 1.2, Zones: 1},
	{Name: "turns-cold", Load: 0.6, Zones: 1, Disturb: turnCold},
	{Name: "straggler", Load: 0.6, Zones: 1, Disturb: slowDown},
	{Name: "daemon-lost", Load: 0.6, Zones: 1, Disturb: killDaemon},
	{Name: "zone-out", Load: 0.4, Zones: 2, Disturb: takeZoneOut, Restore: bringZoneIn},
}

const (
	entriesPerZone  = 3
	replicasPerZone = 4
	vmsPerReplica   = 2
	coldLimit       = 2
	warmLimit       = 32
	// replicaCapacity is the number of requests per second that one replica finishes: a batch of 16, steps of 27.5 ms, 32
	// tokens on average and about 200 ms of prefill make 1.08 s per request.
	replicaCapacity = 14.8
	minTokens       = 16
	maxTokens       = 48
	prefixCount     = 16
)

// engineArgs limit the batch of a replica to 16 requests, so that the limit of 32 requests delays first tokens.
var engineArgs = []string{
	"--token-time", "20ms", "--step-growth", "500us", "--max-batch", "16", "--prefill-time", "400ms",
	"--load-time", "1700ms", "--warm-after", "8", "--cold-limit", "2", "--cache-blocks", "96",
}

// Run is one run of a scenario with a policy.
type Run struct {
	Scenario Scenario
	Policy   Policy
	fleet    *fleet.Fleet
	// coldEngine is the engine that turned cold; the largest number of its requests in progress is checked.
	coldEngine *fleet.Engine
}

// Compare runs every selected scenario with every selected policy and writes a table row for each pair.
func Compare(ctx context.Context, cfg Config, out io.Writer) error {
	fmt.Fprintf(out, "seed %d, %v after %v of warm-up, capacity %.0f requests/s per zone\n", cfg.Seed, cfg.Duration, cfg.WarmUp, replicasPerZone*replicaCapacity)
	for _, scn := range Scenarios {
		if !isSelected(cfg.Scenarios, scn.Name) {
			continue
		}
		fmt.Fprintf(out, "\n## %s\n\n%s\n", scn.Name, header)
		for _, pol := range Policies {
			if !isSelected(cfg.Policies, pol.Name) {
				continue
			}
			run := &Run{
				Scenario: scn,
				Policy:   pol,
			}
			res, err := run.execute(ctx, cfg)
			if err != nil {
				return errors.Annotatef(err, "%s with %s", scn.Name, pol.Name)
			}
			res.write(out)
		}
	}
	return nil
}

func isSelected(names []string, name string) bool {
	for _, nam := range names {
		if nam == name {
			return true
		}
	}
	return len(names) == 0
}

func (run *Run) execute(ctx context.Context, cfg Config) (*result, error) {
	folder, err := os.MkdirTemp(cfg.Logs, run.Scenario.Name+"-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	flt, err := fleet.Start(ctx, fleet.Config{
		Binaries:       cfg.Binaries,
		Folder:         folder,
		Zones:          zoneNames(run.Scenario.Zones),
		EntryVMs:       entriesPerZone * run.Scenario.Zones,
		DomainsPerZone: 1,
		VMsPerDomain:   replicasPerZone * vmsPerReplica,
		EngineArgs:     engineArgs,
		EntryEnv: []string{
			"CUMINTALLY_LIMITS_POLICY=" + run.Policy.Limits,
			"CUMINTALLY_ROUTING_POLICY=" + run.Policy.Routing,
			"CUMINTALLY_ROUTING_PREFILL=400ms",
		},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer flt.Kill()
	run.fleet = flt
	if _, err := fleet.Promote(ctx, flt.Entries[0], []byte(newDocument(run.Scenario.Zones)), 0); err != nil {
		return nil, errors.Trace(err)
	}
	for _, ent := range flt.Entries {
		if err := fleet.WaitForServingGroups(ctx, ent, replicasPerZone); err != nil {
			return nil, errors.Trace(err)
		}
	}
	// The load of the warm-up increases from what cold replicas can take to that of the scenario.
	for _, part := range []float64{0.15, 0.5, 1} {
		if _, err := run.sendLoad(ctx, cfg.Seed+1, cfg.WarmUp/3, part*min(1, run.Scenario.Load)); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return run.measure(ctx, cfg)
}

func (run *Run) sendLoad(ctx context.Context, seed uint64, dur time.Duration, part float64) (*load.Report, error) {
	var targets []string
	for _, ent := range run.fleet.Entries {
		targets = append(targets, ent.Address)
	}
	gen, err := load.New(load.Config{
		Targets:     targets,
		Model:       "lap-recipes",
		Rate:        part * replicasPerZone * replicaCapacity * float64(run.Scenario.Zones),
		Duration:    dur,
		MinTokens:   minTokens,
		MaxTokens:   maxTokens,
		Prefixes:    prefixCount,
		PrefixWords: 220,
		PromptWords: 8,
		Workspaces:  workspaces,
		Deadline:    6 * time.Second,
		ReadyOnly:   true,
		Seed:        seed,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	rep, err := gen.Run(ctx)
	return rep, errors.Trace(err)
}

func (run *Run) measure(ctx context.Context, cfg Config) (*result, error) {
	before, err := run.totals(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	failed := make(chan error, 1)
	go func() { failed <- run.disturb(ctx, cfg.Duration/3) }()
	rep, err := run.sendLoad(ctx, cfg.Seed, cfg.Duration, run.Scenario.Load)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := <-failed; err != nil {
		return nil, errors.Trace(err)
	}
	after, err := run.totals(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	res := &result{
		policy:        run.Policy.Name,
		entries:       len(run.fleet.Entries),
		report:        rep,
		usage:         after.minus(before),
		exitedEngines: run.findExitedEngines(),
	}
	if run.coldEngine != nil {
		if res.coldMost, err = fetchColdMost(ctx, run.coldEngine); err != nil {
			res.coldMost = -1
		}
	}
	return res, nil
}

func (run *Run) disturb(ctx context.Context, third time.Duration) error {
	for _, act := range []func(context.Context, *Run) error{run.Scenario.Disturb, run.Scenario.Restore} {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-time.After(third):
		}
		if act == nil {
			continue
		}
		if err := act(ctx, run); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// findExitedEngines returns the names of the engines that have exited, such as cold ones that received more requests
// than their cold limit.
func (run *Run) findExitedEngines() []string {
	var lost []string
	for _, eng := range run.fleet.Engines {
		if eng.ExitedWithin(time.Millisecond) {
			lost = append(lost, eng.Name)
		}
	}
	return lost
}

func zoneNames(num int) []string {
	var names []string
	for idx := range num {
		names = append(names, fmt.Sprintf("reykjanes-%d", idx+1))
	}
	return names
}
