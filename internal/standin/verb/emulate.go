package verb

import (
	"context"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/standin/emulator"
)

const emulateUsage = "compare ways to place and turn away requests on a simulated clock"

type emulateOptions struct {
	seed uint64
}

func newEmulate() *cli.Command {
	opt := &emulateOptions{}
	return &cli.Command{
		Name:  "emulate",
		Usage: emulateUsage,
		Flags: []cli.Flag{
			&cli.Uint64Flag{
				Name:        "seed",
				Usage:       "seed of the requests",
				Value:       1,
				Destination: &opt.seed,
			},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return errors.Trace(emulator.Compare(opt.seed, cmd.Root().Writer))
		},
	}
}
