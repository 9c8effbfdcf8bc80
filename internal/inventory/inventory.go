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

// Zone is the stored object Zone/<name>: whether operators have taken the availability zone out of service.
type Zone struct {
	Name    string
	Out     bool
	Version uint64
	// Writer identifies the order that wrote this state. It is read back to find out whether a write of unknown outcome
	// took effect.
	Writer string
}

// Newer reports whether zon replaces other. Two orders given on both sides of a network partition can have the same
// version. Then the one that takes the zone out of service wins, so that no requests are sent to a zone that an
// operator took out. Between orders that agree on that too, comparing Writer gives the same result at every daemon.
func (zon Zone) Newer(other Zone) bool {
	if zon.Version != other.Version {
		return zon.Version > other.Version
	}
	if zon.Out != other.Out {
		return zon.Out
	}
	return zon.Writer > other.Writer
}

// Inventory is a daemon's copy of the objects in the store.
type Inventory struct {
	log *zap.Logger

	mu          sync.RWMutex
	allocations map[string]versionedAllocation
	zones       map[string]Zone
	storedZones map[string]Zone
	vmsByName   map[string]objects.VM
	// vms lists the values of vmsByName sorted by name. It is nil after a change.
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
		storedZones: map[string]Zone{},
		vmsByName:   map[string]objects.VM{},
	}
}

// ApplyVM stores an entry of the platform's list of VMs, or removes it if the object is deleted.
func (inv *Inventory) ApplyVM(_ context.Context, obj objects.Object) {
	var vmc objects.VM
	if !obj.Deleted {
		if err := json.Unmarshal(obj.Value, &vmc); err != nil {
			inv.log.Error("cannot decode a VM object", zap.String("name", obj.Name), zap.Error(err))
			return
		}
	}
	inv.mu.Lock()
	defer inv.mu.Unlock()
	if obj.Deleted {
		delete(inv.vmsByName, obj.Name)
	} else {
		inv.vmsByName[obj.Name] = vmc
	}
	inv.vms = nil
}

// ApplyAllocation stores an object of kind Allocation unless the same or a newer version is known.
func (inv *Inventory) ApplyAllocation(_ context.Context, obj objects.Object) {
	var alc group.Allocation
	if !obj.Deleted {
		if err := json.Unmarshal(obj.Value, &alc); err != nil {
			inv.log.Error("cannot decode an allocation object", zap.String("name", obj.Name), zap.Error(err))
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

// ApplyZone stores an object of kind Zone unless a newer one is known.
func (inv *Inventory) ApplyZone(_ context.Context, obj objects.Object) {
	if obj.Deleted {
		return
	}
	var zon Zone
	if err := json.Unmarshal(obj.Value, &zon); err != nil {
		inv.log.Error("cannot decode a zone object", zap.String("name", obj.Name), zap.Error(err))
		return
	}
	inv.SetStoredZone(zon)
}

// SetStoredZone records the state of a zone that the store holds, unless a newer one is known.
func (inv *Inventory) SetStoredZone(zon Zone) {
	inv.mu.Lock()
	if zon.Newer(inv.storedZones[zon.Name]) {
		inv.storedZones[zon.Name] = zon
	}
	inv.mu.Unlock()
	inv.SetZone(zon)
}

// SetZone records the state of a zone unless the same or a newer one is known. It reports whether the state changed.
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

// SetUnstoredZone makes an order that is not written to the store the newest known state of a zone. It assigns the
// version and records the order atomically, so that of two concurrent orders through the zone's daemons one sees the
// other.
func (inv *Inventory) SetUnstoredZone(name string, out bool, writer string) Zone {
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

// ZoneUnstored reports whether the state of a zone is newer than the latest one that the store is known to hold.
func (inv *Inventory) ZoneUnstored(name string) bool {
	inv.mu.RLock()
	defer inv.mu.RUnlock()
	return inv.zones[name].Newer(inv.storedZones[name])
}

// Zone returns the state of a zone. An unknown zone is in service.
func (inv *Inventory) Zone(name string) Zone {
	inv.mu.RLock()
	defer inv.mu.RUnlock()
	return inv.zones[name]
}

// Allocation returns the allocation of a fabric domain and its version, 0 if none is known.
func (inv *Inventory) Allocation(domain string) (group.Allocation, uint64) {
	inv.mu.RLock()
	defer inv.mu.RUnlock()
	val := inv.allocations[domain]
	return val.allocation, val.version
}

// AllAllocations returns the allocations of all fabric domains.
func (inv *Inventory) AllAllocations() []group.Allocation {
	inv.mu.RLock()
	defer inv.mu.RUnlock()
	alcs := make([]group.Allocation, 0, len(inv.allocations))
	for _, val := range inv.allocations {
		alcs = append(alcs, val.allocation)
	}
	return alcs
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

// VMs returns the platform's list of VMs sorted by name. Callers must not modify it.
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

// listVMs returns the list of VMs and rebuilds it after a change. The caller holds the lock.
func (inv *Inventory) listVMs() []objects.VM {
	if inv.vms == nil {
		inv.vms = make([]objects.VM, 0, len(inv.vmsByName))
		for _, vmc := range inv.vmsByName {
			inv.vms = append(inv.vms, vmc)
		}
		sort.Slice(inv.vms, func(fst, snd int) bool { return inv.vms[fst].Name < inv.vms[snd].Name })
	}
	return inv.vms
}

// Engines returns the engines of an availability zone: those in the platform's list, and group members that are missing
// from it because the list lags behind the allocations. The latter have no State.
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
