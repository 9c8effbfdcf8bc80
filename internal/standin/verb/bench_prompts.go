package verb

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/standin/promptload"
)

const benchPromptsUsage = "measure the estimate of cached prompts, off and on, against engines that cache prefixes"

type benchPromptsOptions struct {
	duration time.Duration
	seed     uint64
}

func newBenchPrompts() *cli.Command {
	opt := &benchPromptsOptions{}
	return &cli.Command{
		Name:  "bench-prompts",
		Usage: benchPromptsUsage,
		Flags: []cli.Flag{
			&cli.DurationFlag{
				Name:        "duration",
				Usage:       "time of each of the 16 measurements",
				Value:       8 * time.Second,
				Destination: &opt.duration,
			},
			&cli.Uint64Flag{
				Name:        "seed",
				Usage:       "seed of the requests",
				Value:       1,
				Destination: &opt.seed,
			},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return errors.Trace(promptload.Compare(ctx, opt.duration, opt.seed, cmd.Root().Writer))
		},
	}
}
