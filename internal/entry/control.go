package entry

import (
	"context"
	"net"
	"slices"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/dig"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/controller"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/probe"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/vmreport"
	"github.com/cumintally/cumintally/internal/zone"
)

func newTable(set *settings.Settings) *vmreport.Table {
	return vmreport.New(set.Control.EvidenceMaxAge)
}

func newProber(
	set *settings.Settings,
	tab *vmreport.Table,
	mbs *zone.Membership,
	msh *peer.Mesh,
	bck *backend.Client,
	inv *inventory.Inventory,
	clk clockwork.Clock,
	log *zap.Logger,
) *probe.Prober {
	vms := func() []objects.VM { return inv.Engines(set.Entry.AvailabilityZone) }
	return probe.New(set.Control.ProbeInterval, tab, mbs, msh, bck.Report, vms, clk, log)
}

func newLease(set *settings.Settings, pst objects.Store, clk clockwork.Clock) *lease.Lease {
	return lease.New(set.Entry.AvailabilityZone, set.Entry.Name, set.Control.LeaseDuration, pst, clk)
}

// controllerDependencies are the components that newController uses.
type controllerDependencies struct {
	dig.In

	Settings   *settings.Settings
	Lease      *lease.Lease
	Inventory  *inventory.Inventory
	Table      *vmreport.Table
	Membership *zone.Membership
	Platform   objects.Store
	Store      *generation.Store
	Backend    *backend.Client
	Clock      clockwork.Clock
	Logger     *zap.Logger
}

func newController(dep controllerDependencies) *controller.Controller {
	set := dep.Settings
	cfg := controller.Config{
		AvailabilityZone: set.Entry.AvailabilityZone,
		OrderTimeout:     set.Control.OrderTimeout,
		LeaseDuration:    set.Control.LeaseDuration,
		EvidenceMaxAge:   set.Control.EvidenceMaxAge,
		DrainTimeout:     set.Requests.DrainTimeout,
	}
	fns := controller.Dependencies{
		ActiveDocument:    documentInForce(dep.Store),
		SendOrder:         newOrderClient(set.Control.OrderTimeout).Order,
		FetchReport:       dep.Backend.Report,
		RefusesConnection: refusesConnections,
		CountDaemons: func() (int, int) {
			return len(dep.Membership.Alive()), countListedDaemons(dep.Inventory, cfg.AvailabilityZone)
		},
		DaemonIndex: func() int {
			isSelf := func(ide peer.Identity) bool { return ide.Name == set.Entry.Name }
			return slices.IndexFunc(dep.Membership.Alive(), isSelf)
		},
	}
	return controller.New(cfg, fns, dep.Lease, dep.Inventory, dep.Table, dep.Platform, dep.Clock, dep.Logger)
}

// refusesConnections reports whether the kernel at adr rejects connections because nothing listens there.
func refusesConnections(ctx context.Context, adr string) bool {
	var dlr net.Dialer
	con, err := dlr.DialContext(ctx, "tcp", adr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = con.Close()
	return false
}

// countListedDaemons returns the number of live entry VMs of a zone in the platform's list of VMs.
func countListedDaemons(inv *inventory.Inventory, zone string) int {
	vms := inv.VMs()
	num := 0
	for _, vmc := range vms {
		if vmc.Role == objects.RoleEntry && vmc.AvailabilityZone == zone && vmc.State == objects.VMLive {
			num++
		}
	}
	return num
}
