package allocationwriter

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
)

// Writer writes allocations while this daemon holds the lease.
type Writer struct {
	store     objects.Store
	localCopy *inventory.Inventory
	leaseHeld func() bool
}

// New returns a writer that writes to the store only while leaseHeld returns true.
func New(store objects.Store, inv *inventory.Inventory, leaseHeld func() bool) *Writer {
	return &Writer{
		store:     store,
		localCopy: inv,
		leaseHeld: leaseHeld,
	}
}

// Refresh copies the allocations that former lease holders wrote into the inventory, since a watch may not have
// delivered them yet. Allocations of the inventory that the store lost, because it was restored from a copy, are written
// again.
func (wrt *Writer) Refresh(ctx context.Context) error {
	objs, ver, err := wrt.store.List(ctx, objects.KindAllocation)
	if err != nil {
		return errors.Annotate(err, "read the allocations")
	}
	stored := map[string]objects.Object{}
	for _, obj := range objs {
		stored[obj.Name] = obj
	}
	for _, known := range wrt.localCopy.AllAllocations() {
		obj := stored[known.FabricDomain]
		if objects.EraOf(known.Version) == objects.EraOf(ver) || decodeCounter(obj) >= known.Counter {
			continue
		}
		known.Version = obj.Version
		if err := wrt.Write(ctx, known); err != nil {
			return errors.Annotatef(err, "write the lost allocation of %s again", known.FabricDomain)
		}
		delete(stored, known.FabricDomain)
	}
	for _, obj := range stored {
		wrt.localCopy.ApplyAllocation(ctx, obj)
	}
	return nil
}

// decodeCounter returns the counter of a stored allocation, 0 if there is none or it cannot be decoded.
func decodeCounter(obj objects.Object) uint64 {
	var alc group.Allocation
	if len(obj.Value) == 0 || json.Unmarshal(obj.Value, &alc) != nil {
		return 0
	}
	return alc.Counter
}

// MinCounter returns a number that exceeds the counters of all allocations that the store may have lost.
func (wrt *Writer) MinCounter() uint64 {
	return objects.VersionIn(wrt.store.CurrentEra(), 0)
}

// Write replaces the stored allocation that the given one was derived from. It fails with objects.ErrConflict if the
// stored one has changed since, or if a write of unknown outcome turns out not to have taken effect.
func (wrt *Writer) Write(ctx context.Context, allocation group.Allocation) error {
	allocation.Writer = uuid.NewString()
	val, err := json.Marshal(allocation)
	if err != nil {
		return errors.Trace(err)
	}
	if !wrt.leaseHeld() {
		return errors.New("the lease ended before the allocation was written")
	}
	ver, err := wrt.store.Put(ctx, objects.KindAllocation, allocation.FabricDomain, allocation.Version, val)
	if errors.Is(err, objects.ErrUnknownOutcome) {
		return wrt.readBack(ctx, allocation)
	}
	if err != nil {
		return errors.Trace(err)
	}
	wrt.localCopy.ApplyAllocation(ctx, objects.Object{
		Kind:    objects.KindAllocation,
		Name:    allocation.FabricDomain,
		Version: ver,
		Value:   val,
	})
	return nil
}

// readBack finds out whether a write of unknown outcome took effect.
func (wrt *Writer) readBack(ctx context.Context, alc group.Allocation) error {
	obj, err := wrt.store.Get(ctx, objects.KindAllocation, alc.FabricDomain)
	if err != nil {
		return errors.Annotate(err, "read back an allocation after a write of unknown outcome")
	}
	wrt.localCopy.ApplyAllocation(ctx, obj)
	var got group.Allocation
	if err := json.Unmarshal(obj.Value, &got); err != nil {
		return errors.Trace(err)
	}
	if got.Writer != alc.Writer {
		// The write may still take effect later. It then changes the version, so that later writes based on the old
		// version conflict.
		return errors.Annotate(objects.ErrConflict, "the write of the allocation did not take effect")
	}
	return nil
}
