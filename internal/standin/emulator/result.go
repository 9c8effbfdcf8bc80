package emulator

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// lateWorthFraction is the fraction of its worth that a late response earns, about that of the users' sheets.
const lateWorthFraction = 0.25

// windowLength is the length of the periods among which the worst one is found.
const windowLength = 2 * time.Second

// Result holds the outcomes of the requests of one simulation.
type Result struct {
	// Worth is the earned fraction of the total worth of all requests; WorstWindow and WorstClass are that of the worst two
	// seconds and of the worst class.
	Worth       float64
	WorstWindow float64
	WorstClass  float64
	// OnTime, Late, Rejected and Unanswered are fractions of all requests, after at most one retry.
	OnTime     float64
	Late       float64
	Rejected   float64
	Unanswered float64
	// P50 and P95 are percentiles of the time from the first attempt to the first token, over requests with a response.
	P50 time.Duration
	P95 time.Duration
}

// tally sums the outcomes of requests.
type tally struct {
	// offered and earned are sums of worth, for all requests and for each class and window.
	offered         map[string]float64
	earned          map[string]float64
	firstTokenTimes []time.Duration
	counts          map[string]int
	total           int
}

func newTally() *tally {
	return &tally{
		offered: map[string]float64{},
		earned:  map[string]float64{},
		counts:  map[string]int{},
	}
}

// add counts one request with its arrival time since the start, its time to the first token if any, and its outcome.
func (tly *tally) add(cls *Class, at, first time.Duration, outcome string) {
	part := 0.0
	switch outcome {
	case "on time":
		part = 1
	case "late":
		part = lateWorthFraction
	}
	for _, key := range []string{"all", "class " + cls.Name, fmt.Sprintf("window %d", at/windowLength)} {
		tly.offered[key] += cls.Worth
		tly.earned[key] += cls.Worth * part
	}
	if part > 0 {
		tly.firstTokenTimes = append(tly.firstTokenTimes, first)
	}
	tly.counts[outcome]++
	tly.total++
}

// worstFraction returns the smallest earned fraction among the keys with a prefix.
func (tly *tally) worstFraction(prefix string) float64 {
	least := 1.0
	for key, offered := range tly.offered {
		if len(key) > len(prefix) && key[:len(prefix)] == prefix && offered > 0 {
			least = min(least, tly.earned[key]/offered)
		}
	}
	return least
}

func (tly *tally) result() Result {
	slices.Sort(tly.firstTokenTimes)
	quantile := func(part float64) time.Duration {
		if len(tly.firstTokenTimes) == 0 {
			return 0
		}
		return tly.firstTokenTimes[int(part*float64(len(tly.firstTokenTimes)-1))]
	}
	share := func(outcome string) float64 { return float64(tly.counts[outcome]) / float64(max(1, tly.total)) }
	return Result{
		Worth:       tly.earned["all"] / max(tly.offered["all"], 1),
		WorstWindow: tly.worstFraction("window"),
		WorstClass:  tly.worstFraction("class"),
		OnTime:      share("on time"),
		Late:        share("late"),
		Rejected:    share("refused"),
		Unanswered:  share("unanswered"),
		P50:         quantile(0.5),
		P95:         quantile(0.95),
	}
}

const (
	// seedsPerMean is the number of seeds over whose results SimulateMean takes the mean.
	seedsPerMean = 3
	// noise is the difference in worth up to which policies count as equal. The means of the same policy over different
	// seeds differ by less.
	noise = 0.03
)

// SimulateMean simulates a scenario with several seeds, starting with seed, and returns the mean of their results.
func SimulateMean(scn *Scenario, pol Policy, seed uint64) Result {
	var sum Result
	for num := range uint64(seedsPerMean) {
		res := Simulate(scn, pol, seed+num)
		sum.Worth += res.Worth / seedsPerMean
		sum.WorstWindow += res.WorstWindow / seedsPerMean
		sum.WorstClass += res.WorstClass / seedsPerMean
		sum.OnTime += res.OnTime / seedsPerMean
		sum.Late += res.Late / seedsPerMean
		sum.Rejected += res.Rejected / seedsPerMean
		sum.Unanswered += res.Unanswered / seedsPerMean
		sum.P50 += res.P50 / seedsPerMean
		sum.P95 += res.P95 / seedsPerMean
	}
	return sum
}

// Compare simulates all scenarios with all policies and prints a table. It returns an error if the worth of another policy
// exceeds that of the present policy by more than noise.
func Compare(seed uint64, out io.Writer) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "scenario\tpolicy\tworth\tworst window\tworst class\ton time\tlate\trefused\tunanswered\tp50 ms\tp95 ms")
	var better []string
	for idx := range Scenarios {
		scn := &Scenarios[idx]
		present := SimulateMean(scn, Policies[0], seed)
		for _, pol := range Policies {
			res := present
			if pol.Name != Policies[0].Name {
				res = SimulateMean(scn, pol, seed)
			}
			fmt.Fprintf(tab, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\n", scn.Name, pol.Name, res.Worth,
				res.WorstWindow, res.WorstClass, res.OnTime, res.Late, res.Rejected, res.Unanswered, res.P50.Milliseconds(), res.P95.Milliseconds())
			if res.Worth > present.Worth+noise {
				better = append(better, scn.Name+": "+pol.Name)
			}
		}
	}
	if err := tab.Flush(); err != nil {
		return errors.Trace(err)
	}
	if len(better) > 0 {
		return errors.Errorf("policies earn more worth than the present one by more than the noise (scenario: policy): %s", strings.Join(better, "; "))
	}
	return nil
}
