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
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/vmreport"
)

// fixture holds the dependencies of a dispatcher with one group of one VM.
type fixture struct {
	inv  *inventory.Inventory
	tab  *vmreport.Table
	dps  dispatch.Dependencies
	sent atomic.Int64
	grp  group.Group
}

func newFixture(c *qt.C) *fixture {
	fix := &fixture{
		inv: inventory.New(zap.NewNop()),
		tab: vmreport.New(time.Minute),
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
	fix.allocate(c, 1, fix.grp)
	fix.tab.Record(vmreport.Entry{
		Report: backend.Report{
			VM:      "vm-1",
			Group:   "groups/0",
			Fencing: 1,
			State:   backend.StateReady,
		},
		AsOf: time.Now(),
	})
	fix.dps = dispatch.Dependencies{
		Generate: func(context.Context, string, backend.StreamRequest) (*backend.Stream, error) {
			fix.sent.Add(1)
			return nil, backend.ErrInvalidRequest
		},
		Cancel:        func(context.Context, string, string, int) error { return nil },
		Choose:        func(_ dispatch.Request, cands []dispatch.Candidate) dispatch.Candidate { return cands[0] },
		Acquire:       func(context.Context, dispatch.Request, dispatch.Candidate) (func(), error) { return func() {}, nil },
		OtherZones:    func() []string { return nil },
		RecordRequest: func(string, string) {},
		TakeRetry:     func(string, string) bool { return false },
		Announce:      func(context.Context, quarantine.Crash) {},
		PlaceCopy: func(_ context.Context, _ quarantine.Fingerprint, group, _, _ string) string {
			return group
		},
	}
	return fix
}

// allocate stores a version of the allocation of the fixture's fabric domain.
func (fix *fixture) allocate(c *qt.C, version uint64, grps ...group.Group) {
	val, err := json.Marshal(group.Allocation{
		FabricDomain:     "fabric-1",
		AvailabilityZone: "zone-1",
		Groups:           grps,
	})
	c.Assert(err, qt.IsNil)
	fix.inv.ApplyAllocation(context.Background(), objects.Object{
		Name:    "fabric-1",
		Version: version,
		Value:   val,
	})
}

// TestClosedWhileWaiting guards against a request that waits for a permit and is then sent to a group that accepts
// no new work any more.
func TestClosedWhileWaiting(t *testing.T) {
	cases := []struct {
		name  string
		close func(c *qt.C, fix *fixture)
	}{
		{
			name: "zone out",
			close: func(_ *qt.C, fix *fixture) {
				fix.inv.SetZone(inventory.Zone{
					Name:    "zone-1",
					Out:     true,
					Version: 1,
				})
			},
		},
		{
			name: "draining",
			close: func(c *qt.C, fix *fixture) {
				grp := fix.grp
				grp.Draining = true
				fix.allocate(c, 2, grp)
			},
		},
		{
			name:  "dissolved",
			close: func(c *qt.C, fix *fixture) { fix.allocate(c, 2) },
		},
	}
	for _, cas := range cases {
		t.Run(cas.name, func(t *testing.T) {
			c := qt.New(t)
			fix := newFixture(c)
			fix.dps.Acquire = func(context.Context, dispatch.Request, dispatch.Candidate) (func(), error) {
				cas.close(c, fix)
				return func() {}, nil
			}
			cfg := dispatch.Config{
				AvailabilityZone: "zone-1",
			}
			qua := quarantine.New()
			dsp := dispatch.New(cfg, fix.dps, fix.inv, fix.tab, qua, metrics.NewRegistry(), clockwork.NewRealClock(), zap.NewNop())
			err := dsp.Generate(context.Background(), dispatch.Request{
				RequestID: "request-1",
				Model:     "model-1",
				Deadline:  time.Now().Add(10 * time.Second),
			}, func(dispatch.Event) error { return nil })
			var ref *refusal.Refusal
			c.Assert(errors.As(err, &ref), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(ref.Outcome, qt.Equals, refusal.NotRun)
			c.Assert(fix.sent.Load(), qt.Equals, int64(0))
		})
	}
}
