package verb

import (
	"context"
	"fmt"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/pkg/document"
)

const configCheckUsage = "check a document without contacting any entry VM and print its digest"

func newConfigCheck() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     configCheckUsage,
		ArgsUsage: "DOCUMENT",
		Action:    checkDocument,
	}
}

func checkDocument(_ context.Context, cmd *cli.Command) error {
	doc, _, err := readDocument(cmd)
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintln(cmd.Root().Writer, document.Digest(doc.Parts()))
	return nil
}

// readDocument reads and validates the document whose path is the first argument. It returns the document
// and the content of the file.
func readDocument(cmd *cli.Command) (*document.Document, []byte, error) {
	path := cmd.Args().First()
	if path == "" {
		return nil, nil, errors.New("the path of a document is missing")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	doc, err := document.Parse(path, data)
	return doc, data, errors.Trace(err)
}
