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

// headerTimeout bounds how long a client may take to send the headers of a request.
const headerTimeout = 5 * time.Second

// Entry is the daemon of an entry VM.
type Entry struct {
	dep parts
}

// parts are the daemon's parts that run or listen.
type parts struct {
	dig.In

	Settings   *settings.Settings
	Clock      clockwork.Clock
	Log        *zap.Logger
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
	Ledger     *booking.Ledger
	Services   *servicecall.Caller
	Operator   *operator.Handler
}

// New wires a daemon from its settings.
func New(set *settings.Settings, log *zap.Logger) (*Entry, error) {
	ctn := dig.New()
	supply := func() (*settings.Settings, *zap.Logger) { return set, log }
	if err := ctn.Provide(supply); err != nil {
		return nil, errors.Trace(err)
	}
	for _, prv := range providers {
		if err := ctn.Provide(prv); err != nil {
			return nil, errors.Trace(err)
		}
	}
	ent := &Entry{}
	if err := ctn.Invoke(func(dep parts) { ent.dep = dep }); err != nil {
		return nil, errors.Trace(dig.RootCause(err))
	}
	return ent, nil
}

// Run serves until ctx ends, then stops gracefully: requests in progress finish first.
func (ent *Entry) Run(ctx context.Context) error {
	set := ent.dep.Settings
	log := ent.dep.Log.Named("entry")
	peers := http.NewServeMux()
	peers.Handle(peer.Path, ent.dep.Mesh)
	servers, err := listening.Open([]listening.Listener{
		{
			Address:       set.Listen.Peers,
			Handler:       peers,
			HeaderTimeout: headerTimeout,
		},
		{
			Address:       set.Listen.Operators,
			Handler:       ent.dep.Operator.Routes(),
			HeaderTimeout: headerTimeout,
		},
		{
			Address:       set.Listen.Callers,
			Handler:       ent.dep.Caller.Routes(),
			HeaderTimeout: headerTimeout,
		},
	})
	if err != nil {
		return errors.Trace(err)
	}
	var wgr sync.WaitGroup
	loops, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	control, stopControl := context.WithCancel(loops)
	ent.start(loops, &wgr)
	wgr.Go(func() { ent.dep.Controller.Run(control) })
	log.Info("entry VM is up", zap.String("name", set.Entry.Name), zap.String("callers", set.Listen.Callers))
	<-ctx.Done()
	stopControl()
	ent.stop(context.WithoutCancel(ctx), servers)
	stopLoops()
	wgr.Wait()
	ent.dep.Mesh.Close()
	log.Info("entry VM has stopped")
	return nil
}

// start runs the loops that follow the platform and the peers.
func (ent *Entry) start(ctx context.Context, wgr *sync.WaitGroup) {
	fol := ent.dep.Follower
	wgr.Go(func() { ent.dep.Membership.Run(ctx) })
	wgr.Go(func() { ent.dep.Gossip.Run(ctx) })
	wgr.Go(func() { ent.dep.Prober.Run(ctx) })
	wgr.Go(func() { ent.dep.ZoneOrders.Run(ctx) })
	wgr.Go(func() { fol.followVMs(ctx) })
	wgr.Go(func() { ent.dep.Services.Run(ctx) })
	wgr.Go(func() { ent.dep.Limits.Run(ctx) })
	wgr.Go(func() { ent.dep.Suspects.run(ctx) })
	wgr.Go(func() { fol.settle(ctx) })
	wgr.Go(func() { ent.dep.Sampler.run(ctx) })
	for _, kind := range []string{objects.KindAllocation, objects.KindZone, objects.KindDocument} {
		wgr.Go(func() { fol.follow(ctx, kind) })
	}
}
