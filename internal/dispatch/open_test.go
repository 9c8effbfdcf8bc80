package dispatch_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/dispatch"
	"github.com/cumintally/cumintally/internal/evidence"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/refusal"
)

// rig is a dispatcher with one group of one VM.
type rig struct {
	inv  *inventory.Inventory
	tab  *evidence.Table
	sea  dispatch.Seams
	sent atomic.Int64
	grp  group.Group
}

func newRig(c *qt.C) *rig {
	rig := &rig{
		inv: inventory.New(zap.NewNop()),
		tab: evidence.New(time.Minute),
		grp: group.Group{
			Name:    "groups/0",
			Model:   "model-1",
			Fencing: 1,
			Members: []group.Member{
				{
					VM:      "vm-1",
					Address: "127.0.0.1:1",
				},
			},
		},
	}
	rig.allocate(c, 1, rig.grp)
	rig.tab.Record(evidence.Entry{
		Report: backend.Report{
			VM:      "vm-1",
			Group:   "groups/0",
			Fencing: 1,
			State:   backend.StateReady,
		},
		AsOf: time.Now(),
	})
	rig.sea = dispatch.Seams{
		Generate: func(context.Context, string, backend.StreamRequest) (*backend.Stream, error) {
			rig.sent.Add(1)
			return nil, backend.ErrInvalid
		},
		Cancel:     func(context.Context, string, string, int) error { return nil },
		Choose:     func(_ dispatch.Request, cands []dispatch.Candidate) dispatch.Candidate { return cands[0] },
		Acquire:    func(context.Context, dispatch.Request, dispatch.Candidate) (func(), error) { return func() {}, nil },
		OtherZones: func() []string { return nil },
		Sent:       func(string, string) {},
		Retry:      func(string, string) bool { return false },
		Announce:   func(context.Context, quarantine.Crash) {},
		Place: func(_ context.Context, _ quarantine.Fingerprint, group, _, _ string) string {
			return group
		},
	}
	return rig
}

// allocate writes the allocation of the rig's fabric domain.
func (rig *rig) allocate(c *qt.C, version uint64, grps ...group.Group) {
	val, err := json.Marshal(group.Allocation{
		FabricDomain:     "fabric-1",
		AvailabilityZone: "zone-1",
		Groups:           grps,
	})
	c.Assert(err, qt.IsNil)
	rig.inv.TakeAllocation(context.Background(), objects.Object{
		Name:    "fabric-1",
		Version: version,
		Value:   val,
	})
}

// TestClosedWhileWaiting guards against a request that waited for a permit and is then sent to a group
// that may get no new work any more.
func TestClosedWhileWaiting(t *testing.T) {
	cases := []struct {
		name  string
		close func(c *qt.C, rig *rig)
	}{
		{
			name: "zone out",
			close: func(_ *qt.C, rig *rig) {
				rig.inv.SetZone(inventory.Zone{
					Name:    "zone-1",
					Out:     true,
					Version: 1,
				})
			},
		},
		{
			name: "draining",
			close: func(c *qt.C, rig *rig) {
				grp := rig.grp
				grp.Draining = true
				rig.allocate(c, 2, grp)
			},
		},
		{
			name:  "dissolved",
			close: func(c *qt.C, rig *rig) { rig.allocate(c, 2) },
		},
	}
	for _, cas := range cases {
		t.Run(cas.name, func(t *testing.T) {
			c := qt.New(t)
			rig := newRig(c)
			rig.sea.Acquire = func(context.Context, dispatch.Request, dispatch.Candidate) (func(), error) {
				cas.close(c, rig)
				return func() {}, nil
			}
			cfg := dispatch.Config{
				AvailabilityZone: "zone-1",
			}
			qua := quarantine.New()
			dsp := dispatch.New(cfg, rig.sea, rig.inv, rig.tab, qua, metrics.NewRegistry(), clockwork.NewRealClock(), zap.NewNop())
			err := dsp.Generate(context.Background(), dispatch.Request{
				RequestID: "request-1",
				Model:     "model-1",
				Deadline:  time.Now().Add(10 * time.Second),
			}, func(dispatch.Event) error { return nil })
			var ref *refusal.Refusal
			c.Assert(errors.As(err, &ref), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(ref.Outcome, qt.Equals, refusal.NotRun)
			c.Assert(rig.sent.Load(), qt.Equals, int64(0))
		})
	}
}
