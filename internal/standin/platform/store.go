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
	// vmHistory are the lists of VMs of the last maxVMLag, the newest last.
	vmHistory []vmList
}

// vmList is the list of VMs after a change.
type vmList struct {
	at  time.Time
	vms []objects.VM
}

// maxVMLag is how long previous lists of VMs are kept.
const maxVMLag = time.Minute

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: map[string]map[string]objects.Object{},
		changed: make(chan struct{}),
		vms:     map[string]objects.VM{},
	}
}

// ObjectStore returns the calls of the store as an objects.Store, without HTTP.
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

// watch waits for changes after the revision since and returns them, or none if ctx is done first.
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
	return sto.listVMsAt(time.Now()), nil
}

// listVMsAt returns the list of VMs as it was at a time, or an empty list if none of that time is kept.
func (sto *Store) listVMsAt(when time.Time) []objects.VM {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	idx := sort.Search(len(sto.vmHistory), func(idx int) bool { return sto.vmHistory[idx].at.After(when) })
	if idx == 0 {
		return []objects.VM{}
	}
	return sto.vmHistory[idx-1].vms
}

// addresses returns the current address of each VM by name.
func (sto *Store) addresses() map[string]string {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	adrs := map[string]string{}
	for name, vmc := range sto.vms {
		adrs[name] = vmc.Address
	}
	return adrs
}

// SetVM adds a VM to the list of VMs or replaces its entry.
func (sto *Store) SetVM(vmc objects.VM) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.vms[vmc.Name] = vmc
	sto.recordList()
}

// RemoveVM removes a VM from the list of VMs.
func (sto *Store) RemoveVM(name string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	delete(sto.vms, name)
	sto.recordList()
}

// recordList records the current list of VMs and deletes those that are older than maxVMLag and no longer needed.
func (sto *Store) recordList() {
	vms := make([]objects.VM, 0, len(sto.vms))
	for _, vmc := range sto.vms {
		vms = append(vms, vmc)
	}
	sort.Slice(vms, func(fst, snd int) bool { return vms[fst].Name < vms[snd].Name })
	now := time.Now()
	old := sort.Search(len(sto.vmHistory), func(idx int) bool { return now.Sub(sto.vmHistory[idx].at) <= maxVMLag })
	sto.vmHistory = append(sto.vmHistory[max(0, old-1):], vmList{
		at:  now,
		vms: vms,
	})
}
