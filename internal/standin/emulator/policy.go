package emulator

import (
	"time"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/placement"
)

// Policy is a way to place requests and to turn them away.
type Policy struct {
	Name string
	// Patience takes the place of the daemons' bound on forecasts, in objectives; 0 keeps it, and a negative one turns
	// nothing away.
	Patience float64
	// Forgets says that a request which comes back is taken for a new one.
	Forgets bool
	// FreshViews says that views count as having no age.
	FreshViews bool
	// pick chooses a group by its name in place of the daemons' choice.
	pick func(ste *site, dmn *daemon, names []string) string
}

// Policies are the daemons' present one, what it was before, and baselines, which turn nothing away.
var Policies = []Policy{
	{
		Name: "present",
	},
	{
		Name:       "views as if fresh",
		FreshViews: true,
	},
	{
		Name:    "forgets who came before",
		Forgets: true,
	},
	{
		Name:     "turns away after 2.5 objectives",
		Patience: 2.5,
	},
	{
		Name:     "turns nothing away",
		Patience: -1,
	},
	{
		Name:     "round robin",
		Patience: -1,
		pick: func(_ *site, dmn *daemon, names []string) string {
			dmn.turn++
			return names[dmn.turn%len(names)]
		},
	},
	{
		Name:     "least outstanding",
		Patience: -1,
		pick: func(ste *site, dmn *daemon, names []string) string {
			own := map[string]int{}
			for _, lod := range dmn.plm.Loads() {
				own[lod.Server] = lod.Requests
			}
			best := names[ste.rng.IntN(len(names))]
			for _, name := range names {
				if own[name] < own[best] {
					best = name
				}
			}
			return best
		},
	},
	{
		Name:     "two choices",
		Patience: -1,
		pick: func(ste *site, dmn *daemon, names []string) string {
			one, two := names[ste.rng.IntN(len(names))], names[ste.rng.IntN(len(names))]
			if now := ste.clk.Now(); dmn.viw.OthersLoad(two, now).Requests < dmn.viw.OthersLoad(one, now).Requests {
				return two
			}
			return one
		},
	},
}

// useful returns what the policy takes for worth sending, for a request that has waited so long since it was first
// turned away; nil for everything.
func (pol *Policy) useful(objective, waited time.Duration) func(alone time.Duration) time.Duration {
	switch {
	case pol.Patience < 0:
		return nil
	case pol.Patience > 0:
		return func(time.Duration) time.Duration { return time.Duration(float64(objective) * pol.Patience) }
	case pol.Forgets:
		waited = 0
	}
	return func(alone time.Duration) time.Duration { return admission.MaxUsefulForecast(objective, waited, alone) }
}

func (pol *Policy) choose(ste *site, dmn *daemon, req placement.Request) (placement.Pick, error) {
	now := ste.clk.Now()
	if pol.pick == nil {
		return dmn.plm.Choose(req, now)
	}
	var names []string
	for _, name := range ste.names[req.Model] {
		if _, ok := ste.reg.View().Server(name); ok {
			names = append(names, name)
		}
	}
	chosen := pol.pick(ste, dmn, names)
	// Leaving all others out makes the choice that of the baseline, while its work is counted as usual.
	for _, name := range names {
		if name != chosen {
			req.Avoid = append(req.Avoid, name)
		}
	}
	return dmn.plm.Choose(req, now)
}
