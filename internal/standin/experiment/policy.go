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

// Config is the size of the experiment.
type Config struct {
	Binaries string
	// LogFolder is the folder that takes the settings and logs of each run.
	LogFolder string
	Seed      uint64
	WarmUp    time.Duration
	Duration  time.Duration
	Scenarios []string
	Policies  []string
}

// Policy is a pair of settings to compare.
type Policy struct {
	Name    string
	Limits  string
	Routing string
}

// Policies are the policies compared, the daemon's own first.
var Policies = []Policy{
	{Name: "shared/score", Limits: "Shared", Routing: "Score"},
	{Name: "shared/round-robin", Limits: "Shared", Routing: "RoundRobin"},
	{Name: "shared/least-outstanding", Limits: "Shared", Routing: "LeastOutstanding"},
	{Name: "shared/power-of-two", Limits: "Shared", Routing: "PowerOfTwo"},
	{Name: "static/score", Limits: "Static", Routing: "Score"},
	{Name: "through-owner/score", Limits: "ThroughOwner", Routing: "Score"},
	{Name: "per-request/score", Limits: "PerRequest", Routing: "Score"},
}

// Scenario is a load, as a share of the capacity, and what happens in its course.
type Scenario struct {
	Name  string
	Load  float64
	Zones int
	// Disturb is called a third into the run, and Restore, if set, after two thirds.
	Disturb func(ctx context.Context, run *Run) error
	Restore func(ctx context.Context, run *Run) error
}

// Scenarios are the scenarios in the order in which they are run.
var Scenarios = []Scenario{
	{Name: "steady-80", Load: 0.8, Zones: 1},
	{Name: "steady-120", Load: 1.2, Zones: 1},
	{Name: "turns-cold", Load: 0.6, Zones: 1, Disturb: turnCold},
	{Name: "straggler", Load: 0.6, Zones: 1, Disturb: slowDown},
	{Name: "daemon-lost", Load: 0.6, Zones: 1, Disturb: killDaemon},
	{Name: "zone-out", Load: 0.4, Zones: 2, Disturb: zoneOut, Restore: zoneIn},
}

const (
	entriesPerZone = 3
	replicas       = 4
	vmsPerReplica  = 2
	coldLimit      = 2
	warmLimit      = 32
	// capacity is the requests a second that one replica finishes: a batch of 16, steps of 27.5 ms, 32
	// tokens on average and about 200 ms of prefill make 1.08 s a request.
	capacity = 14.8
	minWords = 16
	maxWords = 48
	prefixes = 16
)

// engineArgs make a replica that is full at a batch of 16, so that a limit of 32 makes first tokens late.
var engineArgs = []string{
	"--token-time", "20ms", "--step-growth", "500us", "--max-batch", "16", "--prefill-time", "400ms",
	"--load-time", "1700ms", "--warm-after", "8", "--cold-limit", "2", "--cache-blocks", "96",
}

// Run is one policy in one scenario.
type Run struct {
	Scenario Scenario
	Policy   Policy
	fleet    *fleet.Fleet
	// cold is the engine that turned cold, whose requests at once are checked.
	cold *fleet.Engine
}

// Compare runs every scenario with every policy and writes a line for each.
func Compare(ctx context.Context, cfg Config, out io.Writer) error {
	fmt.Fprintf(out, "seed %d, %v after %v of warm-up, capacity %.0f requests/s in a zone\n", cfg.Seed, cfg.Duration, cfg.WarmUp, replicas*capacity)
	for _, scn := range Scenarios {
		if !chosen(cfg.Scenarios, scn.Name) {
			continue
		}
		fmt.Fprintf(out, "\n## %s\n\n%s\n", scn.Name, header)
		for _, pol := range Policies {
			if !chosen(cfg.Policies, pol.Name) {
				continue
			}
			run := &Run{
				Scenario: scn,
				Policy:   pol,
			}
			res, err := run.run(ctx, cfg)
			if err != nil {
				return errors.Annotatef(err, "%s with %s", scn.Name, pol.Name)
			}
			res.write(out)
		}
	}
	return nil
}

func chosen(names []string, name string) bool {
	for _, nam := range names {
		if nam == name {
			return true
		}
	}
	return len(names) == 0
}

func (run *Run) run(ctx context.Context, cfg Config) (*result, error) {
	folder, err := os.MkdirTemp(cfg.LogFolder, run.Scenario.Name+"-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	flt, err := fleet.Start(ctx, fleet.Config{
		Binaries:       cfg.Binaries,
		Folder:         folder,
		Zones:          zoneNames(run.Scenario.Zones),
		EntryVMs:       entriesPerZone * run.Scenario.Zones,
		DomainsPerZone: 1,
		VMsPerDomain:   replicas * vmsPerReplica,
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
	if _, err := fleet.Promote(ctx, flt.Entries[0], []byte(document(run.Scenario.Zones)), 0); err != nil {
		return nil, errors.Trace(err)
	}
	for _, ent := range flt.Entries {
		if err := fleet.WaitServing(ctx, ent, replicas); err != nil {
			return nil, errors.Trace(err)
		}
	}
	// The warm-up grows from what cold replicas take to the load of the scenario.
	for _, part := range []float64{0.15, 0.5, 1} {
		if _, err := run.load(ctx, cfg.Seed+1, cfg.WarmUp/3, part*min(1, run.Scenario.Load)); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return run.measure(ctx, cfg)
}

func (run *Run) load(ctx context.Context, seed uint64, dur time.Duration, part float64) (*load.Report, error) {
	var targets []string
	for _, ent := range run.fleet.Entries {
		targets = append(targets, ent.Address)
	}
	lod, err := load.New(load.Config{
		Targets:     targets,
		Model:       "lap-recipes",
		Rate:        part * replicas * capacity * float64(run.Scenario.Zones),
		Duration:    dur,
		MinTokens:   minWords,
		MaxTokens:   maxWords,
		Prefixes:    prefixes,
		PrefixWords: 220,
		PromptWords: 8,
		Workspaces:  workspaces,
		Deadline:    6 * time.Second,
		Ready:       true,
		Seed:        seed,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	rep, err := lod.Run(ctx)
	return rep, errors.Trace(err)
}

func (run *Run) measure(ctx context.Context, cfg Config) (*result, error) {
	before, err := run.totals(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	failed := make(chan error, 1)
	go func() { failed <- run.disturb(ctx, cfg.Duration/3) }()
	rep, err := run.load(ctx, cfg.Seed, cfg.Duration, run.Scenario.Load)
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
		policy:  run.Policy.Name,
		entries: len(run.fleet.Entries),
		report:  rep,
		spent:   after.minus(before),
		lost:    run.lostEngines(),
	}
	if run.cold != nil {
		if res.coldMost, err = most(ctx, run.cold); err != nil {
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

// lostEngines returns the engines that have ended, such as cold ones that got more than they bear.
func (run *Run) lostEngines() []string {
	var lost []string
	for _, eng := range run.fleet.Engines {
		if eng.Wait(time.Millisecond) {
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
