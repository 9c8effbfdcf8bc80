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

// lateWorth is the part of its worth that a late answer has, about that of the users' sheets.
const lateWorth = 0.25

// window is the span over which the worst seconds are judged.
const window = 2 * time.Second

// Result is what callers got in one play.
type Result struct {
	// Worth is the part of all worth that was earned, WorstWindow and WorstClass that of the worst two seconds and kind.
	Worth       float64
	WorstWindow float64
	WorstClass  float64
	// OnTime, Late, Refused and Unanswered are parts of all requests, after at most one return.
	OnTime     float64
	Late       float64
	Refused    float64
	Unanswered float64
	// P50 and P95 are of the time to the first token of answered requests, from the first attempt.
	P50 time.Duration
	P95 time.Duration
}

// tally adds up what callers got.
type tally struct {
	owed    map[string]float64
	earned  map[string]float64
	firsts  []time.Duration
	counts  map[string]int
	counted int
}

func newTally() *tally {
	return &tally{
		owed:   map[string]float64{},
		earned: map[string]float64{},
		counts: map[string]int{},
	}
}

// add takes one request: when it came, its first token if any, and how it ended.
func (tly *tally) add(cls *Class, at, first time.Duration, end string) {
	part := 0.0
	switch end {
	case "on time":
		part = 1
	case "late":
		part = lateWorth
	}
	for _, key := range []string{"all", "class " + cls.Name, fmt.Sprintf("window %d", at/window)} {
		tly.owed[key] += cls.Worth
		tly.earned[key] += cls.Worth * part
	}
	if part > 0 {
		tly.firsts = append(tly.firsts, first)
	}
	tly.counts[end]++
	tly.counted++
}

// worst returns the least part earned among the keys with a prefix.
func (tly *tally) worst(prefix string) float64 {
	least := 1.0
	for key, owed := range tly.owed {
		if len(key) > len(prefix) && key[:len(prefix)] == prefix && owed > 0 {
			least = min(least, tly.earned[key]/owed)
		}
	}
	return least
}

func (tly *tally) result() Result {
	slices.Sort(tly.firsts)
	quantile := func(part float64) time.Duration {
		if len(tly.firsts) == 0 {
			return 0
		}
		return tly.firsts[int(part*float64(len(tly.firsts)-1))]
	}
	share := func(end string) float64 { return float64(tly.counts[end]) / float64(max(1, tly.counted)) }
	return Result{
		Worth:       tly.earned["all"] / max(tly.owed["all"], 1),
		WorstWindow: tly.worst("window"),
		WorstClass:  tly.worst("class"),
		OnTime:      share("on time"),
		Late:        share("late"),
		Refused:     share("refused"),
		Unanswered:  share("unanswered"),
		P50:         quantile(0.5),
		P95:         quantile(0.95),
	}
}

const (
	// plays is the number of seeds over which policies are compared.
	plays = 3
	// noise is the difference in worth that says nothing: the means of one policy differ by less.
	noise = 0.03
)

// Mean plays a scenario with several seeds and returns the mean of what callers got.
func Mean(scn *Scenario, pol Policy, seed uint64) Result {
	var sum Result
	for num := range uint64(plays) {
		res := Play(scn, pol, seed+num)
		sum.Worth += res.Worth / plays
		sum.WorstWindow += res.WorstWindow / plays
		sum.WorstClass += res.WorstClass / plays
		sum.OnTime += res.OnTime / plays
		sum.Late += res.Late / plays
		sum.Refused += res.Refused / plays
		sum.Unanswered += res.Unanswered / plays
		sum.P50 += res.P50 / plays
		sum.P95 += res.P95 / plays
	}
	return sum
}

// Compare plays all scenarios with all policies and prints a table. It fails if the present policy loses to another one
// by more than noise.
func Compare(seed uint64, out io.Writer) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "scenario\tpolicy\tworth\tworst window\tworst kind\ton time\tlate\trefused\tunanswered\tp50 ms\tp95 ms")
	var lost []string
	for idx := range Scenarios {
		scn := &Scenarios[idx]
		present := Mean(scn, Policies[0], seed)
		for _, pol := range Policies {
			res := present
			if pol.Name != Policies[0].Name {
				res = Mean(scn, pol, seed)
			}
			fmt.Fprintf(tab, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\n", scn.Name, pol.Name, res.Worth,
				res.WorstWindow, res.WorstClass, res.OnTime, res.Late, res.Refused, res.Unanswered, res.P50.Milliseconds(), res.P95.Milliseconds())
			if res.Worth > present.Worth+noise {
				lost = append(lost, scn.Name+": "+pol.Name)
			}
		}
	}
	if err := tab.Flush(); err != nil {
		return errors.Trace(err)
	}
	if len(lost) > 0 {
		return errors.Errorf("the present policy loses: %s", strings.Join(lost, "; "))
	}
	return nil
}
