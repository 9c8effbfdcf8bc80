package verb

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/operator"
)

const configStatusUsage = "show which generation is accepted and where it is in force"

// statusPollInterval is the time between two requests for the status while --wait is in effect.
const statusPollInterval = 200 * time.Millisecond

type configStatusOptions struct {
	client operatorClient
	wait   time.Duration
}

func (opt *configStatusOptions) flags() []cli.Flag {
	return append(
		opt.client.flags(),
		&cli.DurationFlag{
			Name:        "wait",
			Usage:       "wait up to this long until the generation is in force everywhere, else fail",
			Destination: &opt.wait,
		},
	)
}

func newConfigStatus() *cli.Command {
	opt := &configStatusOptions{}
	return &cli.Command{
		Name:   "status",
		Usage:  configStatusUsage,
		Flags:  opt.flags(),
		Action: opt.run,
	}
}

func (opt *configStatusOptions) run(ctx context.Context, cmd *cli.Command) error {
	end := time.Now().Add(opt.wait)
	for {
		rsp, err := opt.client.call(ctx, http.MethodGet, "/config/status", nil)
		if err != nil {
			return errors.Trace(err)
		}
		var sta operator.ConfigStatus
		if err := json.Unmarshal(rsp, &sta); err != nil {
			return errors.Trace(err)
		}
		if sta.Complete || !time.Now().Before(end) {
			if err := printJSON(cmd, rsp); err != nil {
				return errors.Trace(err)
			}
			if opt.wait > 0 && !sta.Complete {
				return errors.Errorf("generation %d is not in force everywhere after %v", sta.Accepted, opt.wait)
			}
			return nil
		}
		time.Sleep(statusPollInterval)
	}
}
