package entry

import (
	"cmp"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/edgelimits"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/requestbody"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/workspace"
	"github.com/cumintally/cumintally/internal/zone"
	"github.com/cumintally/cumintally/pkg/document"
)

// providers are the constructors of the daemon's components. The dependency injection container (dig)
// calls them in the order of their dependencies.
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
	edgelimits.NewBudget,
	requestbody.New,
	edgelimits.NewGuard,
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

// responseHeaderTimeout is the time within which an engine must send the response headers. It sends the
// headers of a stream before it queues the request. If only this daemon cannot reach an engine, it still
// receives the engine's reports from its peers, so without this timeout a request would wait until its
// deadline.
const responseHeaderTimeout = 2 * time.Second

func newBackend(dil dialFunc) *backend.Client {
	return backend.New(&http.Client{
		Transport: &http.Transport{
			DialContext:           dil,
			MaxIdleConnsPerHost:   64,
			ResponseHeaderTimeout: responseHeaderTimeout,
			DisableCompression:    true,

			MaxResponseHeaderBytes: backend.MaxHeadSize,
		},
	})
}

func newMesh(set *settings.Settings, met metrics.Registry, dil dialFunc, log *zap.Logger) *peer.Mesh {
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
