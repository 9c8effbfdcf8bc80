package verb

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/standin/service"
)

const serviceUsage = "run a plain service that counts its bookings"

type serviceOptions struct {
	listen string
}

func newService() *cli.Command {
	opt := &serviceOptions{}
	return &cli.Command{
		Name:   "service",
		Usage:  serviceUsage,
		Flags:  []cli.Flag{listenFlag(&opt.listen)},
		Action: opt.run,
	}
}

func (opt *serviceOptions) run(ctx context.Context, _ *cli.Command) error {
	return serve(ctx, opt.listen, service.New().Handler())
}
