package entry

import (
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/dig"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/burn"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/operator"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/rollout"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/survey"
	"github.com/cumintally/cumintally/internal/vmreport"
	"github.com/cumintally/cumintally/internal/zone"
	"github.com/cumintally/cumintally/internal/zoneorder"
)

func newZoneOrders(
	set *settings.Settings,
	msh *peer.Mesh,
	mbs *zone.Membership,
	inv *inventory.Inventory,
	pst objects.Store,
	clk clockwork.Clock,
	log *zap.Logger,
) *zoneorder.Orders {
	fns := zoneorder.Dependencies{
		PeerAddresses: func() []string {
			var adrs []string
			for _, ide := range mbs.Alive() {
				if ide.Name != set.Entry.Name {
					adrs = append(adrs, ide.Address)
				}
			}
			return adrs
		},
		DaemonAddresses: func(zone string) []string {
			var adrs []string
			vms := inv.VMs()
			for _, vmc := range vms {
				if vmc.Role == objects.RoleEntry && vmc.AvailabilityZone == zone {
					adrs = append(adrs, vmc.Address)
				}
			}
			return adrs
		},
		Call: msh.Call,
	}
	ord := zoneorder.New(set.Entry.AvailabilityZone, fns, pst, inv, clk, log)
	msh.Handle(zoneorder.FrameKind, ord.HandleExchange)
	return ord
}

// operatorDependencies are the components that newOperator uses.
type operatorDependencies struct {
	dig.In

	Settings   *settings.Settings
	Store      *generation.Store
	Inventory  *inventory.Inventory
	Table      *vmreport.Table
	Membership *zone.Membership
	Rollout    *rollout.Rollout
	Platform   objects.Store
	Orders     *zoneorder.Orders
	Burn       *survey.Survey[[]burn.Series]
	Metrics    metrics.Registry
	Clock      clockwork.Clock
	Logger     *zap.Logger
}

func newOperator(dep operatorDependencies) *operator.Handler {
	cfg := operator.Config{
		Key:              dep.Settings.Operators.Key,
		AvailabilityZone: dep.Settings.Entry.AvailabilityZone,
	}
	fns := operator.Dependencies{
		Daemons:    dep.Membership.Alive,
		OrderZone:  dep.Orders.Execute,
		Rollout:    dep.Rollout.ZoneProgress,
		ListVMs:    dep.Platform.VMs,
		BurnReport: burnReport(dep.Burn, dep.Store, dep.Clock),
	}
	return operator.New(cfg, fns, dep.Store, dep.Inventory, dep.Table, dep.Metrics, dep.Logger)
}

func newRollout(msh *peer.Mesh, sto *generation.Store, inv *inventory.Inventory) *rollout.Rollout {
	return rollout.New(msh, sto, inv.VMs)
}
