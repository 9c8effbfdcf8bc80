package entry

import (
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/controller"
	"github.com/cumintally/cumintally/internal/evidence"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/platform"
	"github.com/cumintally/cumintally/internal/probe"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/zone"
)

func newTable(set *settings.Settings) *evidence.Table {
	return evidence.New(set.Control.EvidenceMaxAge)
}

func newProber(
	set *settings.Settings,
	tab *evidence.Table,
	mbs *zone.Membership,
	msh *peer.Mesh,
	bck *backend.Client,
	inv *inventory.Inventory,
	clk clockwork.Clock,
	log *zap.Logger,
) *probe.Prober {
	vms := func() []platform.VM {
		all, _ := inv.VMs()
		var own []platform.VM
		for _, vmc := range all {
			if vmc.Role == platform.RoleEngine && vmc.AvailabilityZone == set.Entry.AvailabilityZone {
				own = append(own, vmc)
			}
		}
		return own
	}
	return probe.New(set.Control.ProbeInterval, tab, mbs, msh, bck.Report, vms, clk, log)
}

func newLease(set *settings.Settings, pst platform.Store, clk clockwork.Clock) *lease.Lease {
	return lease.New(set.Entry.AvailabilityZone, set.Entry.Name, set.Control.LeaseDuration, pst, clk)
}

func newController(
	set *settings.Settings,
	les *lease.Lease,
	inv *inventory.Inventory,
	tab *evidence.Table,
	pst platform.Store,
	sto *generation.Store,
	bck *backend.Client,
	clk clockwork.Clock,
	log *zap.Logger,
) *controller.Controller {
	cfg := controller.Config{
		AvailabilityZone: set.Entry.AvailabilityZone,
		OrderTimeout:     set.Control.OrderTimeout,
		LeaseDuration:    set.Control.LeaseDuration,
	}
	return controller.New(cfg, les, inv, tab, pst, documentInForce(sto), bck.Order, clk, log)
}
