package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/pkg/document"
)

const configDiffUsage = "show which parts of a document differ from the accepted one"

type configDiffOptions struct {
	client operatorClient
}

func newConfigDiff() *cli.Command {
	opt := &configDiffOptions{}
	return &cli.Command{
		Name:      "diff",
		Usage:     configDiffUsage,
		ArgsUsage: "DOCUMENT",
		Flags:     opt.client.flags(),
		Action:    opt.run,
	}
}

func (opt *configDiffOptions) run(ctx context.Context, cmd *cli.Command) error {
	doc, _, err := readDocument(cmd)
	if err != nil {
		return errors.Trace(err)
	}
	rsp, err := opt.client.call(ctx, http.MethodGet, "/config/parts", nil)
	if err != nil {
		return errors.Trace(err)
	}
	var hed generation.Head
	if err := json.Unmarshal(rsp, &hed); err != nil {
		return errors.Trace(err)
	}
	old := make([]document.Part, 0, len(hed.Parts))
	for _, ref := range hed.Parts {
		old = append(old, document.Part{
			Name:   ref.Name,
			Digest: ref.Digest,
		})
	}
	for _, dif := range document.Compare(old, doc.Parts()) {
		fmt.Fprintf(cmd.Root().Writer, "%-8s %s\n", dif.Change, dif.Name)
	}
	return nil
}
