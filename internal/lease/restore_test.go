package lease

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/cumintally/cumintally/internal/objects"
)

// restorableStore holds one object and can be restored from a copy.
type restorableStore struct {
	era uint64
	stored
	copies []stored
}

// stored is the state that a copy holds; the value is nil if there is no object.
type stored struct {
	revision       uint64
	objectRevision uint64
	value          []byte
}

func (rst *restorableStore) keepCopy() {
	rst.copies = append(rst.copies, rst.stored)
}

func (rst *restorableStore) restore(idx int) {
	rst.era++
	rst.stored = rst.copies[idx]
}

// client returns the calls of one process, which learns of an era by the response to a call. beforePut runs between the
// client's check of the condition and the write.
func (rst *restorableStore) client(beforePut func()) objects.Store {
	known := uint64(0)
	return objects.Store{
		Era: func() uint64 { return known },
		Get: func(context.Context, string, string) (objects.Object, error) {
			known = rst.era
			if rst.value == nil {
				return objects.Object{}, objects.ErrNotFound
			}
			return objects.Object{
				Version: objects.VersionIn(rst.era, rst.objectRevision),
				Value:   rst.value,
			}, nil
		},
		Put: func(_ context.Context, _, _ string, expected uint64, value []byte) (uint64, error) {
			if expected != 0 && objects.EraOf(expected) != known {
				return 0, objects.ErrConflict
			}
			beforePut()
			known = rst.era
			if rst.value == nil && expected != 0 || rst.value != nil && objects.RevisionOf(expected) != rst.objectRevision {
				return 0, objects.ErrConflict
			}
			rst.revision++
			rst.objectRevision = rst.revision
			rst.value = value
			if expected != 0 && objects.EraOf(expected) != rst.era {
				return 0, objects.ErrUnknownOutcome
			}
			return objects.VersionIn(rst.era, rst.revision), nil
		},
	}
}

// Guards against two daemons that hold the lease at the same time, or in the same epoch, because the store was restored from a
// copy that lacks the latest records: engines could not tell the orders of the two apart.
func TestOneHolderOverRestores(tst *testing.T) {
	rapid.Check(tst, func(rpd *rapid.T) {
		clk := clockwork.NewFakeClock()
		rst := &restorableStore{}
		rst.keepCopy()
		disturb := func() {
			if rapid.IntRange(0, 9).Draw(rpd, "restore") == 0 {
				rst.restore(rapid.IntRange(0, len(rst.copies)-1).Draw(rpd, "copy"))
			}
			clk.Advance(time.Duration(rapid.IntRange(0, 1500).Draw(rpd, "pause")) * time.Millisecond)
		}
		var leases []*Lease
		for idx := range 3 {
			leases = append(leases, New("site", fmt.Sprintf("entry-%d", idx), duration, rst.client(disturb), clk))
		}
		holders := map[uint64]*Lease{}
		check := func() {
			held := 0
			for _, les := range leases {
				if !les.Held() {
					continue
				}
				held++
				if first, ok := holders[les.Epoch()]; ok && first != les {
					rpd.Fatalf("two daemons held the lease in epoch %d", les.Epoch())
				}
				holders[les.Epoch()] = les
			}
			if held > 1 {
				rpd.Fatalf("%d daemons hold the lease", held)
			}
		}
		for range rapid.IntRange(1, 60).Draw(rpd, "steps") {
			les := leases[rapid.IntRange(0, len(leases)-1).Draw(rpd, "daemon")]
			if rapid.IntRange(0, 9).Draw(rpd, "release") == 0 {
				_ = les.Release(context.Background())
			} else {
				_ = les.Acquire(context.Background())
			}
			check()
			disturb()
			check()
			if rapid.IntRange(0, 3).Draw(rpd, "keep") == 0 {
				rst.keepCopy()
			}
		}
	})
}

// Guards against a site that has no lease holder for a whole duration after each restore: the holder goes on at once, in a
// later epoch, also if the copy names a former holder.
func TestHolderGoesOnAfterRestore(tst *testing.T) {
	ctx := context.Background()
	clk := clockwork.NewFakeClock()
	rst := &restorableStore{}
	former := New("site", "entry-0", duration, rst.client(func() {}), clk)
	qt.Assert(tst, former.Acquire(ctx), qt.IsNil)
	rst.keepCopy()
	qt.Assert(tst, former.Release(ctx), qt.IsNil)
	holder := New("site", "entry-1", duration, rst.client(func() {}), clk)
	qt.Assert(tst, holder.Acquire(ctx), qt.IsNil)
	before := holder.Epoch()
	rst.restore(0)
	clk.Advance(duration / 2)
	qt.Assert(tst, holder.Acquire(ctx), qt.IsNil)
	qt.Check(tst, holder.Held(), qt.IsTrue)
	qt.Check(tst, holder.Epoch() > before, qt.IsTrue)
}
