package rollout

import (
	"context"
	"sort"

	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/survey"
)

// Rollout queries the daemons for the generation that they have in force.
type Rollout struct {
	generations *survey.Survey[uint64]
}

// Zone holds the progress of one availability zone. Its fields are encoded as JSON under their names.
type Zone struct {
	Name string
	// InForce is the number of daemons that have the generation in force.
	InForce int
	// Behind holds the names of the daemons that responded with a lower generation.
	Behind []string
	// Unreachable holds the names of the daemons that did not respond.
	Unreachable []string
}

// New returns a rollout over the entry VMs that vms returns. It also answers such queries of other daemons with the
// generation in force in generationStore.
func New(mesh *peer.Mesh, generationStore *generation.Store, vms func() []objects.VM) *Rollout {
	own := func() uint64 { return generationStore.InForce().Generation }
	return &Rollout{
		generations: survey.New("InForce", mesh, vms, own),
	}
}

// ZoneProgress queries every daemon and returns, sorted by name, the progress of each zone towards generationNumber.
func (rol *Rollout) ZoneProgress(ctx context.Context, generationNumber uint64) []Zone {
	zones := map[string]*Zone{}
	for _, ans := range rol.generations.Collect(ctx) {
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
		case ans.Value < generationNumber:
			zon.Behind = append(zon.Behind, ans.VM.Name)
		default:
			zon.InForce++
		}
	}
	return sortZones(zones)
}

// sortZones returns the zones sorted by name, each with its daemons sorted by name.
func sortZones(zones map[string]*Zone) []Zone {
	list := make([]Zone, 0, len(zones))
	for _, zon := range zones {
		sort.Strings(zon.Behind)
		sort.Strings(zon.Unreachable)
		list = append(list, *zon)
	}
	sort.Slice(list, func(fst, snd int) bool { return list[fst].Name < list[snd].Name })
	return list
}
