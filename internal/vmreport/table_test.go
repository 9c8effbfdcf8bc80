package vmreport

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/group"
)

const maxAge = 1500 * time.Millisecond

var (
	start = time.Unix(1000, 0)
	pair  = group.Group{
		Name:    "a/0",
		Fencing: 7,
		Members: []group.Member{
			{
				VM: "vm-0",
			},
			{
				VM: "vm-1",
			},
		},
	}
)

func report(vm string, rank int) backend.Report {
	return backend.Report{
		VM:          vm,
		Incarnation: 1,
		Group:       "a/0",
		Fencing:     7,
		Rank:        rank,
		State:       backend.StateReady,
	}
}

// TestComplete guards against dispatch to a group in which the report of a member is missing, stale, for
// another group, rank or fencing token, or of an engine that does not serve.
func TestComplete(tst *testing.T) {
	for _, cse := range []struct {
		name   string
		change func(rep *backend.Report)
		age    time.Duration
		absent bool
		want   bool
	}{
		{
			name: "confirmed by all members",
			want: true,
		},
		{
			name: "at the maximum age",
			age:  maxAge,
			want: true,
		},
		{
			name: "older than the maximum age",
			age:  maxAge + 1,
		},
		{
			name:   "no report",
			absent: true,
		},
		{
			name:   "old fencing token",
			change: func(rep *backend.Report) { rep.Fencing = 6 },
		},
		{
			name:   "newer fencing token",
			change: func(rep *backend.Report) { rep.Fencing = 8 },
		},
		{
			name:   "other group",
			change: func(rep *backend.Report) { rep.Group = "b/0" },
		},
		{
			name:   "other rank",
			change: func(rep *backend.Report) { rep.Rank = 0 },
		},
		{
			name:   "loading",
			change: func(rep *backend.Report) { rep.State = backend.StateLoading },
		},
		{
			name:   "leaving",
			change: func(rep *backend.Report) { rep.State = backend.StateLeaving },
		},
		{
			name:   "restarted and idle",
			change: func(rep *backend.Report) { *rep = backend.Report{VM: "vm-1", Incarnation: 2, State: backend.StateIdle} },
		},
	} {
		tst.Run(cse.name, func(tst *testing.T) {
			tab := New(maxAge)
			now := start.Add(maxAge)
			tab.Record(Entry{
				Report: report("vm-0", 0),
				AsOf:   now,
			})
			rep := report("vm-1", 1)
			if cse.change != nil {
				cse.change(&rep)
			}
			if !cse.absent {
				tab.Record(Entry{
					Report: rep,
					AsOf:   now.Add(-cse.age),
				})
			}
			lead, got := tab.GroupConfirmed(pair, now)
			qt.Assert(tst, got, qt.Equals, cse.want)
			if got {
				qt.Assert(tst, lead.VM, qt.Equals, "vm-0")
			}
		})
	}
}

// TestOldReportDoesNotReturn guards against a delayed report from a peer that replaces a more recent one, or
// one that was invalidated after a connection failure.
func TestOldReportDoesNotReturn(tst *testing.T) {
	tab := New(maxAge)
	old := report("vm-0", 0)
	recent := old
	recent.Fencing = 8
	tab.Record(Entry{
		Report: recent,
		AsOf:   start,
	})
	tab.Record(Entry{
		Report: old,
		AsOf:   start.Add(-time.Second),
	})
	ent, _ := tab.Lookup("vm-0")
	qt.Assert(tst, ent.Report.Fencing, qt.Equals, uint64(8))
	tab.Invalidate("vm-0")
	for _, rep := range []backend.Report{recent, old} {
		tab.Record(Entry{
			Report: rep,
			AsOf:   start,
		})
		_, ok := tab.Lookup("vm-0")
		qt.Assert(tst, ok, qt.IsFalse)
	}
}

// TestRestart guards against a restart that is not detected, including after an invalidation, and against one
// that is reported twice.
func TestRestart(tst *testing.T) {
	tab := New(maxAge)
	var restarts []uint64
	for idx, inc := range []uint64{1, 1, 2, 2, 3} {
		rep := report("vm-0", 0)
		rep.Incarnation = inc
		restarted := tab.Record(Entry{
			Report: rep,
			AsOf:   start.Add(time.Duration(idx) * time.Second),
		})
		if restarted {
			restarts = append(restarts, inc)
		}
		tab.Invalidate("vm-0")
	}
	qt.Assert(tst, restarts, qt.DeepEquals, []uint64{2, 3})
}
