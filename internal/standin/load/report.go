package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// Quantiles holds the number, mean, quantiles and maximum of the durations in one histogram.
type Quantiles struct {
	Count int64
	Mean  time.Duration
	P50   time.Duration
	P95   time.Duration
	P99   time.Duration
	Max   time.Duration
}

// PriorityResults holds the results of the requests of one priority.
type PriorityResults struct {
	Priority int
	Sent     int
	Whole    int
	// InTime is the number of whole responses that completed within the deadline.
	InTime        int
	FirstToken    Quantiles
	BetweenTokens Quantiles
}

// WorkspaceResults holds the results of the requests of one workspace.
type WorkspaceResults struct {
	Workspace string
	Sent      int
	Whole     int
	InTime    int
	Tokens    int
}

// SecondResults holds the results of the requests whose planned time lies in one second of the run.
type SecondResults struct {
	Second        int
	Sent          int
	Whole         int
	InTime        int
	FirstTokenP95 time.Duration
}

// Report holds the results of a run.
type Report struct {
	Seed     uint64
	Elapsed  time.Duration
	Deadline time.Duration
	Sent     int
	// Skipped is the number of requests that were not sent because Config.MaxInFlight were in flight.
	Skipped int
	Whole   int
	// Wrong is the number of responses with malformed JSON or with a token that is missing, repeated or not the
	// one expected for the request.
	Wrong  int
	InTime int
	// InTimeShare is the fraction of sent and skipped requests whose whole response arrived within the deadline.
	InTimeShare float64
	// Endings counts the requests by ending; the ending of a rejected request is its status and outcome.
	Endings map[string]int
	// Resumes is the number of times that a broken stream was resumed.
	Resumes      int
	Tokens       int
	TokensPerSec float64
	// WastedTokens is the number of tokens in responses that did not complete or completed after the deadline.
	WastedTokens int
	// Answer is the time from the planned time of a request to the end of its whole response.
	Answer Quantiles
	// Rejection is the time from the planned time to the end of requests that got no token.
	Rejection Quantiles
	// Delay is the time from the sending of a token by the engine to its receipt, if Config.Stamped is set.
	Delay   Quantiles
	Classes []PriorityResults
	Shares  []WorkspaceResults
	Seconds []SecondResults
	// Details holds the ending and its cause of the first requests without a whole response.
	Details []string
}

// report returns the results of the requests that have ended so far.
func (tly *tally) report(cfg Config, elapsed time.Duration) *Report {
	tly.mu.Lock()
	defer tly.mu.Unlock()
	rep := &Report{
		Seed:         cfg.Seed,
		Elapsed:      elapsed,
		Deadline:     cfg.Deadline,
		Sent:         tly.sent,
		Skipped:      tly.skipped,
		Whole:        tly.endings[endingWhole],
		Wrong:        tly.endings[endingWrong],
		Endings:      tly.endings,
		Resumes:      tly.resumes,
		Tokens:       tly.tokens,
		TokensPerSec: float64(tly.tokens) / elapsed.Seconds(),
		WastedTokens: tly.wastedTokens,
		Answer:       quantiles(tly.responseTimes),
		Rejection:    quantiles(tly.rejectionTimes),
		Delay:        quantiles(tly.tokenDelays),
		Details:      tly.details,
	}
	for pri, prt := range tly.priorities {
		rep.InTime += prt.inTime
		rep.Classes = append(rep.Classes, PriorityResults{
			Priority:      pri,
			Sent:          prt.sent,
			Whole:         prt.whole,
			InTime:        prt.inTime,
			FirstToken:    quantiles(prt.firstToken),
			BetweenTokens: quantiles(prt.betweenTokens),
		})
	}
	sort.Slice(rep.Classes, func(fst, snd int) bool { return rep.Classes[fst].Priority > rep.Classes[snd].Priority })
	for _, shr := range tly.shares {
		rep.Shares = append(rep.Shares, *shr)
	}
	sort.Slice(rep.Shares, func(fst, snd int) bool { return rep.Shares[fst].Workspace < rep.Shares[snd].Workspace })
	for idx, sec := range tly.seconds {
		rep.Seconds = append(rep.Seconds, SecondResults{
			Second:        idx,
			Sent:          sec.sent,
			Whole:         sec.whole,
			InTime:        sec.inTime,
			FirstTokenP95: quantiles(sec.firstToken).P95,
		})
	}
	sort.Slice(rep.Seconds, func(fst, snd int) bool { return rep.Seconds[fst].Second < rep.Seconds[snd].Second })
	if all := rep.Sent + rep.Skipped; all > 0 {
		rep.InTimeShare = float64(rep.InTime) / float64(all)
	}
	return rep
}

// quantiles returns the quantiles of a histogram whose values are in microseconds.
func quantiles(hst *hdrhistogram.Histogram) Quantiles {
	at := func(pct float64) time.Duration {
		return time.Duration(hst.ValueAtQuantile(pct)) * time.Microsecond
	}
	return Quantiles{
		Count: hst.TotalCount(),
		Mean:  time.Duration(hst.Mean() * float64(time.Microsecond)),
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
		Max:   time.Duration(hst.Max()) * time.Microsecond,
	}
}

// WriteJSON writes the report as JSON; durations are in nanoseconds.
func (rep *Report) WriteJSON(out io.Writer) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return errors.Trace(enc.Encode(rep))
}

// WriteText writes the report as aligned text.
func (rep *Report) WriteText(out io.Writer) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tab, "seed\t%d\n", rep.Seed)
	fmt.Fprintf(tab, "elapsed\t%v\n", rep.Elapsed.Round(time.Millisecond))
	fmt.Fprintf(tab, "requests\t%d sent, %d skipped, %d resumed\n", rep.Sent, rep.Skipped, rep.Resumes)
	fmt.Fprintf(tab, "whole within %v\t%.2f%%\n", rep.Deadline, 100*rep.InTimeShare)
	fmt.Fprintf(tab, "tokens\t%d (%.0f/s), %d wasted\n", rep.Tokens, rep.TokensPerSec, rep.WastedTokens)
	var ends []string
	for end := range rep.Endings {
		ends = append(ends, end)
	}
	sort.Strings(ends)
	for _, end := range ends {
		fmt.Fprintf(tab, "ended %s\t%d\n", end, rep.Endings[end])
	}
	writeQuantiles(tab, "time to whole response", rep.Answer)
	writeQuantiles(tab, "time to rejection", rep.Rejection)
	writeQuantiles(tab, "delay of a token", rep.Delay)
	for _, prs := range rep.Classes {
		fmt.Fprintf(tab, "priority %d\t%d sent, %d whole, %d in time\n", prs.Priority, prs.Sent, prs.Whole, prs.InTime)
		writeQuantiles(tab, "  time to first token", prs.FirstToken)
		writeQuantiles(tab, "  between tokens", prs.BetweenTokens)
	}
	for _, shr := range rep.Shares {
		fmt.Fprintf(tab, "workspace %s\t%d sent, %d whole, %d in time, %d tokens\n", shr.Workspace, shr.Sent, shr.Whole, shr.InTime, shr.Tokens)
	}
	for _, det := range rep.Details {
		fmt.Fprintf(tab, "not whole\t%s\n", det)
	}
	return errors.Trace(tab.Flush())
}

func writeQuantiles(out io.Writer, name string, qnt Quantiles) {
	if qnt.Count > 0 {
		fmt.Fprintf(out, "%s\tp50 %v, p95 %v, p99 %v, max %v\n", name, qnt.P50, qnt.P95, qnt.P99, qnt.Max)
	}
}
