package verb

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/operator"
)

const configPromoteUsage = "accept a document that passed its trial"

type configPromoteOptions struct {
	client   operatorClient
	digest   string
	replaces uint64
}

func (opt *configPromoteOptions) flags() []cli.Flag {
	return append(
		opt.client.flags(),
		&cli.StringFlag{
			Name:        "digest",
			Usage:       "digest that config try printed",
			Required:    true,
			Destination: &opt.digest,
		},
		&cli.Uint64Flag{
			Name:        "replaces",
			Usage:       "generation that is replaced, 0 for the first",
			Destination: &opt.replaces,
		},
	)
}

func newConfigPromote() *cli.Command {
	opt := &configPromoteOptions{}
	return &cli.Command{
		Name:   "promote",
		Usage:  configPromoteUsage,
		Flags:  opt.flags(),
		Action: opt.run,
	}
}

func (opt *configPromoteOptions) run(ctx context.Context, cmd *cli.Command) error {
	body, err := json.Marshal(operator.Promotion{
		Digest:   opt.digest,
		Replaces: opt.replaces,
	})
	if err != nil {
		return errors.Trace(err)
	}
	rsp, err := opt.client.call(ctx, http.MethodPost, "/config/promote", body)
	if err != nil {
		return errors.Trace(err)
	}
	return printJSON(cmd, rsp)
}
