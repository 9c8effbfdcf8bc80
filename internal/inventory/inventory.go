package inventory

import (
	"context"
	"encoding/json"
	"sort"
	"sync"

	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/objects"
)

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
	log *zap.Logger

	mu          sync.RWMutex
	allocations map[string]versionedAllocation
	zones       map[string]Zone
	written     map[string]Zone
	byName      map[string]objects.VM
	// vms is byName as a list in the order of the names, nil after a change.
	vms []objects.VM
}

type versionedAllocation struct {
	version    uint64
	allocation group.Allocation
}

// New returns an empty inventory.
func New(log *zap.Logger) *Inventory {
	return &Inventory{
		log:         log.Named("inventory"),
		allocations: map[string]versionedAllocation{},
		zones:       map[string]Zone{},
		written:     map[string]Zone{},
		byName:      map[string]objects.VM{},
	}
}

// TakeVM keeps an entry of the platform's list of VMs, or drops it if it is deleted.
func (inv *Inventory) TakeVM(_ context.Context, obj objects.Object) {
	var vmc objects.VM
	if !obj.Deleted {
		if err := json.Unmarshal(obj.Value, &vmc); err != nil {
			inv.log.Error("cannot read a VM", zap.String("name", obj.Name), zap.Error(err))
			return
		}
	}
	inv.mu.Lock()
	defer inv.mu.Unlock()
	if obj.Deleted {
		delete(inv.byName, obj.Name)
	} else {
		inv.byName[obj.Name] = vmc
	}
	inv.vms = nil
}

// TakeAllocation keeps an object of kind Allocation unless a newer one is known.
func (inv *Inventory) TakeAllocation(_ context.Context, obj objects.Object) {
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
func (inv *Inventory) TakeZone(_ context.Context, obj objects.Object) {
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

// VMs returns the platform's list of VMs, which must not be changed.
func (inv *Inventory) VMs() []objects.VM {
	inv.mu.RLock()
	vms := inv.vms
	inv.mu.RUnlock()
	if vms != nil {
		return vms
	}
	inv.mu.Lock()
	defer inv.mu.Unlock()
	return inv.listVMs()
}

// listVMs makes the list of VMs after a change; the lock is held.
func (inv *Inventory) listVMs() []objects.VM {
	if inv.vms == nil {
		inv.vms = make([]objects.VM, 0, len(inv.byName))
		for _, vmc := range inv.byName {
			inv.vms = append(inv.vms, vmc)
		}
		sort.Slice(inv.vms, func(fst, snd int) bool { return inv.vms[fst].Name < inv.vms[snd].Name })
	}
	return inv.vms
}

// Engines returns the engines of an availability zone: those that the platform lists, and members of
// groups that the list lacks, since the list lags; these have no State.
func (inv *Inventory) Engines(zone string) []objects.VM {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	var vms []objects.VM
	listed := map[string]bool{}
	for _, vmc := range inv.listVMs() {
		if vmc.Role == objects.RoleEngine && vmc.AvailabilityZone == zone {
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
				vms = append(vms, objects.VM{
					Name:             mem.VM,
					AvailabilityZone: zone,
					FabricDomain:     val.allocation.FabricDomain,
					Role:             objects.RoleEngine,
					Address:          mem.Address,
				})
			}
		}
	}
	return vms
}
