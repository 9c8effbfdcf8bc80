package entry

import (
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/evidence"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/operator"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/platform"
	"github.com/cumintally/cumintally/internal/rollout"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/zone"
	"github.com/cumintally/cumintally/internal/zoneorder"
)

func newZoneOrders(
	set *settings.Settings,
	msh *peer.Mesh,
	mbs *zone.Membership,
	inv *inventory.Inventory,
	pst platform.Store,
	clk clockwork.Clock,
	log *zap.Logger,
) *zoneorder.Orders {
	sea := zoneorder.Seams{
		Peers: func() []string {
			var adrs []string
			for _, ide := range mbs.Alive() {
				if ide.Name != set.Entry.Name {
					adrs = append(adrs, ide.Address)
				}
			}
			return adrs
		},
		Daemons: func(zone string) []string {
			var adrs []string
			vms := inv.VMs()
			for _, vmc := range vms {
				if vmc.Role == platform.RoleEntry && vmc.AvailabilityZone == zone {
					adrs = append(adrs, vmc.Address)
				}
			}
			return adrs
		},
		Call: msh.Call,
	}
	ord := zoneorder.New(set.Entry.AvailabilityZone, sea, pst, inv, clk, log)
	msh.Handle(zoneorder.Kind, ord.Answer)
	return ord
}

func newOperator(
	set *settings.Settings,
	sto *generation.Store,
	inv *inventory.Inventory,
	tab *evidence.Table,
	mbs *zone.Membership,
	rol *rollout.Rollout,
	met metrics.Registry,
	ord *zoneorder.Orders,
	log *zap.Logger,
) *operator.Handler {
	return operator.New(set.Operators.Key, set.Entry.AvailabilityZone, sto, inv, tab, mbs, rol, met, ord.Order, log)
}

func newRollout(msh *peer.Mesh, sto *generation.Store, inv *inventory.Inventory) *rollout.Rollout {
	vms := func() []platform.VM {
		all := inv.VMs()
		return all
	}
	return rollout.New(msh, sto, vms)
}
