package verb

import (
	"context"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/settings"
)

const settingsUsage = "show the settings that a daemon would run with"

type settingsOptions struct {
	path string
}

func newSettings() *cli.Command {
	opt := &settingsOptions{}
	return &cli.Command{
		Name:  "settings",
		Usage: settingsUsage,
		Commands: []*cli.Command{
			{
				Name:   "print",
				Usage:  "print the settings in force as INI, with secrets hidden",
				Flags:  []cli.Flag{settingsFlag(&opt.path)},
				Action: opt.print,
			},
		},
	}
}

func (opt *settingsOptions) print(_ context.Context, cmd *cli.Command) error {
	set, err := settings.New(opt.path, os.Environ())
	if err != nil {
		return errors.Trace(err)
	}
	return set.Print(cmd.Root().Writer)
}
