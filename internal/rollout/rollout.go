package rollout

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/platform"
)

const (
	kindInForce = "InForce"
	// askTimeout bounds one question, so that zones that are cut off do not delay the answer.
	askTimeout = time.Second
	// askLimit is the number of questions at once.
	askLimit = 32
)

// Rollout asks daemons which generation they have in force.
type Rollout struct {
	msh *peer.Mesh
	sto *generation.Store
	vms func() []platform.VM
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

type inForce struct {
	Generation uint64
}

// New returns a rollout over the entry VMs that vms returns, and answers such questions of others.
func New(msh *peer.Mesh, sto *generation.Store, vms func() []platform.VM) *Rollout {
	rol := &Rollout{
		msh: msh,
		sto: sto,
		vms: vms,
	}
	msh.Handle(kindInForce, func(context.Context, peer.Identity, []byte) (any, error) {
		return rol.own(), nil
	})
	return rol
}

func (rol *Rollout) own() inForce {
	return inForce{
		Generation: rol.sto.InForce().Generation,
	}
}

// Zones asks every daemon for a generation and returns the zones by name.
func (rol *Rollout) Zones(ctx context.Context, gen uint64) []Zone {
	zones := map[string]*Zone{}
	var mu sync.Mutex
	var wgr sync.WaitGroup
	slots := make(chan struct{}, askLimit)
	for _, vmc := range rol.vms() {
		if vmc.Role != platform.RoleEntry {
			continue
		}
		slots <- struct{}{}
		wgr.Go(func() {
			defer func() { <-slots }()
			has, err := rol.ask(ctx, vmc)
			mu.Lock()
			defer mu.Unlock()
			zon, ok := zones[vmc.AvailabilityZone]
			if !ok {
				zon = &Zone{
					Name: vmc.AvailabilityZone,
				}
				zones[vmc.AvailabilityZone] = zon
			}
			switch {
			case err != nil:
				zon.Unreachable = append(zon.Unreachable, vmc.Name)
			case has.Generation < gen:
				zon.Behind = append(zon.Behind, vmc.Name)
			default:
				zon.InForce++
			}
		})
	}
	wgr.Wait()
	return sorted(zones)
}

func (rol *Rollout) ask(ctx context.Context, vmc platform.VM) (inForce, error) {
	if vmc.Name == rol.msh.Self().Name {
		return rol.own(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var has inForce
	err := rol.msh.Call(ctx, vmc.Address, kindInForce, nil, &has)
	return has, err
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
