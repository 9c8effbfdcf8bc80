package objectcache

import (
	"bytes"
	"context"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/objects"
)

// ErrMalformed says that a peer sent objects that cannot be read.
const ErrMalformed = errors.ConstError("objectcache: malformed")

// Cache holds the objects of one kind.
type Cache struct {
	take func(ctx context.Context, obj objects.Object)

	mu       sync.Mutex
	position uint64
	objects  map[string]objects.Object
}

// New returns an empty copy that hands each new version of an object to take.
func New(take func(ctx context.Context, obj objects.Object)) *Cache {
	return &Cache{
		take:    take,
		objects: map[string]objects.Object{},
	}
}

// Position returns the highest version in the copy; the copy lacks no object up to it.
func (cch *Cache) Position() uint64 {
	cch.mu.Lock()
	defer cch.mu.Unlock()
	return cch.position
}

// Absorb adds changes; they must lack none after this copy's position. It reports whether any is news.
func (cch *Cache) Absorb(ctx context.Context, objs []objects.Object) bool {
	news := cch.merge(objs)
	for _, obj := range news {
		cch.take(ctx, obj)
	}
	return len(news) > 0
}

func (cch *Cache) merge(objs []objects.Object) []objects.Object {
	cch.mu.Lock()
	defer cch.mu.Unlock()
	var news []objects.Object
	for _, obj := range objs {
		if obj.Version > cch.objects[obj.Name].Version {
			cch.objects[obj.Name] = obj
			cch.position = max(cch.position, obj.Version)
			news = append(news, obj)
		}
	}
	return news
}

// Replace makes the copy equal to a list that has no versions, by name and value. It reports whether
// anything changed.
func (cch *Cache) Replace(ctx context.Context, list map[string][]byte) bool {
	return cch.Absorb(ctx, cch.differences(list))
}

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

// Since returns the objects changed after a position, encoded for a peer.
func (cch *Cache) Since(position uint64) ([]byte, error) {
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

// Take adds what a peer's Since returned.
func (cch *Cache) Take(ctx context.Context, data []byte) error {
	var objs []objects.Object
	if err := cbor.Unmarshal(data, &objs); err != nil {
		return errors.Annotate(ErrMalformed, err.Error())
	}
	cch.Absorb(ctx, objs)
	return nil
}
