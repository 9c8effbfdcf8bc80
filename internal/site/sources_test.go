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
	list := func(_ context.Context, kind string) ([]objects.Object, uint64, error) {
		switch kind {
		case platform.KindConfig:
			return []objects.Object{configObject(oldRevision, "withdrawn")}, oldRevision, nil
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
			return objs, oldRevision, nil
		default:
			return nil, oldRevision, nil
		}
	}
	return objects.Store{
		List:      list,
		ListStale: list,
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

// Guards against a daemon that starts with an old list and lets a key in that was withdrawn before.
func TestOldListIsNotInForce(tst *testing.T) {
	ags := &agedStore{
		watches:  make(chan struct{}),
		answered: map[string]bool{},
	}
	set, err := settings.New("", []string{
		"CUMINTALLY_ENTRY_NAME=entry-12",
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
	les := lease.New(steward.Scope, "entry-12", time.Second, ags.store(), clk)
	src := newSources(set, ags.store(), inventory.New(log), les, health.New(), clk, log)
	ctx, cancel := context.WithCancel(tst.Context())
	var wgr sync.WaitGroup
	src.run(ctx, &wgr)
	defer wgr.Wait()
	defer cancel()
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

func eventually(tst *testing.T, holds func() bool) {
	tst.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			tst.Fatal("does not come to hold")
		}
	}
}
