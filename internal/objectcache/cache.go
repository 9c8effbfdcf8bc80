package objectcache

import (
	"bytes"
	"context"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/objects"
)

// ErrMalformed says that a peer sent objects that cannot be decoded.
const ErrMalformed = errors.ConstError("objectcache: malformed")

// Cache holds the objects of one kind by name. It is safe for concurrent use.
type Cache struct {
	// apply receives each new version of an object.
	apply func(ctx context.Context, obj objects.Object)

	mu sync.Mutex
	// position is the highest version in the copy.
	position uint64
	objects  map[string]objects.Object
}

// New returns an empty cache that passes each new version of an object to apply.
func New(apply func(ctx context.Context, obj objects.Object)) *Cache {
	return &Cache{
		apply:   apply,
		objects: map[string]objects.Object{},
	}
}

// Position returns the highest version in the copy; the copy lacks no object up to it.
func (cch *Cache) Position() uint64 {
	cch.mu.Lock()
	defer cch.mu.Unlock()
	return cch.position
}

// Merge merges changes into the copy. They must include all changes after the copy's position. It reports whether any
// of them is newer than the copy.
func (cch *Cache) Merge(ctx context.Context, objs []objects.Object) bool {
	newer := cch.mergeNewer(objs)
	for _, obj := range newer {
		cch.apply(ctx, obj)
	}
	return len(newer) > 0
}

// mergeNewer stores the objects that are newer than the copy and returns them.
func (cch *Cache) mergeNewer(objs []objects.Object) []objects.Object {
	cch.mu.Lock()
	defer cch.mu.Unlock()
	var newer []objects.Object
	for _, obj := range objs {
		if obj.Version > cch.objects[obj.Name].Version {
			cch.objects[obj.Name] = obj
			cch.position = max(cch.position, obj.Version)
			newer = append(newer, obj)
		}
	}
	return newer
}

// Replace makes the copy equal to a list of values by name, for objects without versions. It reports whether anything
// changed.
func (cch *Cache) Replace(ctx context.Context, list map[string][]byte) bool {
	return cch.Merge(ctx, cch.differences(list))
}

// differences returns the changes that make the copy equal to list. All of them get the version after the position.
func (cch *Cache) differences(list map[string][]byte) []objects.Object {
	cch.mu.Lock()
	defer cch.mu.Unlock()
	next := cch.position + 1
	var objs []objects.Object
	for name, val := range list {
		if old, ok := cch.objects[name]; !ok || old.Deleted || !bytes.Equal(old.Value, val) {
			objs = append(objs, objects.Object{
				Name:    name,
				Version: next,
				Value:   val,
			})
		}
	}
	for name, old := range cch.objects {
		if _, ok := list[name]; !ok && !old.Deleted {
			objs = append(objs, objects.Object{
				Name:    name,
				Version: next,
				Deleted: true,
			})
		}
	}
	return objs
}

// EncodeSince returns the objects that changed after a position, encoded in CBOR for a peer.
func (cch *Cache) EncodeSince(position uint64) ([]byte, error) {
	cch.mu.Lock()
	defer cch.mu.Unlock()
	var objs []objects.Object
	for _, obj := range cch.objects {
		if obj.Version > position {
			objs = append(objs, obj)
		}
	}
	data, err := cbor.Marshal(objs)
	return data, errors.Trace(err)
}

// MergeEncoded merges the changes that EncodeSince returned at a peer.
func (cch *Cache) MergeEncoded(ctx context.Context, data []byte) error {
	var objs []objects.Object
	if err := cbor.Unmarshal(data, &objs); err != nil {
		return errors.Annotate(ErrMalformed, err.Error())
	}
	cch.Merge(ctx, objs)
	return nil
}
