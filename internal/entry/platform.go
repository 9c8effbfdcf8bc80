package entry

import (
	"context"
	"net/http"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/settings"
)

// watchTimeout bounds a watch call. It must be longer than the time for which the platform holds a watch without
// changes, so that only a platform that hangs exceeds it.
const watchTimeout = 20 * time.Second

func newPlatformStore(set *settings.Settings, met metrics.Registry, dil dialFunc) objects.Store {
	htc := &http.Client{
		Transport: &http.Transport{
			DialContext:         dil,
			MaxIdleConnsPerHost: 16,
		},
	}
	pst := objects.New("http://"+set.Platform.Address, htc, metrics.GetOrRegisterCounter("PlatformCalls", met)).Store()
	return withTimeouts(pst, set.Platform.Timeout)
}

// withTimeouts bounds the time of each call, so that a platform that hangs is treated as unavailable.
func withTimeouts(pst objects.Store, tmo time.Duration) objects.Store {
	lim := pst
	lim.Get = func(ctx context.Context, kind, name string) (objects.Object, error) {
		ctx, cancel := context.WithTimeout(ctx, tmo)
		defer cancel()
		return pst.Get(ctx, kind, name)
	}
	lim.List = func(ctx context.Context, kind string) ([]objects.Object, uint64, error) {
		ctx, cancel := context.WithTimeout(ctx, tmo)
		defer cancel()
		return pst.List(ctx, kind)
	}
	lim.Put = func(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
		ctx, cancel := context.WithTimeout(ctx, tmo)
		defer cancel()
		return pst.Put(ctx, kind, name, expected, value)
	}
	lim.Delete = func(ctx context.Context, kind, name string, expected uint64) error {
		ctx, cancel := context.WithTimeout(ctx, tmo)
		defer cancel()
		return pst.Delete(ctx, kind, name, expected)
	}
	lim.Watch = func(ctx context.Context, kind string, since uint64) ([]objects.Object, uint64, error) {
		ctx, cancel := context.WithTimeout(ctx, watchTimeout)
		defer cancel()
		return pst.Watch(ctx, kind, since)
	}
	lim.VMs = func(ctx context.Context) ([]objects.VM, error) {
		ctx, cancel := context.WithTimeout(ctx, tmo)
		defer cancel()
		return pst.VMs(ctx)
	}
	return lim
}
