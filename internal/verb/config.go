package verb

import (
	"github.com/urfave/cli/v3"
)

const configUsage = "check, try, promote and compare the environment's document"

const configHelp = `A document is checked on its own, proved in trial, and then promoted: promotion takes
exactly the digest that the trial proved and names the generation it replaces, so that of two
operators who promote at once one gets a conflict.`

// configVerbs is the lookup table of the subcommands of config.
var configVerbs = []func() *cli.Command{
	newConfigCheck,
	newConfigTry,
	newConfigPromote,
	newConfigStatus,
	newConfigDiff,
}

func newConfig() *cli.Command {
	cmd := &cli.Command{
		Name:        "config",
		Usage:       configUsage,
		Description: configHelp,
	}
	for _, vrb := range configVerbs {
		cmd.Commands = append(cmd.Commands, vrb())
	}
	return cmd
}
