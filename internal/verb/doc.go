// Package verb implements the subcommands of cumintally, one per file.
//
// Most subcommands call the interface for operators of an entry VM and print the response. The subcommands
// entry and local run a daemon in this process. The package contains no logic of the daemon.
package verb
