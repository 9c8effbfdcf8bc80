package generation

import (
	"context"
	"sort"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const (
	// maxHistory is the number of earlier generations that a difference can start from. A daemon that is
	// further behind receives the whole document.
	maxHistory = 64
	// maxIncludedSize bounds the total size in bytes of the parts that a difference includes. The receiver
	// fetches the other parts from the platform.
	maxIncludedSize = 1 << 20
)

// history holds the heads of earlier generations, the oldest first.
type history struct {
	heads []Head
}

func (his *history) add(hed Head) {
	his.heads = append(his.heads, hed)
	if len(his.heads) > maxHistory {
		his.heads = his.heads[1:]
	}
}

// find returns the head of a generation and whether it is known. Generation 0 is the empty document and always
// known.
func (his *history) find(gen uint64) (Head, bool) {
	for _, hed := range his.heads {
		if hed.Generation == gen {
			return hed, true
		}
	}
	return Head{}, gen == 0
}

// difference is the change from generation Base to generation Generation.
type difference struct {
	Base       uint64
	Generation uint64
	Digest     string
	Changed    []PartReference
	Removed    []string
	// Values maps digests of changed parts to their contents; parts beyond maxIncludedSize are missing.
	Values map[string][]byte
}

// EncodeDifference returns the difference from a generation to the one in force, encoded in CBOR for a peer, or nil if
// there is no newer generation. If the given generation is no longer in the history, the difference starts from the
// empty document.
func (sto *Store) EncodeDifference(gen uint64) ([]byte, error) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if sto.head.Generation <= gen {
		return nil, nil
	}
	base, ok := sto.history.find(gen)
	if !ok {
		base = Head{}
	}
	data, err := cbor.Marshal(sto.differenceFrom(base))
	return data, errors.Trace(err)
}

func (sto *Store) differenceFrom(base Head) difference {
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
		if val := sto.parts[ref.Digest]; size+len(val) <= maxIncludedSize {
			dif.Values[ref.Digest] = val
			size += len(val)
		}
	}
	for name := range old {
		dif.Removed = append(dif.Removed, name)
	}
	return dif
}

// ApplyDifference applies a difference received from a peer. It ignores a difference whose base is neither the
// generation in force nor the empty document; the next exchange brings one with the right base.
func (sto *Store) ApplyDifference(ctx context.Context, data []byte) error {
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
