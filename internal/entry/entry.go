package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/dig"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/booking"
	"github.com/cumintally/cumintally/internal/caller"
	"github.com/cumintally/cumintally/internal/controller"
	"github.com/cumintally/cumintally/internal/dispatch"
	"github.com/cumintally/cumintally/internal/gossip"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/listening"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/operator"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/probe"
	"github.com/cumintally/cumintally/internal/servicecall"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/zone"
	"github.com/cumintally/cumintally/internal/zoneorder"
)

// headerTimeout is the longest time that a client may take to send the headers of a request.
const headerTimeout = 5 * time.Second

// Daemon is the daemon of an entry VM.
type Daemon struct {
	components components
}

// components are the components of the daemon that run a loop, listen, or take part in a stop.
type components struct {
	dig.In

	Settings   *settings.Settings
	Clock      clockwork.Clock
	Logger     *zap.Logger
	Mesh       *peer.Mesh
	Membership *zone.Membership
	Gossip     *gossip.Gossip
	Follower   *follower
	Sampler    *sampler
	Inventory  *inventory.Inventory
	Prober     *probe.Prober
	Controller *controller.Controller
	ZoneOrders *zoneorder.Orders
	Limits     *limits
	Suspects   *suspects
	Dispatcher *dispatch.Dispatcher
	Caller     *caller.Handler
	Guard      *listening.Guard
	Ledger     *booking.Ledger
	Services   *servicecall.Client
	Operator   *operator.Handler
}

// New creates a daemon and its components from the settings.
func New(daemonSettings *settings.Settings, logger *zap.Logger) (*Daemon, error) {
	ctn := dig.New()
	supply := func() (*settings.Settings, *zap.Logger) { return daemonSettings, logger }
	if err := ctn.Provide(supply); err != nil {
		return nil, errors.Trace(err)
	}
	for _, prv := range providers {
		if err := ctn.Provide(prv); err != nil {
			return nil, errors.Trace(err)
		}
	}
	dmn := &Daemon{}
	if err := ctn.Invoke(func(dep components) { dmn.components = dep }); err != nil {
		return nil, errors.Trace(dig.RootCause(err))
	}
	return dmn, nil
}

// Run serves requests until ctx ends. It then stops gracefully and returns after requests in progress have
// finished or DrainTimeout has passed.
func (dmn *Daemon) Run(ctx context.Context) error {
	set := dmn.components.Settings
	log := dmn.components.Logger.Named("entry")
	peers := http.NewServeMux()
	peers.Handle(peer.Path, dmn.components.Mesh)
	servers, err := listening.Open([]listening.Listener{
		{
			Address:       set.Listen.Peers,
			Handler:       peers,
			HeaderTimeout: headerTimeout,
		},
		{
			Address:       set.Listen.Operators,
			Handler:       dmn.components.Operator.Routes(),
			HeaderTimeout: headerTimeout,
		},
		{
			Address:       set.Listen.Callers,
			Handler:       dmn.components.Caller.Routes(),
			Guard:         dmn.components.Guard,
			HeaderTimeout: headerTimeout,
		},
	})
	if err != nil {
		return errors.Trace(err)
	}
	var wgr sync.WaitGroup
	loops, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	control, stopControl := context.WithCancel(loops)
	dmn.start(loops, &wgr)
	wgr.Go(func() { dmn.components.Controller.Run(control) })
	log.Info("daemon started", zap.String("name", set.Entry.Name), zap.String("callers", set.Listen.Callers))
	<-ctx.Done()
	stopControl()
	dmn.stop(context.WithoutCancel(ctx), servers)
	stopLoops()
	wgr.Wait()
	dmn.components.Mesh.Close()
	log.Info("daemon stopped")
	return nil
}

// start starts the background loops of the components, except that of the controller.
func (dmn *Daemon) start(ctx context.Context, wgr *sync.WaitGroup) {
	fol := dmn.components.Follower
	wgr.Go(func() { dmn.components.Membership.Run(ctx) })
	wgr.Go(func() { dmn.components.Gossip.Run(ctx) })
	wgr.Go(func() { dmn.components.Prober.Run(ctx) })
	wgr.Go(func() { dmn.components.ZoneOrders.Run(ctx) })
	wgr.Go(func() { fol.followVMs(ctx) })
	wgr.Go(func() { dmn.components.Services.Run(ctx) })
	wgr.Go(func() { dmn.components.Limits.Run(ctx) })
	wgr.Go(func() { dmn.components.Suspects.run(ctx) })
	wgr.Go(func() { fol.catchUp(ctx) })
	wgr.Go(func() { dmn.components.Sampler.run(ctx) })
	for _, kind := range []string{objects.KindAllocation, objects.KindZone, objects.KindDocument} {
		wgr.Go(func() { fol.follow(ctx, kind) })
	}
}
