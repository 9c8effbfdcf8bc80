package allocationwriter_test

import (
	"context"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/allocationwriter"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
)

// restored is a store in its second era that holds some objects.
type restored struct {
	tst  *testing.T
	held map[string]objects.Object
}

func (rst *restored) store() objects.Store {
	return objects.Store{
		Era: func() uint64 { return 1 },
		List: func(context.Context, string) ([]objects.Object, uint64, error) {
			var objs []objects.Object
			for _, obj := range rst.held {
				objs = append(objs, obj)
			}
			return objs, objects.VersionIn(1, 9), nil
		},
		Put: func(_ context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
			if rst.held[name].Version != expected {
				return 0, objects.ErrConflict
			}
			rst.held[name] = objects.Object{
				Kind:    kind,
				Name:    name,
				Version: objects.VersionIn(1, 10),
				Value:   value,
			}
			return rst.held[name].Version, nil
		},
	}
}

func allocation(tst *testing.T, domain string, version, counter uint64) objects.Object {
	val, err := json.Marshal(group.Allocation{
		FabricDomain: domain,
		Counter:      counter,
	})
	qt.Assert(tst, err, qt.IsNil)
	return objects.Object{
		Kind:    objects.KindAllocation,
		Name:    domain,
		Version: version,
		Value:   val,
	}
}

// Guards against groups that the daemons forget, because the store was restored from a copy that lacks the latest writes of
// their allocations.
func TestLostAllocationsAreWrittenAgain(tst *testing.T) {
	rst := &restored{
		tst: tst,
		held: map[string]objects.Object{
			"older": allocation(tst, "older", objects.VersionIn(1, 5), 3),
			"newer": allocation(tst, "newer", objects.VersionIn(1, 6), 8),
		},
	}
	inv := inventory.New(zap.NewNop())
	inv.ApplyAllocation(tst.Context(), allocation(tst, "older", 20, 4))
	inv.ApplyAllocation(tst.Context(), allocation(tst, "newer", 21, 7))
	inv.ApplyAllocation(tst.Context(), allocation(tst, "missing", 22, 5))
	wrt := allocationwriter.New(rst.store(), inv, func() bool { return true })
	qt.Assert(tst, wrt.Refresh(tst.Context()), qt.IsNil)
	for domain, counter := range map[string]uint64{
		"older":   4,
		"newer":   8,
		"missing": 5,
	} {
		alc, ver := inv.Allocation(domain)
		qt.Check(tst, alc.Counter, qt.Equals, counter, qt.Commentf("%s", domain))
		qt.Check(tst, ver, qt.Equals, rst.held[domain].Version, qt.Commentf("%s", domain))
	}
}
