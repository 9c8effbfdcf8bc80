package rollout

import (
	"context"
	"sort"

	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/survey"
)

// Rollout asks daemons which generation they have in force.
type Rollout struct {
	sur *survey.Survey[uint64]
}

// Zone says how far an availability zone has come.
type Zone struct {
	Name string
	// InForce is the number of daemons that have the generation in force.
	InForce int
	// Behind names the daemons that answered with a lower generation.
	Behind []string
	// Unreachable names the daemons that did not answer.
	Unreachable []string
}

// New returns a rollout over the entry VMs that vms returns, and answers such questions of others.
func New(msh *peer.Mesh, sto *generation.Store, vms func() []objects.VM) *Rollout {
	own := func() uint64 { return sto.InForce().Generation }
	return &Rollout{
		sur: survey.New("InForce", msh, vms, own),
	}
}

// Zones asks every daemon for a generation and returns the zones by name.
func (rol *Rollout) Zones(ctx context.Context, gen uint64) []Zone {
	zones := map[string]*Zone{}
	for _, ans := range rol.sur.Ask(ctx) {
		zon, ok := zones[ans.VM.AvailabilityZone]
		if !ok {
			zon = &Zone{
				Name: ans.VM.AvailabilityZone,
			}
			zones[zon.Name] = zon
		}
		switch {
		case ans.Err != nil:
			zon.Unreachable = append(zon.Unreachable, ans.VM.Name)
		case ans.Value < gen:
			zon.Behind = append(zon.Behind, ans.VM.Name)
		default:
			zon.InForce++
		}
	}
	return sorted(zones)
}

func sorted(zones map[string]*Zone) []Zone {
	list := make([]Zone, 0, len(zones))
	for _, zon := range zones {
		sort.Strings(zon.Behind)
		sort.Strings(zon.Unreachable)
		list = append(list, *zon)
	}
	sort.Slice(list, func(fst, snd int) bool { return list[fst].Name < list[snd].Name })
	return list
}
