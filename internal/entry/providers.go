package entry

import (
	"cmp"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/workspace"
	"github.com/cumintally/cumintally/internal/zone"
	"github.com/cumintally/cumintally/pkg/document"
)

// providers makes every part of the daemon; dig orders them by what they need.
var providers = []any{
	clockwork.NewRealClock,
	newRegistry,
	newDial,
	newPlatformStore,
	newBackend,
	newMesh,
	newMembership,
	newStore,
	newInventory,
	newGossip,
	newFollower,
	newTable,
	newProber,
	newLease,
	newController,
	newZoneOrders,
	newLimits,
	quarantine.New,
	newSuspects,
	newDispatcher,
	newLedger,
	newServiceCaller,
	newWorkspaces,
	newCaller,
	newRollout,
	newRecorder,
	newBurnSurvey,
	newSampler,
	newOperator,
}

func newRegistry() metrics.Registry {
	return metrics.NewRegistry()
}

// streamTimeout is the time in which an engine must begin to answer. A daemon that alone cannot reach an
// engine still gets evidence of it from its peers, so that a request would else wait until its deadline.
// An engine sends the headers of a stream before it queues the request.
const streamTimeout = 2 * time.Second

func newBackend(dil dial) *backend.Client {
	return backend.New(&http.Client{
		Transport: &http.Transport{
			DialContext:           dil,
			MaxIdleConnsPerHost:   64,
			ResponseHeaderTimeout: streamTimeout,
			DisableCompression:    true,
		},
	})
}

func newMesh(set *settings.Settings, met metrics.Registry, dil dial, log *zap.Logger) *peer.Mesh {
	ide := peer.Identity{
		Name:             set.Entry.Name,
		AvailabilityZone: set.Entry.AvailabilityZone,
		Address:          cmp.Or(set.Listen.AdvertisePeers, set.Listen.Peers),
	}
	msh := peer.New(ide, []byte(set.Peers.Key), met, log)
	msh.Dial = dil
	return msh
}

func newMembership(set *settings.Settings, msh *peer.Mesh, inv *inventory.Inventory, clk clockwork.Clock, log *zap.Logger) *zone.Membership {
	seeds := func() []string {
		adrs := append([]string(nil), set.Peers.Seeds...)
		vms := inv.VMs()
		for _, vmc := range vms {
			if vmc.Role == objects.RoleEntry && vmc.AvailabilityZone == set.Entry.AvailabilityZone {
				adrs = append(adrs, vmc.Address)
			}
		}
		return adrs
	}
	return zone.New(msh, seeds, clk, log)
}

func newStore(set *settings.Settings, pst objects.Store, log *zap.Logger) *generation.Store {
	return generation.New(set.Entry.Environment, pst, log)
}

func newInventory(log *zap.Logger) *inventory.Inventory {
	return inventory.New(log)
}

func documentInForce(sto *generation.Store) func() *document.Document {
	return func() *document.Document { return sto.InForce().Document }
}

func newWorkspaces(sto *generation.Store) *workspace.Registry {
	return workspace.New(documentInForce(sto))
}
