package emulator

import (
	"time"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/placement"
)

// Policy says how requests are placed and when they are rejected.
type Policy struct {
	Name string
	// MaxForecastObjectives replaces the daemons' bound on the forecast, as a multiple of the objective. 0 keeps the
	// daemons' bound, and a negative value rejects nothing.
	MaxForecastObjectives float64
	// RetriesAsNew says that a retry is treated as a new request.
	RetriesAsNew bool
	// IgnoreStaleness says that the daemons' load data are treated as current.
	IgnoreStaleness bool
	// chooseGroup returns the name of the chosen group. It replaces the daemons' placement unless it is nil.
	chooseGroup func(sim *simulation, dmn *daemon, names []string) string
}

// Policies are the daemons' current policy, its earlier forms and the baselines, which reject nothing.
var Policies = []Policy{
	{
		Name: "present",
	},
	{
		Name:            "ignores staleness",
		IgnoreStaleness: true,
	},
	{
		Name:         "treats retries as new",
		RetriesAsNew: true,
	},
	{
		Name:                  "rejects after 2.5 objectives",
		MaxForecastObjectives: 2.5,
	},
	{
		Name:                  "rejects nothing",
		MaxForecastObjectives: -1,
	},
	{
		Name:                  "round robin",
		MaxForecastObjectives: -1,
		chooseGroup: func(_ *simulation, dmn *daemon, names []string) string {
			dmn.roundRobinIndex++
			return names[dmn.roundRobinIndex%len(names)]
		},
	},
	{
		Name:                  "least outstanding",
		MaxForecastObjectives: -1,
		chooseGroup: func(sim *simulation, dmn *daemon, names []string) string {
			own := map[string]int{}
			for _, lod := range dmn.placer.Loads() {
				own[lod.Server] = lod.Requests
			}
			best := names[sim.rng.IntN(len(names))]
			for _, name := range names {
				if own[name] < own[best] {
					best = name
				}
			}
			return best
		},
	},
	{
		Name:                  "two choices",
		MaxForecastObjectives: -1,
		chooseGroup: func(sim *simulation, dmn *daemon, names []string) string {
			one, two := names[sim.rng.IntN(len(names))], names[sim.rng.IntN(len(names))]
			if now := sim.clock.Now(); dmn.loadView.OthersLoad(two, now).Requests < dmn.loadView.OthersLoad(one, now).Requests {
				return two
			}
			return one
		},
	},
}

// maxUsefulForecast returns the function that bounds the forecast at which a request is still sent, or nil if the policy
// rejects nothing. waited is the time since the arrival of a request that was rejected, and 0 for others.
func (pol *Policy) maxUsefulForecast(objective, waited time.Duration) func(alone time.Duration) time.Duration {
	switch {
	case pol.MaxForecastObjectives < 0:
		return nil
	case pol.MaxForecastObjectives > 0:
		return func(time.Duration) time.Duration {
			return time.Duration(float64(objective) * pol.MaxForecastObjectives)
		}
	case pol.RetriesAsNew:
		waited = 0
	}
	return func(alone time.Duration) time.Duration { return admission.MaxUsefulForecast(objective, waited, alone) }
}

// choose places a request with the daemons' placement or with the baseline of the policy.
func (pol *Policy) choose(sim *simulation, dmn *daemon, req placement.Request) (placement.Pick, error) {
	now := sim.clock.Now()
	if pol.chooseGroup == nil {
		return dmn.placer.Choose(req, now)
	}
	var names []string
	for _, name := range sim.groupNames[req.Model] {
		if _, ok := sim.registry.View().Server(name); ok {
			names = append(names, name)
		}
	}
	chosen := pol.chooseGroup(sim, dmn, names)
	// Excluding all other groups enforces the baseline's choice, while placement still counts the load of the request.
	for _, name := range names {
		if name != chosen {
			req.Avoid = append(req.Avoid, name)
		}
	}
	return dmn.placer.Choose(req, now)
}
