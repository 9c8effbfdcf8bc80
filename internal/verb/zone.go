package verb

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/operator"
)

const zoneUsage = "take an availability zone out of service or bring it back"

type zoneOptions struct {
	client operatorClient
}

func newZone() *cli.Command {
	opt := &zoneOptions{}
	return &cli.Command{
		Name:  "zone",
		Usage: zoneUsage,
		Commands: []*cli.Command{
			{
				Name:      "out",
				Usage:     "send no new work to a zone; requests in progress finish",
				ArgsUsage: "ZONE",
				Flags:     opt.client.flags(),
				Action:    opt.setOut(true),
			},
			{
				Name:      "in",
				Usage:     "send new work to a zone again",
				ArgsUsage: "ZONE",
				Flags:     opt.client.flags(),
				Action:    opt.setOut(false),
			},
			{
				Name:      "status",
				Usage:     "show whether a zone is out",
				ArgsUsage: "ZONE",
				Flags:     opt.client.flags(),
				Action:    opt.status,
			},
		},
	}
}

func (opt *zoneOptions) setOut(out bool) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		body, err := json.Marshal(operator.ZoneOrder{
			Out: out,
		})
		if err != nil {
			return errors.Trace(err)
		}
		return opt.send(ctx, cmd, http.MethodPost, body)
	}
}

func (opt *zoneOptions) status(ctx context.Context, cmd *cli.Command) error {
	return opt.send(ctx, cmd, http.MethodGet, nil)
}

func (opt *zoneOptions) send(ctx context.Context, cmd *cli.Command, method string, body []byte) error {
	name := cmd.Args().First()
	if name == "" {
		return errors.New("the name of a zone is missing")
	}
	rsp, err := opt.client.call(ctx, method, "/zones/"+url.PathEscape(name), body)
	if err != nil {
		return errors.Trace(err)
	}
	return printJSON(cmd, rsp)
}
