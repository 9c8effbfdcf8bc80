package verb

import (
	"context"
	"net/http"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

const configTryUsage = "prove a document in trial and print its digest and the results"

type configTryOptions struct {
	client operatorClient
}

func newConfigTry() *cli.Command {
	opt := &configTryOptions{}
	return &cli.Command{
		Name:      "try",
		Usage:     configTryUsage,
		ArgsUsage: "DOCUMENT",
		Flags:     opt.client.flags(),
		Action:    opt.run,
	}
}

func (opt *configTryOptions) run(ctx context.Context, cmd *cli.Command) error {
	_, data, err := readDocument(cmd)
	if err != nil {
		return errors.Trace(err)
	}
	rsp, err := opt.client.call(ctx, http.MethodPost, "/config/try", data)
	if err != nil {
		return errors.Trace(err)
	}
	return printJSON(cmd, rsp)
}
