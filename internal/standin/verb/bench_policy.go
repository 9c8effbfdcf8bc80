package verb

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/standin/experiment"
)

const policyUsage = "compare policies of the limits and of the choice of a replica"

type policyOptions struct {
	cfg experiment.Config
}

func newBenchPolicy() *cli.Command {
	opt := &policyOptions{}
	return &cli.Command{
		Name:  "bench-policy",
		Usage: policyUsage,
		Flags: []cli.Flag{
			binariesFlag(&opt.cfg.Binaries),
			&cli.StringFlag{
				Name:        "logs",
				Usage:       "existing folder in which the settings and logs of each run are kept",
				Destination: &opt.cfg.Logs,
			},
			&cli.Uint64Flag{
				Name:        "seed",
				Usage:       "seed of the plan of requests",
				Value:       1,
				Destination: &opt.cfg.Seed,
			},
			&cli.DurationFlag{
				Name:        "warm-up",
				Usage:       "time before each measurement in which replicas become warm",
				Value:       9 * time.Second,
				Destination: &opt.cfg.WarmUp,
			},
			&cli.DurationFlag{
				Name:        "duration",
				Usage:       "time over which requests are sent in each measurement",
				Value:       12 * time.Second,
				Destination: &opt.cfg.Duration,
			},
			&cli.StringSliceFlag{
				Name:        "scenario",
				Usage:       "scenario to run; repeat for several, none runs all",
				Destination: &opt.cfg.Scenarios,
			},
			&cli.StringSliceFlag{
				Name:        "policy",
				Usage:       "policy to run; repeat for several, none runs all",
				Destination: &opt.cfg.Policies,
			},
		},
		Action: opt.run,
	}
}

func (opt *policyOptions) run(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if opt.cfg.Logs != "" {
		return experiment.Compare(ctx, opt.cfg, cmd.Root().Writer)
	}
	folder, err := os.MkdirTemp("", "cumintally-policy-")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(folder)
	opt.cfg.Logs = folder
	return experiment.Compare(ctx, opt.cfg, cmd.Root().Writer)
}
