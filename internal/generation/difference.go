package generation

import (
	"context"
	"sort"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const (
	// historySize is the number of earlier generations that a difference can start from. A daemon that
	// is further behind gets the whole document.
	historySize = 64
	// maxGivenSize bounds the parts in bytes that go along with a difference; a receiver gets the rest
	// from the platform.
	maxGivenSize = 1 << 20
)

// history holds the parts of earlier generations, the oldest first.
type history struct {
	heads []Head
}

func (his *history) add(hed Head) {
	his.heads = append(his.heads, hed)
	if len(his.heads) > historySize {
		his.heads = his.heads[1:]
	}
}

// find returns the head of a generation; generation 0 is the empty document.
func (his *history) find(gen uint64) (Head, bool) {
	for _, hed := range his.heads {
		if hed.Generation == gen {
			return hed, true
		}
	}
	return Head{}, gen == 0
}

// difference is what leads from generation Base to generation Generation.
type difference struct {
	Base       uint64
	Generation uint64
	Digest     string
	Changed    []PartReference
	Removed    []string
	// Values are the contents of changed parts by digest.
	Values map[string][]byte
}

// Since returns the difference from a generation to the one in force, encoded for a peer.
func (sto *Store) Since(gen uint64) ([]byte, error) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if sto.head.Generation <= gen {
		return nil, nil
	}
	base, ok := sto.history.find(gen)
	if !ok {
		base = Head{}
	}
	data, err := cbor.Marshal(sto.difference(base))
	return data, errors.Trace(err)
}

func (sto *Store) difference(base Head) difference {
	dif := difference{
		Base:       base.Generation,
		Generation: sto.head.Generation,
		Digest:     sto.head.Digest,
		Values:     map[string][]byte{},
	}
	old := map[string]string{}
	for _, ref := range base.Parts {
		old[ref.Name] = ref.Digest
	}
	size := 0
	for _, ref := range sto.head.Parts {
		before, ok := old[ref.Name]
		delete(old, ref.Name)
		if ok && before == ref.Digest {
			continue
		}
		dif.Changed = append(dif.Changed, ref)
		if val := sto.parts[ref.Digest]; size+len(val) <= maxGivenSize {
			dif.Values[ref.Digest] = val
			size += len(val)
		}
	}
	for name := range old {
		dif.Removed = append(dif.Removed, name)
	}
	return dif
}

// Take applies a difference that a peer sent. One from another base than the generation in force is
// left out unless it starts from the empty document; the next exchange brings one that fits.
func (sto *Store) Take(ctx context.Context, data []byte) error {
	var dif difference
	if err := cbor.Unmarshal(data, &dif); err != nil {
		return errors.Annotate(ErrIncomplete, err.Error())
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if dif.Base != 0 && dif.Base != sto.head.Generation {
		return nil
	}
	refs := map[string]string{}
	if dif.Base != 0 {
		for _, ref := range sto.head.Parts {
			refs[ref.Name] = ref.Digest
		}
	}
	for _, name := range dif.Removed {
		delete(refs, name)
	}
	for _, ref := range dif.Changed {
		refs[ref.Name] = ref.Digest
	}
	hed := Head{
		Environment: sto.environment,
		Generation:  dif.Generation,
		Digest:      dif.Digest,
	}
	for name, digest := range refs {
		hed.Parts = append(hed.Parts, PartReference{
			Name:   name,
			Digest: digest,
		})
	}
	sort.Slice(hed.Parts, func(fst, snd int) bool { return hed.Parts[fst].Name < hed.Parts[snd].Name })
	return sto.apply(ctx, hed, dif.Values)
}
