package verb

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/standin/link"
)

const linkUsage = "relay the connections of a fleet, and cut them"

type linkOptions struct {
	listen string
}

func newLink() *cli.Command {
	opt := &linkOptions{}
	return &cli.Command{
		Name:   "link",
		Usage:  linkUsage,
		Flags:  []cli.Flag{listenFlag(&opt.listen)},
		Action: opt.run,
	}
}

func (opt *linkOptions) run(ctx context.Context, _ *cli.Command) error {
	return serve(ctx, opt.listen, link.New().Handler())
}
