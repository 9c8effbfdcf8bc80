package follow

import (
	"slices"
	"time"

	"github.com/cumintally/cumintally/internal/objects"
)

const (
	// maxHistory is the number of batches that are kept for daemons that follow this one: the changes of half a
	// minute at the shortest pause between two calls, longer than a daemon is followed without an interruption.
	maxHistory = 128
	// recentBatches are those that a daemon is sent whose position is not known: it is rarely further behind.
	recentBatches = 32
	// maxBatchSize bounds the values of a batch in bytes, so that one large object does not occupy the links of all
	// followers at once; each of them reads such an object from the store.
	maxBatchSize = 64 << 10
)

// Batch holds the changes of a kind between two revisions of the store, as one daemon passes them on to another.
type Batch struct {
	_ struct{} `cbor:",toarray"`

	Kind string
	// Since is the revision after which the changes begin, and Revision that up to which they are complete.
	Since    uint64
	Revision uint64
	// Age is the time since the store confirmed Revision.
	Age     time.Duration
	Objects []objects.Object
}

// history holds the latest batches of one kind, oldest first and without gaps.
type history struct {
	batches []Batch
}

func (his *history) add(bat Batch) {
	his.batches = append(his.batches, bat)
	if len(his.batches) > maxHistory {
		his.batches = slices.Delete(his.batches, 0, len(his.batches)-maxHistory)
	}
}

// recent returns the revision before the recent batches.
func (his *history) recent() uint64 {
	if len(his.batches) == 0 {
		return 0
	}
	return his.batches[max(0, len(his.batches)-recentBatches)].Since
}

// since returns the last change of each object after revision rev, and false where they are not all kept or are too
// large to be passed on.
func (his *history) since(rev uint64) ([]objects.Object, bool) {
	first := slices.IndexFunc(his.batches, func(bat Batch) bool { return bat.Revision > rev })
	if first < 0 {
		return nil, true
	}
	if his.batches[first].Since > rev {
		return nil, false
	}
	last := map[string]objects.Object{}
	for _, bat := range his.batches[first:] {
		for _, obj := range bat.Objects {
			last[obj.Name] = obj
		}
	}
	objs := make([]objects.Object, 0, len(last))
	size := 0
	for _, obj := range last {
		objs = append(objs, obj)
		size += len(obj.Value)
	}
	return objs, size <= maxBatchSize
}
