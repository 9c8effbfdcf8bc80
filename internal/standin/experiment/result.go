package experiment

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/standin/engine"
	"github.com/cumintally/cumintally/internal/standin/fleet"
	"github.com/cumintally/cumintally/internal/standin/load"
)

// totals are sums over all daemons and engines.
type totals struct {
	promptBlocks   int
	cachedBlocks   int
	peerBytes      float64
	permitCalls    float64
	expiredPermits float64
}

func (tot totals) minus(old totals) totals {
	return totals{
		promptBlocks:   tot.promptBlocks - old.promptBlocks,
		cachedBlocks:   tot.cachedBlocks - old.cachedBlocks,
		peerBytes:      tot.peerBytes - old.peerBytes,
		permitCalls:    tot.permitCalls - old.permitCalls,
		expiredPermits: tot.expiredPermits - old.expiredPermits,
	}
}

func (run *Run) totals(ctx context.Context) (totals, error) {
	var tot totals
	for _, eng := range run.fleet.Engines {
		if eng.ExitedWithin(time.Millisecond) {
			continue
		}
		var cnt engine.Counts
		if err := getJSON(ctx, "http://"+eng.Address+"/counts", "", &cnt); err != nil {
			return tot, errors.Trace(err)
		}
		tot.promptBlocks += cnt.PromptBlocks
		tot.cachedBlocks += cnt.CachedBlocks
	}
	for _, ent := range run.fleet.Entries {
		if ent.ExitedWithin(time.Millisecond) {
			continue
		}
		met, err := scrape(ctx, ent)
		if err != nil {
			return tot, errors.Trace(err)
		}
		tot.peerBytes += met["cumintally_PeerBytesSent"]
		tot.permitCalls += met["cumintally_PermitCalls"]
		tot.expiredPermits += met["cumintally_PermitExpired"]
	}
	return tot, nil
}

// scrape returns the metrics of a daemon that have no labels.
func scrape(ctx context.Context, ent *fleet.Entry) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ent.Operators+"/metrics", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+fleet.OperatorKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer res.Body.Close()
	vals := map[string]float64{}
	scn := bufio.NewScanner(res.Body)
	for scn.Scan() {
		name, text, ok := strings.Cut(scn.Text(), " ")
		if val, err := strconv.ParseFloat(text, 64); ok && err == nil {
			vals[name] = val
		}
	}
	return vals, errors.Trace(scn.Err())
}

// result holds what was measured in one run.
type result struct {
	policy        string
	entries       int
	report        *load.Report
	usage         totals
	coldMost      int
	exitedEngines []string
}

const header = "| policy | in time | rejected | other outcomes | first token p50/p95/p99 by priority (ms) | between tokens p50/p95/p99 (ms) |" +
	" cache hits | max in flight at the cold server | engines lost | peer bytes/s per daemon | permit calls/request | permits expired before sending |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"

func (res *result) write(out io.Writer) {
	rep := res.report
	rejected, other := 0, 0
	for end, num := range rep.Endings {
		switch {
		case strings.Contains(end, "NotRun"):
			rejected += num
		case end != "Whole":
			other += num
		}
	}
	var firsts, betweens []string
	for _, prs := range rep.Classes {
		firsts = append(firsts, fmt.Sprintf("%d: %s", prs.Priority, formatQuantiles(prs.FirstToken)))
		betweens = append(betweens, formatQuantiles(prs.BetweenTokens))
	}
	fmt.Fprintf(out, "| %s | %.1f%% | %d of %d | %d | %s | %s | %.1f%% | %s | %d | %.0f | %.2f | %.0f |\n",
		res.policy, 100*rep.InTimeShare, rejected, rep.Sent, other,
		strings.Join(firsts, "; "), strings.Join(betweens, "; "),
		100*float64(res.usage.cachedBlocks)/float64(max(1, res.usage.promptBlocks)), res.formatColdMost(), len(res.exitedEngines),
		res.usage.peerBytes/rep.Elapsed.Seconds()/float64(res.entries),
		res.usage.permitCalls/float64(max(1, rep.Sent)), res.usage.expiredPermits)
}

func (res *result) formatColdMost() string {
	if res.coldMost == 0 {
		return "-"
	}
	return fmt.Sprintf("%d of %d", res.coldMost, coldLimit)
}

func formatQuantiles(qnt load.Quantiles) string {
	return fmt.Sprintf("%d/%d/%d", qnt.P50/time.Millisecond, qnt.P95/time.Millisecond, qnt.P99/time.Millisecond)
}
