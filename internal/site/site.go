package site

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/dig"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/exposition"
	"github.com/cumintally/cumintally/internal/listening"
	"github.com/cumintally/cumintally/internal/logging"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/relay"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/sitecontrol"
	"github.com/cumintally/cumintally/internal/upstream"
)

const (
	// headerTimeout bounds how long a client may take to send the headers of a request, and idleTimeout how long a
	// connection may be idle. Both exceed the limits that configurations set, so that no client is disconnected early.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// trimInterval is the time between two removals of idle connections and of state of departed backend servers.
	trimInterval = time.Second
)

// Daemon is the daemon of an entry VM on prepared machines.
type Daemon struct {
	dep components
}

// components are the components of the daemon that run in the background or listen.
type components struct {
	dig.In

	Settings   *settings.Settings
	Clock      clockwork.Clock
	Log        *zap.Logger
	Metrics    metrics.Registry
	StoreCache *storeCache
	Relay      *relay.Relay
	Steward    *sitecontrol.Controller
	Pool       *upstream.Pool
	Gossip     *gossip
	Mesh       *peer.Mesh
}

// New assembles a daemon from its settings.
func New(set *settings.Settings, log *zap.Logger) (*Daemon, error) {
	ctn := dig.New()
	supply := func() (*settings.Settings, *zap.Logger) { return set, log }
	for _, prv := range append([]any{supply}, providers...) {
		if err := ctn.Provide(prv); err != nil {
			return nil, errors.Trace(err)
		}
	}
	ste := &Daemon{}
	if err := ctn.Invoke(func(dep components) { ste.dep = dep }); err != nil {
		return nil, errors.Trace(dig.RootCause(err))
	}
	return ste, nil
}

// Run serves until ctx ends, then stops gracefully: requests in progress may finish first, within the drain timeout.
func (ste *Daemon) Run(ctx context.Context) error {
	set := ste.dep.Settings
	log := ste.dep.Log.Named("site")
	servers, err := ste.listen()
	if err != nil {
		return errors.Trace(err)
	}
	log.Info("entry VM is up", zap.String("name", set.Entry.Name), zap.String("zone", set.Entry.AvailabilityZone), zap.String("callers", set.Listen.Callers))
	var wgr sync.WaitGroup
	loops, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	control, stopControl := context.WithCancel(loops)
	ste.dep.StoreCache.run(loops, &wgr)
	wgr.Go(func() { ste.trim(loops) })
	wgr.Go(func() { ste.dep.Gossip.run(loops) })
	var stewardDone sync.WaitGroup
	stewardDone.Go(func() { ste.dep.Steward.Run(control) })
	<-ctx.Done()
	stopControl()
	ste.stop(context.WithoutCancel(ctx), servers)
	stewardDone.Wait()
	stopLoops()
	wgr.Wait()
	ste.dep.Mesh.Close()
	log.Info("entry VM has stopped")
	return nil
}

// stop drains the daemon without interrupting requests in progress, up to the drain timeout. Readiness fails first;
// until the load balancer has noticed, new requests are still served, each as the last one of its connection.
func (ste *Daemon) stop(ctx context.Context, servers []*http.Server) {
	set := ste.dep.Settings.Requests
	ste.dep.Log.Named("site").Info("entry VM is stopping", zap.Duration("notice", set.StopNotice), zap.Int("inProgress", ste.dep.Relay.InFlight()))
	drain, cancel := context.WithTimeout(ctx, set.DrainTimeout)
	defer cancel()
	ste.dep.StoreCache.failReadiness()
	ste.dep.Relay.Drain()
	ste.dep.Clock.Sleep(set.StopNotice)
	for _, srv := range servers {
		if err := srv.Shutdown(drain); err != nil {
			ste.dep.Log.Named("site").Error("requests were still in progress at the end of the drain timeout",
				zap.Int("inProgress", ste.dep.Relay.InFlight()), logging.Error(err))
		}
	}
}

// trim periodically drops connections and state of backend servers that are no longer registered, until ctx ends.
func (ste *Daemon) trim(ctx context.Context) {
	for ctx.Err() == nil {
		ste.dep.Pool.Trim(ste.dep.StoreCache.isRegisteredAddress)
		ste.dep.StoreCache.trim()
		sleep(ctx, ste.dep.Clock, trimInterval)
	}
}

// listen opens the daemon's listeners.
func (ste *Daemon) listen() ([]*http.Server, error) {
	set := ste.dep.Settings.Listen
	lsts := []listening.Listener{
		{
			Address: set.Callers,
			Handler: ste.dep.Relay,
		},
		{
			Address: set.Readiness,
			Handler: ste.readiness(),
		},
		{
			Address: set.Peers,
			Handler: ste.dep.Mesh,
		},
		{
			Address: set.Metrics,
			Handler: ste.metrics(),
		},
	}
	for idx := range lsts {
		lsts[idx].HeaderTimeout = headerTimeout
		lsts[idx].IdleTimeout = idleTimeout
		lsts[idx].ErrorLog = zap.NewStdLog(ste.dep.Log.Named("http"))
	}
	servers, err := listening.Open(lsts)
	return servers, errors.Trace(err)
}

func (ste *Daemon) readiness() http.Handler {
	rtr := chi.NewRouter()
	rtr.Get("/*", func(wrt http.ResponseWriter, _ *http.Request) {
		if !ste.dep.StoreCache.ready() {
			wrt.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		wrt.WriteHeader(http.StatusOK)
	})
	return rtr
}

func (ste *Daemon) metrics() http.Handler {
	rtr := chi.NewRouter()
	rtr.Method(http.MethodGet, "/metrics", exposition.New(ste.dep.Metrics))
	return rtr
}
