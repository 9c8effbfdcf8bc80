package inventory

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/platform"
)

// listInterval is the time between two reads of the platform's list of VMs.
const listInterval = time.Second

// Zone is the object Zone/<name>: whether operators have taken the availability zone out of service.
type Zone struct {
	Name    string
	Out     bool
	Version uint64
	// Writer is a token of the order, read back when the answer to its write was lost.
	Writer string
}

// Newer reports whether zon takes the place of oth. Two orders that were given on both sides of a
// partition can have the same version: then the one that takes the zone out wins, since it sends no work
// where an operator wanted none, and the writer's token settles the rest in the same way everywhere.
func (zon Zone) Newer(oth Zone) bool {
	if zon.Version != oth.Version {
		return zon.Version > oth.Version
	}
	if zon.Out != oth.Out {
		return zon.Out
	}
	return zon.Writer > oth.Writer
}

// Inventory is a daemon's copy of the platform's objects.
type Inventory struct {
	pst platform.Store
	clk clockwork.Clock
	log *zap.Logger

	mu          sync.RWMutex
	allocations map[string]versionedAllocation
	zones       map[string]Zone
	written     map[string]Zone
	vms         []platform.VM
	vmsAsOf     time.Time
}

type versionedAllocation struct {
	version    uint64
	allocation group.Allocation
}

// New returns an empty inventory.
func New(pst platform.Store, clk clockwork.Clock, log *zap.Logger) *Inventory {
	return &Inventory{
		pst:         pst,
		clk:         clk,
		log:         log.Named("inventory"),
		allocations: map[string]versionedAllocation{},
		zones:       map[string]Zone{},
		written:     map[string]Zone{},
	}
}

// FollowVMs reads the platform's list of VMs until ctx ends.
func (inv *Inventory) FollowVMs(ctx context.Context) {
	for ctx.Err() == nil {
		if vms, err := inv.pst.VMs(ctx); err == nil {
			inv.mu.Lock()
			inv.vms = vms
			inv.vmsAsOf = inv.clk.Now()
			inv.mu.Unlock()
		}
		inv.wait(ctx, listInterval)
	}
}

func (inv *Inventory) wait(ctx context.Context, dur time.Duration) {
	select {
	case <-ctx.Done():
	case <-inv.clk.After(dur):
	}
}

// TakeAllocation keeps an object of kind Allocation unless a newer one is known.
func (inv *Inventory) TakeAllocation(_ context.Context, obj platform.Object) {
	var alc group.Allocation
	if !obj.Deleted {
		if err := json.Unmarshal(obj.Value, &alc); err != nil {
			inv.log.Error("cannot read an allocation", zap.String("name", obj.Name), zap.Error(err))
			return
		}
	}
	inv.mu.Lock()
	defer inv.mu.Unlock()
	if inv.allocations[obj.Name].version >= obj.Version {
		return
	}
	if !obj.Deleted {
		alc.Version = obj.Version
	}
	inv.allocations[obj.Name] = versionedAllocation{
		version:    obj.Version,
		allocation: alc,
	}
}

// TakeZone keeps an object of kind Zone unless a newer one is known.
func (inv *Inventory) TakeZone(_ context.Context, obj platform.Object) {
	if obj.Deleted {
		return
	}
	var zon Zone
	if err := json.Unmarshal(obj.Value, &zon); err != nil {
		inv.log.Error("cannot read a zone", zap.String("name", obj.Name), zap.Error(err))
		return
	}
	inv.SetWrittenZone(zon)
}

// SetWrittenZone keeps a state of a zone that the platform holds, unless a newer one is known.
func (inv *Inventory) SetWrittenZone(zon Zone) {
	inv.mu.Lock()
	if zon.Newer(inv.written[zon.Name]) {
		inv.written[zon.Name] = zon
	}
	inv.mu.Unlock()
	inv.SetZone(zon)
}

// SetZone keeps the state of a zone unless a newer one is known; it reports whether it was kept.
func (inv *Inventory) SetZone(zon Zone) bool {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	if !zon.Newer(inv.zones[zon.Name]) {
		return false
	}
	inv.zones[zon.Name] = zon
	inv.log.Info("zone state changed", zap.String("zone", zon.Name), zap.Bool("out", zon.Out), zap.Uint64("version", zon.Version))
	return true
}

// OrderZone makes an order that was not written to the platform the newest state of a zone known here. It
// takes the version and keeps the order in one step, so that of two orders that race through the zone's
// daemons one learns of the other.
func (inv *Inventory) OrderZone(name string, out bool, writer string) Zone {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	zon := Zone{
		Name:    name,
		Out:     out,
		Version: inv.zones[name].Version + 1,
		Writer:  writer,
	}
	inv.zones[name] = zon
	return zon
}

// Unwritten reports whether the state of a zone is an order that the platform is not known to hold.
func (inv *Inventory) Unwritten(name string) bool {
	inv.mu.RLock()
	defer inv.mu.RUnlock()
	return inv.zones[name].Newer(inv.written[name])
}

// Zone returns the state of a zone; a zone that nothing is known of is in service.
func (inv *Inventory) Zone(name string) Zone {
	inv.mu.RLock()
	defer inv.mu.RUnlock()
	return inv.zones[name]
}

// Allocation returns the allocation of a fabric domain and its version, 0 if there is none.
func (inv *Inventory) Allocation(domain string) (group.Allocation, uint64) {
	inv.mu.RLock()
	defer inv.mu.RUnlock()
	val := inv.allocations[domain]
	return val.allocation, val.version
}

// Allocations returns the allocations of an availability zone, ordered by fabric domain.
func (inv *Inventory) Allocations(zone string) []group.Allocation {
	inv.mu.RLock()
	defer inv.mu.RUnlock()
	var alcs []group.Allocation
	for _, val := range inv.allocations {
		if val.allocation.AvailabilityZone == zone {
			alcs = append(alcs, val.allocation)
		}
	}
	sort.Slice(alcs, func(fst, snd int) bool { return alcs[fst].FabricDomain < alcs[snd].FabricDomain })
	return alcs
}

// VMs returns the platform's latest list of VMs and when it was read.
func (inv *Inventory) VMs() ([]platform.VM, time.Time) {
	inv.mu.RLock()
	defer inv.mu.RUnlock()
	return inv.vms, inv.vmsAsOf
}

// Engines returns the engines of an availability zone: those that the platform lists, and members of
// groups that the list lacks, since the list lags; these have no State.
func (inv *Inventory) Engines(zone string) []platform.VM {
	inv.mu.RLock()
	defer inv.mu.RUnlock()
	var vms []platform.VM
	listed := map[string]bool{}
	for _, vmc := range inv.vms {
		if vmc.Role == platform.RoleEngine && vmc.AvailabilityZone == zone {
			vms = append(vms, vmc)
			listed[vmc.Name] = true
		}
	}
	for _, val := range inv.allocations {
		if val.allocation.AvailabilityZone != zone {
			continue
		}
		for _, grp := range val.allocation.Groups {
			for _, mem := range grp.Members {
				if listed[mem.VM] {
					continue
				}
				vms = append(vms, platform.VM{
					Name:             mem.VM,
					AvailabilityZone: zone,
					FabricDomain:     val.allocation.FabricDomain,
					Role:             platform.RoleEngine,
					Address:          mem.Address,
				})
			}
		}
	}
	return vms
}
