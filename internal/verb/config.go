package verb

import (
	"github.com/urfave/cli/v3"
)

const configUsage = "check, try, promote and compare the environment's document"

const configHelp = `A document is checked on its own, proved in trial, and then promoted: promotion takes
exactly the digest that the trial proved and names the generation it replaces, so that of two
operators who promote at once one gets a conflict.`

// configCommands are the constructors of the subcommands of config.
var configCommands = []func() *cli.Command{
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
	for _, fnc := range configCommands {
		cmd.Commands = append(cmd.Commands, fnc())
	}
	return cmd
}
