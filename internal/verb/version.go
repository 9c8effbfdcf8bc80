package verb

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

const versionUsage = "print the version"

func newVersion() *cli.Command {
	return &cli.Command{
		Name:   "version",
		Usage:  versionUsage,
		Action: printVersion,
	}
}

func printVersion(_ context.Context, cmd *cli.Command) error {
	version := "unknown"
	if inf, ok := debug.ReadBuildInfo(); ok {
		version = inf.Main.Version
	}
	fmt.Fprintln(cmd.Root().Writer, "cumintally "+version)
	return nil
}
