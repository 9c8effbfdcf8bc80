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
	"github.com/cumintally/cumintally/internal/placement"
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
	// endTime is the part of the drain timeout that is left for the responses to requests that are ended.
	endTime = 500 * time.Millisecond
	// inFlightCheckInterval is the time between two checks whether requests are in progress.
	inFlightCheckInterval = 20 * time.Millisecond
	// trimInterval is the time between two removals of idle connections and of the state of backend servers that are no
	// longer registered.
	trimInterval = time.Second
	// copyCheckInterval is the time between two checks whether the daemon's copies of the store's objects are current.
	copyCheckInterval = 100 * time.Millisecond
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
	Guard      *listening.Guard
	Controller *sitecontrol.Controller
	Pool       *upstream.Pool
	Gossip     *gossip
	Crashes    *crashExchange
	Suspicions *suspicionExchange
	Placement  *placement.Placement
	Mesh       *peer.Mesh
	Explainer  *explainer
}

// New assembles a daemon from its settings. It connects to backend servers by dialServer, usually Dial.
func New(set *settings.Settings, log *zap.Logger, dialServer DialFunc) (*Daemon, error) {
	ctn := dig.New()
	supply := func() (*settings.Settings, *zap.Logger, DialFunc) { return set, log, dialServer }
	for _, prv := range append([]any{supply}, providers...) {
		if err := ctn.Provide(prv); err != nil {
			return nil, errors.Trace(err)
		}
	}
	dmn := &Daemon{}
	if err := ctn.Invoke(func(dep components) { dmn.dep = dep }); err != nil {
		return nil, errors.Trace(dig.RootCause(err))
	}
	return dmn, nil
}

// Run serves until ctx ends, then stops gracefully: requests in progress may finish first, within the drain timeout.
func (dmn *Daemon) Run(ctx context.Context) error {
	set := dmn.dep.Settings
	log := dmn.dep.Log.Named("site")
	servers, err := dmn.listen()
	if err != nil {
		return errors.Trace(err)
	}
	log.Info("daemon started", zap.String("name", set.Entry.Name), zap.String("zone", set.Entry.AvailabilityZone), zap.String("callers", set.Listen.Callers))
	var wgr sync.WaitGroup
	loops, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	control, stopControl := context.WithCancel(loops)
	dmn.dep.StoreCache.run(loops, &wgr)
	wgr.Go(func() { dmn.trim(loops) })
	wgr.Go(func() { dmn.watchCopies(loops) })
	wgr.Go(func() { dmn.dep.Gossip.run(loops) })
	wgr.Go(func() { dmn.dep.Crashes.run(loops) })
	wgr.Go(func() { dmn.dep.Suspicions.run(loops, dmn.dep.Placement) })
	var controllerDone sync.WaitGroup
	controllerDone.Go(func() { dmn.dep.Controller.Run(control) })
	<-ctx.Done()
	stopControl()
	dmn.stop(context.WithoutCancel(ctx), servers)
	controllerDone.Wait()
	stopLoops()
	wgr.Wait()
	dmn.dep.Mesh.Close()
	log.Info("daemon stopped")
	return nil
}

// stop drains the daemon without interrupting requests in progress, up to the drain timeout. Readiness fails first;
// until the load balancer has noticed, new requests are still served, each as the last one of its connection. Later ones
// come only on connections that were open before, and are rejected. Those still in progress at the end get a response, too.
func (dmn *Daemon) stop(ctx context.Context, servers []*listening.Server) {
	set := dmn.dep.Settings.Requests
	dmn.dep.Log.Named("site").Info("daemon is stopping", zap.Duration("notice", set.StopNotice), zap.Int("inProgress", dmn.dep.Relay.InFlight()))
	drain, cancel := context.WithTimeout(ctx, set.DrainTimeout-endTime)
	defer cancel()
	var tunnels sync.WaitGroup
	tunnels.Go(func() { dmn.dep.Mesh.StopTunnels(drain) })
	defer tunnels.Wait()
	dmn.dep.StoreCache.failReadiness()
	dmn.dep.Relay.Drain()
	dmn.dep.Clock.Sleep(set.StopNotice)
	dmn.dep.Relay.RejectNew()
	for _, srv := range servers {
		if srv.Address != dmn.dep.Settings.Listen.Callers {
			continue
		}
		if err := srv.StopAccepting(); err != nil {
			dmn.dep.Log.Named("site").Warn("cannot close the listener of callers", logging.Error(err))
		}
	}
	// While the servers shut down, they close connections on which a request arrives without any response.
	for dmn.dep.Relay.InFlight() > 0 && drain.Err() == nil {
		sleep(drain, dmn.dep.Clock, inFlightCheckInterval)
	}
	if num := dmn.dep.Relay.InFlight(); num > 0 {
		dmn.dep.Log.Named("site").Error("ending requests that were still in progress at the end of the drain timeout", zap.Int("inProgress", num))
		dmn.dep.Relay.End()
	}
	end, cancel := context.WithTimeout(ctx, endTime)
	defer cancel()
	for _, srv := range servers {
		if err := srv.Shutdown(end); err != nil {
			dmn.dep.Log.Named("site").Error("requests could not be ended", zap.Int("inProgress", dmn.dep.Relay.InFlight()), logging.Error(err))
		}
	}
}

// trim periodically drops connections and state of backend servers that are no longer registered, until ctx ends.
func (dmn *Daemon) trim(ctx context.Context) {
	for ctx.Err() == nil {
		dmn.dep.Pool.Trim(dmn.dep.StoreCache.isRegisteredAddress)
		dmn.dep.StoreCache.trim()
		sleep(ctx, dmn.dep.Clock, trimInterval)
	}
}

// watchCopies periodically logs changes of readiness and of the currency of the daemon's copies, until ctx ends.
func (dmn *Daemon) watchCopies(ctx context.Context) {
	for ctx.Err() == nil {
		dmn.dep.StoreCache.logCopies()
		sleep(ctx, dmn.dep.Clock, copyCheckInterval)
	}
}

// listen opens the daemon's listeners.
func (dmn *Daemon) listen() ([]*listening.Server, error) {
	set := dmn.dep.Settings.Listen
	lsts := []listening.Listener{
		{
			Address: set.Callers,
			Handler: dmn.dep.Relay,
			Guard:   dmn.dep.Guard,
		},
		{
			Address: set.Readiness,
			Handler: dmn.readiness(),
		},
		{
			Address: set.Peers,
			Handler: dmn.dep.Mesh,
		},
		{
			Address: set.Metrics,
			Handler: dmn.metrics(),
		},
	}
	for idx := range lsts {
		lsts[idx].HeaderTimeout = headerTimeout
		lsts[idx].IdleTimeout = idleTimeout
		lsts[idx].ErrorLog = zap.NewStdLog(dmn.dep.Log.Named("http"))
	}
	servers, err := listening.Open(lsts)
	return servers, errors.Trace(err)
}

func (dmn *Daemon) readiness() http.Handler {
	rtr := chi.NewRouter()
	rtr.Get("/*", func(wrt http.ResponseWriter, _ *http.Request) {
		if !dmn.dep.StoreCache.ready() {
			wrt.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		wrt.WriteHeader(http.StatusOK)
	})
	return rtr
}

func (dmn *Daemon) metrics() http.Handler {
	rtr := chi.NewRouter()
	rtr.Method(http.MethodGet, "/metrics", exposition.New(dmn.dep.Metrics))
	rtr.Method(http.MethodGet, "/explain", dmn.dep.Explainer)
	return rtr
}
