package verb

import (
	"context"
	"net/http"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

const statusUsage = "show the generation in force, the daemons and the groups of a zone"

type statusOptions struct {
	client operatorClient
}

func newStatus() *cli.Command {
	opt := &statusOptions{}
	return &cli.Command{
		Name:   "status",
		Usage:  statusUsage,
		Flags:  opt.client.flags(),
		Action: opt.run,
	}
}

func (opt *statusOptions) run(ctx context.Context, cmd *cli.Command) error {
	rsp, err := opt.client.call(ctx, http.MethodGet, "/status", nil)
	if err != nil {
		return errors.Trace(err)
	}
	return printJSON(cmd, rsp)
}
