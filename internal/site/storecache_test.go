package site

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/hub"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/outlier"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/sitecontrol"
	"github.com/cumintally/cumintally/platform"
	"github.com/cumintally/cumintally/platform/standin"
)

// staleStore answers stale lists with an older revision, and blocks the first watch of each kind until watches is
// closed.
type staleStore struct {
	mu      sync.Mutex
	watches chan struct{}
	// answered holds the kinds whose first watch has been received.
	answered map[string]bool
}

const (
	oldRevision = 10
	newRevision = 20
)

func configObject(version uint64, key string) objects.Object {
	return objects.Object{
		Kind:    platform.KindConfig,
		Name:    platform.NameConfig,
		Version: version,
		Value: []byte(`{"version":` + strconv.FormatUint(version, 10) + `,"routes":[],"services":[],
			"tenants":[{"name":"polishing","api-keys":["` + key + `"]}],"limits":{}}`),
	}
}

func (sts *staleStore) store() objects.Store {
	list := func(_ context.Context, kind string, revision uint64, key string) ([]objects.Object, uint64, error) {
		switch kind {
		case platform.KindConfig:
			return []objects.Object{configObject(revision, key)}, revision, nil
		case objects.KindDaemon:
			var objs []objects.Object
			for num := range hub.MaxFullMeshDaemons + 1 {
				objs = append(objs, objects.Object{
					Kind:    kind,
					Name:    fmt.Sprintf("entry-%02d", num),
					Version: 1,
					Value:   []byte(`{"AvailabilityZone":"a","Address":"127.0.0.1:1"}`),
				})
			}
			return objs, revision, nil
		default:
			return nil, revision, nil
		}
	}
	return objects.Store{
		List: func(ctx context.Context, kind string) ([]objects.Object, uint64, error) {
			return list(ctx, kind, newRevision, "valid")
		},
		ListStale: func(ctx context.Context, kind string) ([]objects.Object, uint64, error) {
			return list(ctx, kind, oldRevision, "withdrawn")
		},
		Put: func(context.Context, string, string, uint64, []byte) (uint64, error) {
			return 0, objects.ErrConflict
		},
		Watch: func(ctx context.Context, kind string, _ uint64) ([]objects.Object, uint64, error) {
			sts.mu.Lock()
			first := !sts.answered[kind]
			sts.answered[kind] = true
			sts.mu.Unlock()
			watches := sts.watches
			if !first {
				watches = nil
			}
			select {
			case <-ctx.Done():
				return nil, 0, objects.ErrUnavailable
			case <-watches:
			}
			if kind == platform.KindConfig {
				return []objects.Object{configObject(newRevision, "valid")}, newRevision, nil
			}
			return nil, newRevision, nil
		},
	}
}

// startStoreCache returns the running store cache of a daemon on a site with hubs; extra holds settings of its own.
func startStoreCache(tst *testing.T, name string, sts *staleStore, extra ...string) *storeCache {
	return startStoreCacheOn(tst, name, sts.store(), extra...)
}

func startStoreCacheOn(tst *testing.T, name string, pst objects.Store, extra ...string) *storeCache {
	set, err := settings.New("", append(extra,
		"CUMINTALLY_ENTRY_NAME="+name,
		"CUMINTALLY_ENTRY_AVAILABILITYZONE=a",
		"CUMINTALLY_PLATFORM_PROTOCOL=Machines",
		"CUMINTALLY_PLATFORM_ADDRESS=127.0.0.1:1",
		"CUMINTALLY_LISTEN_CALLERS=127.0.0.1:1",
		"CUMINTALLY_LISTEN_READINESS=127.0.0.1:2",
		"CUMINTALLY_LISTEN_PEERS=127.0.0.1:3",
	))
	qt.Assert(tst, err, qt.IsNil)
	clk := clockwork.NewRealClock()
	log := zap.NewNop()
	les := lease.New(sitecontrol.LeaseName, name, time.Second, pst, clk)
	stc := newStoreCache(set, pst, inventory.New(log), les, outlier.New(), newServerLimiter(), clk, log)
	ctx, cancel := context.WithCancel(context.WithoutCancel(tst.Context()))
	var wgr sync.WaitGroup
	stc.run(ctx, &wgr)
	tst.Cleanup(func() {
		cancel()
		wgr.Wait()
	})
	return stc
}

// Guards against a daemon of a starting site that begins with a stale list and accepts a key that was revoked before.
func TestStaleListIsNotActive(tst *testing.T) {
	sts := &staleStore{
		watches:  make(chan struct{}),
		answered: map[string]bool{},
	}
	stc := startStoreCache(tst, "entry-12", sts, "CUMINTALLY_SITE_FIRSTSTART=true")
	eventually(tst, func() bool { return stc.table.Load() != nil })
	qt.Assert(tst, stc.activeTable(), qt.IsNil)
	qt.Assert(tst, stc.ready(), qt.IsFalse)
	close(sts.watches)
	eventually(tst, stc.ready)
	_, ok := stc.activeTable().Authenticate("withdrawn")
	qt.Assert(tst, ok, qt.IsFalse)
	_, ok = stc.activeTable().Authenticate("valid")
	qt.Assert(tst, ok, qt.IsTrue)
}

// Guards against hubs that are not ready until a watch is answered: when all daemons of a site start at once, the hubs
// have to serve, and to feed the others, from their first list.
func TestHubStartsFromTheStore(tst *testing.T) {
	stc := startStoreCache(tst, "entry-00", &staleStore{
		watches:  make(chan struct{}),
		answered: map[string]bool{},
	})
	eventually(tst, stc.ready)
	_, ok := stc.activeTable().Authenticate("valid")
	qt.Assert(tst, ok, qt.IsTrue)
}

// Guards against a site that rejects all requests for seconds after every daemon was lost at once: a daemon that starts
// again must serve from its first list, without waiting for a hub that is starting too, and without a watch of its own.
func TestRestartedDaemonServesFromItsFirstList(tst *testing.T) {
	sts := &staleStore{
		watches:  make(chan struct{}),
		answered: map[string]bool{},
	}
	stc := startStoreCache(tst, "entry-12", sts)
	eventually(tst, stc.ready)
	_, ok := stc.activeTable().Authenticate("valid")
	qt.Assert(tst, ok, qt.IsTrue)
	_, ok = stc.activeTable().Authenticate("withdrawn")
	qt.Assert(tst, ok, qt.IsFalse)
	time.Sleep(stc.maxCopyAge() / 4)
	sts.mu.Lock()
	defer sts.mu.Unlock()
	qt.Assert(tst, sts.answered[platform.KindConfig], qt.IsFalse, qt.Commentf("the daemon watches although it is to be fed"))
}

// Guards against a daemon that starts while the store rejects some of its calls, and becomes ready with the configuration that it
// read many seconds before the list of the backend servers.
func TestCopiesOfDifferentAgesAreNotActive(tst *testing.T) {
	var configCalls atomic.Int64
	var configUp, serversUp atomic.Bool
	pst := (&staleStore{}).store()
	list := pst.List
	pst.List = func(ctx context.Context, kind string) ([]objects.Object, uint64, error) {
		switch {
		case kind == platform.KindServer && !serversUp.Load():
			return nil, 0, objects.ErrUnavailable
		case kind != platform.KindConfig:
			return list(ctx, kind)
		case configCalls.Add(1) == 1:
			return []objects.Object{configObject(oldRevision, "withdrawn")}, oldRevision, nil
		case !configUp.Load():
			return nil, 0, objects.ErrUnavailable
		}
		return list(ctx, kind)
	}
	pst.Watch = func(ctx context.Context, kind string, since uint64) ([]objects.Object, uint64, error) {
		sleep(ctx, clockwork.NewRealClock(), 100*time.Millisecond)
		if kind == platform.KindConfig && !configUp.Load() {
			return nil, 0, objects.ErrUnavailable
		}
		if kind == platform.KindConfig && since < newRevision {
			return []objects.Object{configObject(newRevision, "valid")}, newRevision, nil
		}
		return nil, since, nil
	}
	stc := startStoreCacheOn(tst, "entry-12", pst)
	eventually(tst, func() bool { return stc.table.Load() != nil })
	time.Sleep(stc.maxCopyAge() + 500*time.Millisecond)
	serversUp.Store(true)
	eventually(tst, func() bool { return !stc.serverFollower().ConfirmedAt().IsZero() })
	qt.Assert(tst, stc.ready(), qt.IsFalse)
	qt.Assert(tst, stc.activeTable(), qt.IsNil)
	configUp.Store(true)
	eventually(tst, stc.ready)
	_, ok := stc.activeTable().Authenticate("valid")
	qt.Assert(tst, ok, qt.IsTrue)
	// A daemon that has been ready serves on while the store is away.
	configUp.Store(false)
	time.Sleep(stc.maxCopyAge() + 500*time.Millisecond)
	qt.Assert(tst, stc.ready(), qt.IsTrue)
}

// Guards against a daemon that stops answering for good: the check of the copies and a list that replaces one waited for each other's
// locks.
func TestChecksOfCopiesDoNotBlockLists(tst *testing.T) {
	pst := (&staleStore{}).store()
	list := pst.List
	var lists atomic.Int64
	pst.List = func(ctx context.Context, kind string) ([]objects.Object, uint64, error) {
		lists.Add(1)
		return list(ctx, kind)
	}
	pst.Watch = func(context.Context, string, uint64) ([]objects.Object, uint64, error) {
		return nil, 0, objects.ErrHistoryGone
	}
	stc := startStoreCacheOn(tst, "entry-00", pst)
	const checked = 2 * time.Second
	done := make(chan struct{})
	go func() {
		defer close(done)
		for end := time.Now().Add(checked); time.Now().Before(end); {
			stc.logCopies()
		}
	}()
	select {
	case <-done:
	case <-time.After(2 * checked):
		tst.Fatal("the check of the copies does not end")
	}
	before := lists.Load()
	eventually(tst, func() bool { return lists.Load() > before })
}

// Guards against a backend server that drains and counts as ready again, because the store was restored from a copy right after
// the daemon had read that it drains.
func TestDrainIsKeptIfStoreIsRestoredAtOnce(tst *testing.T) {
	sto := standin.NewStore()
	tst.Cleanup(sto.Close)
	put := func(state string) {
		sto.Put(platform.KindServer, "job-0", map[string]any{
			"service": "jobs", "address": "127.0.0.1:1", "zone": "a", "state": state, "slots": 1, "born": 1,
		})
	}
	put("ready")
	set := &settings.Settings{}
	set.Platform.Address = sto.Address()
	set.Platform.Timeout = time.Second
	stc := startStoreCacheOn(tst, "entry-00", newStore(set, metrics.NewRegistry(), zap.NewNop()))
	server := func() serverregistry.Server {
		if srv, ok := stc.registry.View().Server("job-0"); ok {
			return *srv
		}
		return serverregistry.Server{}
	}
	eventually(tst, func() bool { return server().ID != "" && !server().Draining })
	before := sto.Copy()
	put("draining")
	eventually(tst, func() bool { return server().Draining })
	sto.Restore(before)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		qt.Assert(tst, server().Draining, qt.IsTrue)
	}
	qt.Assert(tst, objects.EraOf(server().Version), qt.Equals, uint64(1), qt.Commentf("the restored entry was not read"))
}

func eventually(tst *testing.T, condition func() bool) {
	tst.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			tst.Fatal("the condition did not become true in time")
		}
	}
}
