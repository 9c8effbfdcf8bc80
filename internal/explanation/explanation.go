package explanation

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// Explanation says where a request would go now.
type Explanation struct {
	// Daemon is the name of the entry VM whose daemon answered.
	Daemon    string
	Route     string
	Workspace string
	Model     string
	// Priority is 0 for the most urgent requests.
	Priority int
	Targets  []Target
	// Rejection is the response if the request reaches no service, empty if there are targets.
	Rejection string
}

// Target is a service that the route sends a share of its requests to.
type Target struct {
	Service string
	Weight  int
	// Registered is the number of registered backend servers. Those that head no group are no candidates.
	Registered int
	Candidates []Candidate
	// Rejection is the response if no candidate takes the request now, empty if one does.
	Rejection string
}

// Candidate is a backend server that the request could go to. Durations are in nanoseconds.
type Candidate struct {
	Server string
	Zone   string
	// Requests and UnreadTokens are the load that all daemons have in flight there, as this daemon knows it.
	Requests     int
	UnreadTokens int
	// Forecast is the expected time to the first token, Wait the part of it that is due to the load there. PrefillSaved is
	// the prefill that the server probably saves, which Forecast leaves out.
	Forecast     time.Duration
	Wait         time.Duration
	PrefillSaved time.Duration
	// Share is the share of such requests that would be sent there now.
	Share float64
	// Excluded says why the request is not sent there, empty if it may be.
	Excluded string
}

// Rejected returns the response to a request that is sent nowhere, empty if some target takes it.
func (exp *Explanation) Rejected() string {
	if exp.Rejection != "" {
		return exp.Rejection
	}
	rejection := ""
	for idx := range exp.Targets {
		if exp.Targets[idx].Rejection == "" {
			return ""
		}
		rejection = exp.Targets[idx].Rejection
	}
	return rejection
}

// WriteText writes the explanation for people.
func (exp *Explanation) WriteText(out io.Writer) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tab, "daemon %s, route %s, workspace %s, model %s, priority %d\n",
		orNone(exp.Daemon), orNone(exp.Route), orNone(exp.Workspace), orNone(exp.Model), exp.Priority)
	for idx := range exp.Targets {
		exp.Targets[idx].writeText(tab)
	}
	if exp.Rejection != "" {
		fmt.Fprintf(tab, "response: %s\n", exp.Rejection)
	}
	return errors.Trace(tab.Flush())
}

func (tgt *Target) writeText(out io.Writer) {
	fmt.Fprintf(out, "service %s, weight %d, %d servers registered\n", tgt.Service, tgt.Weight, tgt.Registered)
	fmt.Fprintln(out, "  SERVER\tZONE\tSHARE\tFORECAST\tWAIT\tSAVED\tREQUESTS\tUNREAD\tEXCLUDED")
	for idx := range tgt.Candidates {
		cnd := &tgt.Candidates[idx]
		fmt.Fprintf(out, "  %s\t%s\t%.2f\t%v\t%v\t%v\t%d\t%d\t%s\n", cnd.Server, cnd.Zone, cnd.Share, cnd.Forecast.Round(time.Millisecond),
			cnd.Wait.Round(time.Millisecond), cnd.PrefillSaved.Round(time.Millisecond), cnd.Requests, cnd.UnreadTokens, cnd.Excluded)
	}
	if tgt.Rejection != "" {
		fmt.Fprintf(out, "  response: %s\n", tgt.Rejection)
	}
}

func orNone(name string) string {
	if name == "" {
		return "(none)"
	}
	return name
}
