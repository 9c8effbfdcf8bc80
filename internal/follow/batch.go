package follow

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/objects"
)

const (
	// maxSteps is the number of steps that are kept for daemons that follow this one: the changes of half a minute at
	// the shortest pause between two calls, longer than a daemon is followed without an interruption.
	maxSteps = 128
	// maxPackedSize bounds a batch in bytes, so that large changes do not occupy the links of all daemons at once;
	// each of them reads such changes from the store.
	maxPackedSize = 32 << 10
	// maxUnpackedSize bounds what a batch unpacks to, as the store bounds the answer to one call.
	maxUnpackedSize = 8 << 20
)

// Batch holds the changes of a kind between two revisions of the store, as one daemon passes them on to another.
type Batch struct {
	_ struct{} `cbor:",toarray"`

	Kind string
	// Since is the revision after which the changes begin, and Revision that up to which they are complete.
	Since    uint64
	Revision uint64
	// Age is the time since the store confirmed Revision.
	Age time.Duration
	// Packed holds the changed objects in CBOR, deflated; empty if there are none.
	Packed []byte
}

// pack returns objs as a batch carries them.
func pack(objs []objects.Object) ([]byte, error) {
	if len(objs) == 0 {
		return nil, nil
	}
	var buf bytes.Buffer
	wrt, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := cbor.NewEncoder(wrt).Encode(objs); err != nil {
		return nil, errors.Trace(err)
	}
	if err := wrt.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return buf.Bytes(), nil
}

func unpack(packed []byte) ([]objects.Object, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedSize))
	if err != nil {
		return nil, errors.Trace(err)
	}
	var objs []objects.Object
	err = cbor.Unmarshal(data, &objs)
	return objs, errors.Trace(err)
}

// step is a move of the copy from one revision to another.
type step struct {
	since    uint64
	revision uint64
	objs     []objects.Object
}

// history holds the latest steps of one kind, oldest first and without gaps.
type history struct {
	steps []step
	// last holds the last packed changes, since most daemons lack the same ones.
	last struct {
		since    uint64
		revision uint64
		packed   []byte
		whole    bool
	}
}

func (his *history) add(stp step) {
	his.steps = append(his.steps, stp)
	if len(his.steps) > maxSteps {
		his.steps = slices.Delete(his.steps, 0, len(his.steps)-maxSteps)
	}
}

// packed returns the changes after revision rev, and false where they are not all kept or are too large.
func (his *history) packed(rev uint64) ([]byte, bool) {
	newest := his.steps[len(his.steps)-1].revision
	if lst := &his.last; lst.since == rev && lst.revision == newest {
		return lst.packed, lst.whole
	}
	objs, whole := his.since(rev)
	packed, err := pack(objs)
	his.last.since = rev
	his.last.revision = newest
	his.last.packed = packed
	his.last.whole = whole && err == nil && len(packed) <= maxPackedSize
	return his.last.packed, his.last.whole
}

// since returns the last change of each object after revision rev, and false where they are not all kept.
func (his *history) since(rev uint64) ([]objects.Object, bool) {
	first := slices.IndexFunc(his.steps, func(stp step) bool { return stp.revision > rev })
	if first < 0 {
		return nil, true
	}
	if his.steps[first].since > rev {
		return nil, false
	}
	last := map[string]objects.Object{}
	for _, stp := range his.steps[first:] {
		for _, obj := range stp.objs {
			last[obj.Name] = obj
		}
	}
	objs := make([]objects.Object, 0, len(last))
	for _, obj := range last {
		objs = append(objs, obj)
	}
	return objs, true
}
