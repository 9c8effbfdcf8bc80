package suspicion

import (
	"time"

	"github.com/cumintally/cumintally/internal/serverregistry"
)

// Kind says what a report is about.
type Kind string

// Kinds of reports: three of failures, one of a request that is sent to find out whether a failure has ended, and one of
// bytes that arrived after it.
const (
	Stalled     Kind = "Stalled"
	Reset       Kind = "Reset"
	Unreachable Kind = "Unreachable"
	Trial       Kind = "Trial"
	Progress    Kind = "Progress"
)

// Report is what one daemon observed at one process of a backend server. Daemons send it to each other, encoded with field
// names, so that fields can be added.
type Report struct {
	Server    string
	StartTime int64
	Kind      Kind
	// Daemon is the name of the daemon that observed it, and Zone that daemon's availability zone.
	Daemon string
	Zone   string
	// Age is the time since the observation. The clocks of VMs differ.
	Age time.Duration
}

// Process returns the process that the report is about.
func (rep *Report) Process() serverregistry.Process {
	return serverregistry.Process{
		ID:        rep.Server,
		StartTime: rep.StartTime,
	}
}

// Daemon is a registered daemon.
type Daemon struct {
	Name             string
	AvailabilityZone string
}

// Verdict says how this daemon uses a backend server.
type Verdict int

// Verdicts. A server to be tried is sent the next request that may be repeated. One that is ranked last is used if no
// trusted server takes the request.
const (
	Trusted Verdict = iota
	DueForTrial
	RankedLast
	Avoided
)
