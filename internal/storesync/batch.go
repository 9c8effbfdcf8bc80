package storesync

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
	// maxDeltas is the number of deltas that are kept for daemons that this one feeds. It holds the changes of half a
	// minute at the shortest pause between two calls, longer than one daemon feeds another without interruption.
	maxDeltas = 128
	// maxPackedSize bounds the packed changes of a batch in bytes, so that large changes do not occupy the links of all
	// daemons at once; each daemon reads such changes from the store.
	maxPackedSize = 32 << 10
	// maxUnpackedSize bounds the unpacked changes of a batch in bytes, as the store bounds the response to one call.
	maxUnpackedSize = 8 << 20
)

// Batch holds the changes of a kind between two revisions of the store, in the form in which one daemon passes them on
// to another.
type Batch struct {
	_ struct{} `cbor:",toarray"`

	Kind string
	// Since is the revision after which the changes begin, and Revision the one up to which they are complete.
	Since    uint64
	Revision uint64
	// Age is the time since the store confirmed Revision.
	Age time.Duration
	// Packed holds the changed objects in CBOR, deflated; empty if there are none.
	Packed []byte
}

// pack encodes objs for Batch.Packed; it returns nil if there are none.
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

// unpack decodes Batch.Packed.
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

// delta holds the changes of the copy from one revision to another.
type delta struct {
	since    uint64
	revision uint64
	objs     []objects.Object
}

// history holds the latest deltas of one kind, oldest first and without gaps.
type history struct {
	deltas []delta
	// last caches the latest packed changes, because most daemons lack the same ones.
	last struct {
		since    uint64
		revision uint64
		packed   []byte
		complete bool
	}
}

func (his *history) add(dlt delta) {
	his.deltas = append(his.deltas, dlt)
	if len(his.deltas) > maxDeltas {
		his.deltas = slices.Delete(his.deltas, 0, len(his.deltas)-maxDeltas)
	}
}

// packed returns the packed changes after revision rev, and false if some of them are no longer kept or if they are too
// large.
func (his *history) packed(rev uint64) ([]byte, bool) {
	newest := his.deltas[len(his.deltas)-1].revision
	if lst := &his.last; lst.since == rev && lst.revision == newest {
		return lst.packed, lst.complete
	}
	objs, complete := his.since(rev)
	packed, err := pack(objs)
	his.last.since = rev
	his.last.revision = newest
	his.last.packed = packed
	his.last.complete = complete && err == nil && len(packed) <= maxPackedSize
	return his.last.packed, his.last.complete
}

// since returns the latest change of each object after revision rev, and false if some of the changes are no longer
// kept.
func (his *history) since(rev uint64) ([]objects.Object, bool) {
	first := slices.IndexFunc(his.deltas, func(dlt delta) bool { return dlt.revision > rev })
	if first < 0 {
		return nil, true
	}
	if his.deltas[first].since > rev {
		return nil, false
	}
	last := map[string]objects.Object{}
	for _, dlt := range his.deltas[first:] {
		for _, obj := range dlt.objs {
			last[obj.Name] = obj
		}
	}
	objs := make([]objects.Object, 0, len(last))
	for _, obj := range last {
		objs = append(objs, obj)
	}
	return objs, true
}
