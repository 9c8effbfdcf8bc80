package verb

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/standin/platform"
)

const platformUsage = "run a platform with an object API and a list of VMs"

type platformOptions struct {
	listen string
	cfg    platform.Config
}

func newPlatform() *cli.Command {
	opt := &platformOptions{}
	return &cli.Command{
		Name:  "platform",
		Usage: platformUsage,
		Flags: []cli.Flag{
			listenFlag(&opt.listen),
			&cli.Float64Flag{
				Name:        "read-rate",
				Usage:       "reads a second above which a read is refused; 0 is no limit",
				Destination: &opt.cfg.ReadRate,
			},
			&cli.Float64Flag{
				Name:        "write-rate",
				Usage:       "writes a second above which a write is refused; 0 is no limit",
				Destination: &opt.cfg.WriteRate,
			},
			&cli.DurationFlag{
				Name:        "vm-lag",
				Usage:       "age of the list of VMs",
				Destination: &opt.cfg.VMLag,
			},
		},
		Action: opt.run,
	}
}

func (opt *platformOptions) run(ctx context.Context, _ *cli.Command) error {
	return serve(ctx, opt.listen, platform.New(opt.cfg, platform.NewStore()).Handler())
}
