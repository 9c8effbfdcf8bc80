// Package verb defines the subcommands of cumintally-standin, one file each.
//
// The subcommands run single stand-ins (platform, engine, service, link), start a whole environment on one
// machine, and measure or simulate the system under load. None of them is part of a deployment.
package verb
