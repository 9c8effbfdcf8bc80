package verb

import (
	"github.com/urfave/cli/v3"
)

// commands are the constructors of all subcommands. A new subcommand needs one more row here.
var commands = []func() *cli.Command{
	newEntry,
	newConfig,
	newZone,
	newStatus,
	newExplain,
	newReport,
	newSettings,
	newLocal,
	newVersion,
}

// New returns the cumintally command with all of its subcommands.
func New() *cli.Command {
	cmd := &cli.Command{
		Name:  "cumintally",
		Usage: "serve large language models whose replicas span several VMs",
	}
	for _, fnc := range commands {
		cmd.Commands = append(cmd.Commands, fnc())
	}
	return cmd
}
