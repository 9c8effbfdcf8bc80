package verb

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/explanation"
)

const explainUsage = "show where a request would go now and why, without sending it"

const explainHelp = `Asks the daemon of an entry VM on prepared machines at the address of its metrics (Listen.Metrics). It sends
no request to a backend server, counts none and uses up no limit. SHARE is the share of such requests that a server would
get; WAIT is the part of FORECAST that is due to the load there; SAVED is the prefill saved by cached parts of the prompt.
The exit status is 0 if a server would get the request, and 1 if it would be rejected, if the question is invalid, or if
the daemon cannot be reached.

Example:
   cumintally explain --operator 10.0.1.11:9100 --host api.example --path /ask --workspace harbour \
      --model m1 --prompt-tokens 674 --expected-tokens 150 --part 5c1e07a2:400`

type explainOptions struct {
	client operatorClient
	query  explanation.Query
	json   bool
}

func (opt *explainOptions) flags() []cli.Flag {
	return append(
		opt.client.flags(),
		&cli.StringFlag{
			Name:        "host",
			Usage:       "host of the request",
			Required:    true,
			Destination: &opt.query.Host,
		},
		&cli.StringFlag{
			Name:        "path",
			Usage:       "path of the request",
			Value:       "/",
			Destination: &opt.query.Path,
		},
		&cli.StringFlag{
			Name:        "workspace",
			Usage:       "name of the workspace that sends it",
			Destination: &opt.query.Workspace,
		},
		&cli.StringFlag{
			Name:        "model",
			Usage:       "model that it asks for, none for a plain service",
			Destination: &opt.query.Model,
		},
		&cli.IntFlag{
			Name:        "prompt-tokens",
			Usage:       "tokens of its prompt",
			Destination: &opt.query.PromptTokens,
		},
		&cli.IntFlag{
			Name:        "expected-tokens",
			Usage:       "tokens expected in the response",
			Destination: &opt.query.ExpectedTokens,
		},
		&cli.StringSliceFlag{
			Name:        "part",
			Usage:       "ID:TOKENS of a part of the prompt that other requests share, in order; may be repeated",
			Destination: &opt.query.Parts,
		},
		&cli.BoolFlag{
			Name:        "json",
			Usage:       "write JSON, with durations in nanoseconds",
			Destination: &opt.json,
		},
	)
}

func newExplain() *cli.Command {
	opt := &explainOptions{}
	return &cli.Command{
		Name:        "explain",
		Usage:       explainUsage,
		Description: explainHelp,
		Flags:       opt.flags(),
		Action:      opt.run,
	}
}

func (opt *explainOptions) run(ctx context.Context, cmd *cli.Command) error {
	if err := opt.query.Validate(); err != nil {
		return errors.Trace(err)
	}
	rsp, err := opt.client.call(ctx, http.MethodGet, "/explain?"+opt.query.Values().Encode(), nil)
	if err != nil {
		return errors.Annotatef(err, "daemon at %s", opt.client.address)
	}
	var exp explanation.Explanation
	if err := json.Unmarshal(rsp, &exp); err != nil {
		return errors.Annotatef(err, "response of the daemon at %s", opt.client.address)
	}
	if opt.json {
		err = printJSON(cmd, rsp)
	} else {
		err = exp.WriteText(cmd.Root().Writer)
	}
	if err != nil {
		return errors.Trace(err)
	}
	if rejection := exp.Rejected(); rejection != "" {
		return errors.Errorf("the request would be rejected: %s", rejection)
	}
	return nil
}
