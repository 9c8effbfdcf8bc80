package verb

import (
	"github.com/urfave/cli/v3"
)

// verbs is the lookup table of subcommands; a new one is one more row here.
var verbs = []func() *cli.Command{
	newEntry,
	newConfig,
	newZone,
	newStatus,
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
	for _, vrb := range verbs {
		cmd.Commands = append(cmd.Commands, vrb())
	}
	return cmd
}
