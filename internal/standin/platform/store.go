package platform

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cumintally/cumintally/internal/objects"
)

// Store keeps the objects in memory; Platform serves it over HTTP.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]objects.Object
	changed  chan struct{}
	vms      map[string]objects.VM
	// lists are the lists of VMs of the last while, the newest last.
	lists []vmList
}

type vmList struct {
	at  time.Time
	vms []objects.VM
}

// maxVMLag is the time for which former lists of VMs are kept.
const maxVMLag = time.Minute

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: map[string]map[string]objects.Object{},
		changed: make(chan struct{}),
		vms:     map[string]objects.VM{},
	}
}

// ObjectStore returns the store's calls as the system's processes see them.
func (sto *Store) ObjectStore() objects.Store {
	return objects.Store{
		Get:    sto.get,
		List:   sto.list,
		Put:    sto.put,
		Delete: sto.remove,
		Watch:  sto.watch,
		VMs:    sto.listVMs,
	}
}

func (sto *Store) get(_ context.Context, kind, name string) (objects.Object, error) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	obj, ok := sto.objects[kind][name]
	if !ok || obj.Deleted {
		return objects.Object{}, objects.ErrNotFound
	}
	return obj, nil
}

func (sto *Store) list(_ context.Context, kind string) ([]objects.Object, uint64, error) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	var objs []objects.Object
	for _, obj := range sto.objects[kind] {
		if !obj.Deleted {
			objs = append(objs, obj)
		}
	}
	sort.Slice(objs, func(fst, snd int) bool { return objs[fst].Name < objs[snd].Name })
	return objs, sto.revision, nil
}

func (sto *Store) put(_ context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
	if len(value) > objects.MaxValueSize {
		return 0, objects.ErrTooLarge
	}
	return sto.write(kind, name, expected, append([]byte(nil), value...), false)
}

func (sto *Store) remove(_ context.Context, kind, name string, expected uint64) error {
	_, err := sto.write(kind, name, expected, nil, true)
	return err
}

func (sto *Store) write(kind, name string, expected uint64, value []byte, deleted bool) (uint64, error) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	obj := sto.objects[kind][name]
	present := obj.Version
	if obj.Deleted {
		present = 0
	}
	if present != expected {
		return 0, objects.ErrConflict
	}
	sto.revision++
	if sto.objects[kind] == nil {
		sto.objects[kind] = map[string]objects.Object{}
	}
	sto.objects[kind][name] = objects.Object{
		Kind:    kind,
		Name:    name,
		Version: sto.revision,
		Deleted: deleted,
		Value:   value,
	}
	close(sto.changed)
	sto.changed = make(chan struct{})
	return sto.revision, nil
}

// watch returns changes after since, or none when ctx ends first.
func (sto *Store) watch(ctx context.Context, kind string, since uint64) ([]objects.Object, uint64, error) {
	for {
		sto.mu.Lock()
		var objs []objects.Object
		for _, obj := range sto.objects[kind] {
			if obj.Version > since {
				objs = append(objs, obj)
			}
		}
		rev := sto.revision
		changed := sto.changed
		sto.mu.Unlock()
		if len(objs) > 0 {
			sort.Slice(objs, func(fst, snd int) bool { return objs[fst].Version < objs[snd].Version })
			return objs, rev, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, rev, nil
		}
	}
}

func (sto *Store) listVMs(context.Context) ([]objects.VM, error) {
	return sto.vmsAt(time.Now()), nil
}

// vmsAt returns the list of VMs as it was at a time, or the oldest one kept.
func (sto *Store) vmsAt(when time.Time) []objects.VM {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	idx := sort.Search(len(sto.lists), func(idx int) bool { return sto.lists[idx].at.After(when) })
	if idx == 0 {
		return []objects.VM{}
	}
	return sto.lists[idx-1].vms
}

// addresses returns the present address of each VM by name.
func (sto *Store) addresses() map[string]string {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	adrs := map[string]string{}
	for name, vmc := range sto.vms {
		adrs[name] = vmc.Address
	}
	return adrs
}

// SetVM adds a VM to the list or replaces its entry.
func (sto *Store) SetVM(vmc objects.VM) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.vms[vmc.Name] = vmc
	sto.keepList()
}

// RemoveVM takes a VM off the list.
func (sto *Store) RemoveVM(name string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	delete(sto.vms, name)
	sto.keepList()
}

func (sto *Store) keepList() {
	vms := make([]objects.VM, 0, len(sto.vms))
	for _, vmc := range sto.vms {
		vms = append(vms, vmc)
	}
	sort.Slice(vms, func(fst, snd int) bool { return vms[fst].Name < vms[snd].Name })
	now := time.Now()
	old := sort.Search(len(sto.lists), func(idx int) bool { return now.Sub(sto.lists[idx].at) <= maxVMLag })
	sto.lists = append(sto.lists[max(0, old-1):], vmList{
		at:  now,
		vms: vms,
	})
}
