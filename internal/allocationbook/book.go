package allocationbook

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
)

// Book writes allocations while its holder may.
type Book struct {
	pst  objects.Store
	inv  *inventory.Inventory
	held func() bool
}

// New returns a book that writes only while held is true.
func New(pst objects.Store, inv *inventory.Inventory, held func() bool) *Book {
	return &Book{
		pst:  pst,
		inv:  inv,
		held: held,
	}
}

// Read takes over the allocations that former holders wrote, which a watch may not have brought yet.
func (bok *Book) Read(ctx context.Context) error {
	objs, _, err := bok.pst.List(ctx, objects.KindAllocation)
	if err != nil {
		return errors.Annotate(err, "read the allocations")
	}
	for _, obj := range objs {
		bok.inv.TakeAllocation(ctx, obj)
	}
	return nil
}

// Write replaces the allocation that alc was made from.
func (bok *Book) Write(ctx context.Context, alc group.Allocation) error {
	alc.Writer = uuid.NewString()
	val, err := json.Marshal(alc)
	if err != nil {
		return errors.Trace(err)
	}
	if !bok.held() {
		return errors.New("the lease ended")
	}
	ver, err := bok.pst.Put(ctx, objects.KindAllocation, alc.FabricDomain, alc.Version, val)
	if errors.Is(err, objects.ErrUnknownOutcome) {
		return bok.readBack(ctx, alc)
	}
	if err != nil {
		return errors.Trace(err)
	}
	bok.inv.TakeAllocation(ctx, objects.Object{
		Kind:    objects.KindAllocation,
		Name:    alc.FabricDomain,
		Version: ver,
		Value:   val,
	})
	return nil
}

// readBack learns whether a write whose answer was lost took effect.
func (bok *Book) readBack(ctx context.Context, alc group.Allocation) error {
	obj, err := bok.pst.Get(ctx, objects.KindAllocation, alc.FabricDomain)
	if err != nil {
		return errors.Annotate(err, "read back a write of unknown outcome")
	}
	bok.inv.TakeAllocation(ctx, obj)
	var got group.Allocation
	if err := json.Unmarshal(obj.Value, &got); err != nil {
		return errors.Trace(err)
	}
	if got.Writer != alc.Writer {
		// The write may still arrive; it then changes the version, and a plan made before it conflicts.
		return errors.Annotate(objects.ErrConflict, "the write did not take effect")
	}
	return nil
}
