package verb

import (
	"context"
	"encoding/json"
	"net/http"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/burn"
)

const (
	reportUsage     = "report on what the environment does"
	reportBurnUsage = "show how fast the error budgets of the service levels burn"
)

const reportBurnHelp = `Gathers the counts of the last hour from every daemon that answers and names those that
did not. A burn rate of 1 uses the error budget up just at the end of the objective's period.`

type reportBurnOptions struct {
	client operatorClient
	format string
	output string
}

func (opt *reportBurnOptions) flags() []cli.Flag {
	return append(
		opt.client.flags(),
		&cli.StringFlag{
			Name:        "format",
			Usage:       "text, json or html",
			Value:       "text",
			Destination: &opt.format,
		},
		&cli.StringFlag{
			Name:        "output",
			Usage:       "file to write to in place of the terminal",
			Destination: &opt.output,
		},
	)
}

func newReport() *cli.Command {
	opt := &reportBurnOptions{}
	return &cli.Command{
		Name:  "report",
		Usage: reportUsage,
		Commands: []*cli.Command{
			{
				Name:        "burn",
				Usage:       reportBurnUsage,
				Description: reportBurnHelp,
				Flags:       opt.flags(),
				Action:      opt.run,
			},
		},
	}
}

func (opt *reportBurnOptions) run(ctx context.Context, cmd *cli.Command) error {
	rsp, err := opt.client.call(ctx, http.MethodGet, "/report/burn", nil)
	if err != nil {
		return errors.Trace(err)
	}
	var rep burn.Report
	if err := json.Unmarshal(rsp, &rep); err != nil {
		return errors.Trace(err)
	}
	out := cmd.Root().Writer
	if opt.output != "" {
		file, err := os.Create(opt.output)
		if err != nil {
			return errors.Trace(err)
		}
		defer file.Close()
		out = file
	}
	switch opt.format {
	case "text":
		return rep.WriteText(out)
	case "html":
		return rep.WritePage(out)
	case "json":
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return errors.Trace(enc.Encode(rep))
	default:
		return errors.Errorf("unknown format %q, expected text, json or html", opt.format)
	}
}
