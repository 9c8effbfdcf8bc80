package retrybudget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cumintally/cumintally/internal/retrybudget"
	"github.com/cumintally/cumintally/internal/steppedclock"
)

const (
	// stepTime is the time between two steps of a simulated fleet, and stepsPerRun the number of its steps.
	stepTime    = 100 * time.Millisecond
	stepsPerRun = 500
	// startTime is the time for which a process that starts does not know the number of daemons.
	startTime = 300 * time.Millisecond
)

// simulatedDaemon is a daemon of a simulated fleet.
type simulatedDaemon struct {
	clk       *steppedclock.Clock
	bud       *retrybudget.Budget
	startedAt time.Time
	// known is the number of daemons that it knows of.
	known int
}

func (dmn *simulatedDaemon) start(cfg retrybudget.Config) {
	dmn.startedAt = dmn.clk.Now()
	dmn.bud = retrybudget.New(cfg, func() float64 {
		if dmn.clk.Since(dmn.startedAt) < startTime {
			return 0
		}
		return 1 / float64(dmn.known)
	}, dmn.startedAt)
}

// Guards against retries beyond the bound over any lives of the daemons, steps of their clocks, shares of the requests, and
// delays until retries arrive, while new daemons are not known to the others.
func TestRetriesOfAllLivesStayWithinTheBound(tst *testing.T) {
	rapid.Check(tst, func(rpt *rapid.T) {
		cfg := retrybudget.Config{
			Ratio:   rapid.SampledFrom([]float64{0, 0.1, 0.2, 0.5}).Draw(rpt, "ratio"),
			Reserve: float64(rapid.IntRange(20, 700).Draw(rpt, "reserve")),
			Window:  10 * time.Second,
		}
		fleet := make([]*simulatedDaemon, rapid.IntRange(4, 12).Draw(rpt, "daemons"))
		for idx := range fleet {
			fleet[idx] = &simulatedDaemon{
				clk:   steppedclock.New(),
				known: len(fleet),
			}
			fleet[idx].start(cfg)
		}
		joinsAt := rapid.IntRange(0, stepsPerRun).Draw(rpt, "joins")
		killRate := rapid.SampledFrom([]int{0, 2, 10, 30}).Draw(rpt, "kills")
		stepRate := rapid.SampledFrom([]int{0, 10}).Draw(rpt, "clockSteps")
		requestRate := rapid.SampledFrom([]int{0, 1, 4, 20}).Draw(rpt, "requests")
		busyFrom := rapid.IntRange(0, stepsPerRun/2).Draw(rpt, "busyFrom")
		busyTill := rapid.IntRange(busyFrom, stepsPerRun).Draw(rpt, "busyTill")
		failureRate := rapid.SampledFrom([]int{1, 5, 50}).Draw(rpt, "failures")
		// Nothing fails before, so that the budgets are full.
		failsFrom := rapid.IntRange(0, stepsPerRun/2).Draw(rpt, "failsFrom")
		maxDelay := rapid.IntRange(0, int(cfg.Window/4/stepTime)).Draw(rpt, "delay")
		// Retries that are sent between heldFrom and heldTill arrive together, as after a cut.
		heldFrom := failsFrom + rapid.IntRange(0, 20).Draw(rpt, "held")
		heldTill := heldFrom + maxDelay
		rnd := rapid.Uint64().Draw(rpt, "seed")
		random := func(num int) int {
			// A linear congruential generator keeps the draws of a run few.
			rnd = rnd*6364136223846793005 + 1442695040888963407
			return int(rnd>>33) % num
		}
		requests, arrivals := make([]int, stepsPerRun), make([]int, stepsPerRun)
		for step := range stepsPerRun {
			if step == joinsAt {
				dmn := &simulatedDaemon{
					clk:   steppedclock.New(),
					known: len(fleet) + 1,
				}
				dmn.start(cfg)
				fleet = append(fleet, dmn)
			}
			for _, dmn := range fleet {
				if random(1000) < killRate {
					dmn.start(cfg)
				}
				if random(1000) < stepRate {
					dmn.clk.Step(random(21) - 10)
				}
				// Outside the busy time, one request in four comes.
				for range random(requestRate + 1) {
					if (step < busyFrom || step >= busyTill) && random(4) > 0 {
						continue
					}
					requests[step]++
					dmn.bud.RecordRequest("recipes", dmn.clk.Now())
				}
				for range random(failureRate + 1) {
					if step < failsFrom {
						continue
					}
					at := step + random(maxDelay+1)
					if step >= heldFrom && step < heldTill {
						at = heldTill
					}
					if dmn.bud.TakeRetry("recipes", dmn.clk.Now()) && at < stepsPerRun {
						arrivals[at]++
					}
				}
				dmn.clk.Advance(stepTime)
			}
		}
		checkWindows(rpt, cfg, requests, arrivals)
	})
}

// checkWindows checks the bound in each window, for the requests in it, in the window before it and in that between them,
// whichever has most.
func checkWindows(rpt *rapid.T, cfg retrybudget.Config, requests, arrivals []int) {
	size := int(cfg.Window / stepTime)
	sum := func(counts []int, from int) int {
		num := 0
		for _, cnt := range counts[max(0, from):max(0, from+size)] {
			num += cnt
		}
		return num
	}
	for from := 0; from+size <= len(arrivals); from++ {
		most := max(sum(requests, from), sum(requests, from-size), sum(requests, from-size/2))
		bound := cfg.Ratio*float64(most) + cfg.Reserve
		if num := sum(arrivals, from); float64(num) > bound {
			rpt.Fatalf("%d retries in the window from step %d, bound %.1f", num, from, bound)
		}
	}
}
