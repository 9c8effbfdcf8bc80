package verb

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/standin/fleet"
	"github.com/cumintally/cumintally/internal/standin/load"
)

const relayUsage = "measure what one entry VM's daemon costs and adds when it relays streams"

// relayEngines is the number of engines that share the streams; each engine is a replica group of its own.
const relayEngines = 8

// relayConfigDocument makes each engine a replica group of its own. Its limits let a cold group take as many
// streams as a warm one, so that no stream is rejected.
const relayConfigDocument = `AvailabilityZones:
  - {Name: bench, Region: bench}
Models:
  - {Name: bench, Version: "1", VMsPerGroup: 1, ColdLimit: 1000, WarmLimit: 1000}
Groups:
  - {Name: bench, Model: bench, AvailabilityZone: bench, Replicas: 8}
Workspaces:
  - Name: polishing
    KeyHashes: [064f736ded26ef7daea0f8913982c3dceded5a1dc4854caa1a3fa86042670bba]
    Share: 1
    Priority: 5
`

type relayOptions struct {
	binaries  string
	streams   int
	tokenRate int
	duration  time.Duration
	cores     int
}

func newBenchRelay() *cli.Command {
	opt := &relayOptions{}
	return &cli.Command{
		Name:  "bench-relay",
		Usage: relayUsage,
		Flags: []cli.Flag{
			binariesFlag(&opt.binaries),
			&cli.IntFlag{
				Name:        "streams",
				Usage:       "streams open at once",
				Value:       155,
				Destination: &opt.streams,
			},
			&cli.IntFlag{
				Name:        "rate",
				Usage:       "tokens a second over all streams",
				Value:       34150,
				Destination: &opt.tokenRate,
			},
			&cli.DurationFlag{
				Name:        "duration",
				Usage:       "time of each of the two measurements",
				Value:       10 * time.Second,
				Destination: &opt.duration,
			},
			&cli.IntFlag{
				Name:        "cores",
				Usage:       "cores that the daemon may use at once, as on a small entry VM; 0 is all",
				Destination: &opt.cores,
			},
		},
		Action: opt.run,
	}
}

func (opt *relayOptions) run(ctx context.Context, _ *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, time.Minute+3*opt.duration)
	defer cancel()
	folder, err := os.MkdirTemp("", "cumintally-relay-")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(folder)
	flt, err := fleet.Start(ctx, fleet.Config{
		Binaries:       opt.binaries,
		Folder:         folder,
		Zones:          []string{"bench"},
		EntryVMs:       1,
		DomainsPerZone: 1,
		VMsPerDomain:   relayEngines,
		EntryEnv:       opt.entryEnv(),
		EngineArgs: []string{
			"--stamp", "--cold-limit", "1000", "--max-batch", "1000", "--step-growth", "0s", "--prefill-time", "0s",
			"--token-time", (time.Second * time.Duration(opt.streams) / time.Duration(opt.tokenRate)).String(),
		},
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer flt.Kill()
	ent := flt.Entries[0]
	if _, err := fleet.Promote(ctx, ent, []byte(relayConfigDocument), 0); err != nil {
		return errors.Trace(err)
	}
	if err := fleet.WaitForServingGroups(ctx, ent, relayEngines); err != nil {
		printLogs(folder)
		return errors.Trace(err)
	}
	return opt.compareDirectAndRelayed(ctx, flt)
}

func (opt *relayOptions) entryEnv() []string {
	if opt.cores == 0 {
		return nil
	}
	return []string{"GOMAXPROCS=" + strconv.Itoa(opt.cores)}
}

// compareDirectAndRelayed sends the same load first to the engines and then to the daemon, and prints the
// difference. It returns an error if the daemon relays less than 98% of the requested token rate.
func (opt *relayOptions) compareDirectAndRelayed(ctx context.Context, flt *fleet.Fleet) error {
	seed := rand.Uint64() >> 1
	var engines []string
	for _, eng := range flt.Engines {
		engines = append(engines, eng.Address)
	}
	direct, err := opt.measure(ctx, engines, true, seed)
	if err != nil {
		return errors.Trace(err)
	}
	ent := flt.Entries[0]
	before, err := ent.Usage()
	if err != nil {
		return errors.Trace(err)
	}
	relayed, err := opt.measure(ctx, []string{ent.Address}, false, seed)
	if err != nil {
		return errors.Trace(err)
	}
	after, err := ent.Usage()
	if err != nil {
		return errors.Trace(err)
	}
	used := after.CPUTime - before.CPUTime
	fmt.Printf("seed %d, %d streams, %d tokens/s requested\n", seed, opt.streams, opt.tokenRate)
	fmt.Printf("direct:  %.0f tokens/s, token delay p50 %v, p95 %v, p99 %v\n", opt.achievedTokenRate(direct), direct.Delay.P50, direct.Delay.P95, direct.Delay.P99)
	fmt.Printf("relayed: %.0f tokens/s, token delay p50 %v, p95 %v, p99 %v\n", opt.achievedTokenRate(relayed), relayed.Delay.P50, relayed.Delay.P95, relayed.Delay.P99)
	fmt.Printf("added token delay: p50 %v, p95 %v\n", relayed.Delay.P50-direct.Delay.P50, relayed.Delay.P95-direct.Delay.P95)
	fmt.Printf("added time to first token: p50 %v, p95 %v\n",
		relayed.Classes[0].FirstToken.P50-direct.Classes[0].FirstToken.P50, relayed.Classes[0].FirstToken.P95-direct.Classes[0].FirstToken.P95)
	fmt.Printf("daemon: %.2f s of CPU in %.2f s, %.3f cores per 10,000 tokens/s\n",
		used.Seconds(), relayed.Elapsed.Seconds(), used.Seconds()*10_000/float64(relayed.Tokens))
	// The 2% of tolerance is for the time to the first token, which is part of the time of a response.
	if opt.achievedTokenRate(relayed) < 0.98*float64(opt.tokenRate) {
		return errors.Errorf("the daemon relayed %.0f of %d tokens/s", opt.achievedTokenRate(relayed), opt.tokenRate)
	}
	return nil
}

// outputTokens returns the number of tokens in each response.
func (opt *relayOptions) outputTokens() int {
	return int(float64(opt.tokenRate) / float64(opt.streams) * opt.duration.Seconds())
}

// achievedTokenRate returns the tokens a second while all streams are open. The report's TokensPerSec is lower,
// because it includes the time in which the streams start.
func (opt *relayOptions) achievedTokenRate(rep *load.Report) float64 {
	return float64(opt.streams*opt.outputTokens()) / rep.Answer.Mean.Seconds()
}

// measure sends the load to the targets and returns its report, or an error unless every response was whole.
func (opt *relayOptions) measure(ctx context.Context, targets []string, direct bool, seed uint64) (*load.Report, error) {
	gen, err := load.New(load.Config{
		Targets: targets,
		Direct:  direct,
		Model:   "bench",
		// The streams start over about one second, so that the time to the first token is not measured in a burst.
		Rate:      float64(opt.streams),
		Count:     opt.streams,
		MinTokens: opt.outputTokens(),
		MaxTokens: opt.outputTokens(),
		Workspaces: []load.Workspace{{
			Name:  "polishing",
			Key:   fleet.CallerKey,
			Share: 1,
		}},
		Deadline: 2 * opt.duration,
		Stamped:  true,
		Seed:     seed,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	rep, err := gen.Run(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if rep.Whole != opt.streams {
		return nil, errors.Errorf("only %d of %d responses were whole: %v", rep.Whole, opt.streams, rep.Details)
	}
	return rep, nil
}
