package site

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/health"
	"github.com/cumintally/cumintally/internal/hub"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/steward"
	"github.com/cumintally/cumintally/platform"
)

// agedStore lists what the store held before its last changes, until watches are let through.
type agedStore struct {
	mu      sync.Mutex
	watches chan struct{}
	// answered holds the kinds whose first watch has been answered.
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

func (ags *agedStore) store() objects.Store {
	list := func(_ context.Context, kind string, revision uint64, key string) ([]objects.Object, uint64, error) {
		switch kind {
		case platform.KindConfig:
			return []objects.Object{configObject(revision, key)}, revision, nil
		case objects.KindDaemon:
			var objs []objects.Object
			for num := range hub.SmallSite + 1 {
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
			ags.mu.Lock()
			first := !ags.answered[kind]
			ags.answered[kind] = true
			ags.mu.Unlock()
			watches := ags.watches
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

// startSources returns the sources of a daemon of a large site.
func startSources(tst *testing.T, name string, ags *agedStore) *sources {
	set, err := settings.New("", []string{
		"CUMINTALLY_ENTRY_NAME=" + name,
		"CUMINTALLY_ENTRY_AVAILABILITYZONE=a",
		"CUMINTALLY_PLATFORM_PROTOCOL=Machines",
		"CUMINTALLY_PLATFORM_ADDRESS=127.0.0.1:1",
		"CUMINTALLY_LISTEN_CALLERS=127.0.0.1:1",
		"CUMINTALLY_LISTEN_READINESS=127.0.0.1:2",
		"CUMINTALLY_LISTEN_PEERS=127.0.0.1:3",
	})
	qt.Assert(tst, err, qt.IsNil)
	clk := clockwork.NewRealClock()
	log := zap.NewNop()
	les := lease.New(steward.Scope, name, time.Second, ags.store(), clk)
	src := newSources(set, ags.store(), inventory.New(log), les, health.New(), clk, log)
	ctx, cancel := context.WithCancel(context.WithoutCancel(tst.Context()))
	var wgr sync.WaitGroup
	src.run(ctx, &wgr)
	tst.Cleanup(func() {
		cancel()
		wgr.Wait()
	})
	return src
}

// Guards against a daemon that starts with an old list and lets a key in that was withdrawn before.
func TestOldListIsNotInForce(tst *testing.T) {
	ags := &agedStore{
		watches:  make(chan struct{}),
		answered: map[string]bool{},
	}
	src := startSources(tst, "entry-12", ags)
	eventually(tst, func() bool { return src.table.Load() != nil })
	qt.Assert(tst, src.inForce(), qt.IsNil)
	qt.Assert(tst, src.ready(), qt.IsFalse)
	close(ags.watches)
	eventually(tst, src.ready)
	_, ok := src.inForce().Authenticate("withdrawn")
	qt.Assert(tst, ok, qt.IsFalse)
	_, ok = src.inForce().Authenticate("valid")
	qt.Assert(tst, ok, qt.IsTrue)
}

// Replays a site whose daemons all start at once: its hubs serve, and feed the others, before any watch is answered.
func TestHubStartsFromTheStore(tst *testing.T) {
	src := startSources(tst, "entry-00", &agedStore{
		watches:  make(chan struct{}),
		answered: map[string]bool{},
	})
	eventually(tst, src.ready)
	_, ok := src.inForce().Authenticate("valid")
	qt.Assert(tst, ok, qt.IsTrue)
}

func eventually(tst *testing.T, holds func() bool) {
	tst.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			tst.Fatal("does not come to hold")
		}
	}
}
