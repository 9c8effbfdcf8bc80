package storesync_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/storesync"
)

// restoredStore holds one list; its watches end when the list is replaced.
type restoredStore struct {
	mu      sync.Mutex
	era     uint64
	listed  []objects.Object
	changed chan struct{}
}

func (rst *restoredStore) replace(era uint64, names ...string) {
	rst.mu.Lock()
	defer rst.mu.Unlock()
	rst.era = era
	rst.listed = nil
	for _, name := range names {
		rst.listed = append(rst.listed, objects.Object{
			Kind:    kind,
			Name:    name,
			Version: objects.VersionIn(era, 1),
		})
	}
	if rst.changed != nil {
		close(rst.changed)
	}
	rst.changed = make(chan struct{})
}

func (rst *restoredStore) store() objects.Store {
	return objects.Store{
		List: func(context.Context, string) ([]objects.Object, uint64, error) {
			rst.mu.Lock()
			defer rst.mu.Unlock()
			return rst.listed, objects.VersionIn(rst.era, 1), nil
		},
		Watch: func(ctx context.Context, _ string, since uint64) ([]objects.Object, uint64, error) {
			rst.mu.Lock()
			era, changed := rst.era, rst.changed
			rst.mu.Unlock()
			if objects.EraOf(since) != era {
				return nil, 0, objects.ErrHistoryGone
			}
			select {
			case <-ctx.Done():
				return nil, since, nil
			case <-changed:
				return nil, 0, objects.ErrUnavailable
			}
		},
	}
}

// Guards against what a restored store lacks counting as removed, before its writers had the time to write it again; and against
// keeping it for good.
func TestLostObjectsAreKeptUntilTheyCanBeWrittenAgain(tst *testing.T) {
	clk := clockwork.NewRealClock()
	rst := &restoredStore{}
	rst.replace(0, "kept", "lost")
	var mu sync.Mutex
	names := map[string]bool{}
	apply := func(objs []objects.Object, complete bool) {
		mu.Lock()
		defer mu.Unlock()
		if complete {
			clear(names)
		}
		for _, obj := range objs {
			names[obj.Name] = true
		}
	}
	has := func(name string) bool {
		mu.Lock()
		defer mu.Unlock()
		return names[name]
	}
	fol := storesync.New(storesync.Config{
		Kind:         kind,
		BatchDelay:   func() time.Duration { return 0 },
		FeedsEnabled: func() bool { return false },
		AllowStale:   func() bool { return false },
		ExpectsFeed:  func() bool { return false },
	}, rst.store(), apply, clk, zap.NewNop())
	go fol.Run(tst.Context())
	eventually(tst, func() bool { return has("lost") })
	rst.replace(1, "kept", "new")
	eventually(tst, func() bool { return has("new") })
	restored := time.Now()
	for time.Since(restored) < time.Second {
		qt.Assert(tst, has("lost"), qt.IsTrue)
		time.Sleep(10 * time.Millisecond)
	}
	eventually(tst, func() bool { return !has("lost") })
	qt.Check(tst, has("kept"), qt.IsTrue)
}

// Guards against a copy that misses changes after a restore, since its watch was given up for a list that fails.
func TestWatchGoesOnWhileListsFailAfterRestore(tst *testing.T) {
	reg := newRegistry()
	reg.put("first")
	sto := reg.store()
	var restored, lists atomic.Int64
	list, watch := sto.List, sto.Watch
	sto.List = func(ctx context.Context, kind string) ([]objects.Object, uint64, error) {
		// The second list is the one right after the restore.
		if lists.Add(1) > 2 {
			return nil, 0, objects.ErrUnavailable
		}
		objs, rev, err := list(ctx, kind)
		return objs, objects.VersionIn(uint64(restored.Load()), rev), err
	}
	sto.Watch = func(ctx context.Context, kind string, since uint64) ([]objects.Object, uint64, error) {
		era := uint64(restored.Load())
		if objects.EraOf(since) != era {
			return nil, 0, objects.ErrHistoryGone
		}
		objs, rev, err := watch(ctx, kind, objects.RevisionOf(since))
		if restored.Load() != int64(era) {
			return nil, 0, objects.ErrUnavailable
		}
		return objs, objects.VersionIn(era, rev), err
	}
	cop := &copied{}
	fol := storesync.New(storesync.Config{
		Kind:         kind,
		BatchDelay:   func() time.Duration { return 0 },
		FeedsEnabled: func() bool { return false },
		AllowStale:   func() bool { return false },
		ExpectsFeed:  func() bool { return false },
	}, sto, cop.apply, clockwork.NewRealClock(), zap.NewNop())
	go fol.Run(tst.Context())
	eventually(tst, func() bool { return cop.version("first") > 0 })
	restored.Store(1)
	reg.put("second")
	eventually(tst, func() bool { return lists.Load() > 2 })
	reg.put("third")
	eventually(tst, func() bool { return cop.version("third") > 0 })
}
