package entry

import (
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/platform"
	"github.com/cumintally/cumintally/internal/servicecall"
	"github.com/cumintally/cumintally/internal/settings"
)

func newServiceCaller(set *settings.Settings, inv *inventory.Inventory, sto *generation.Store, log *zap.Logger) *servicecall.Caller {
	vms := func() []platform.VM {
		all, _ := inv.VMs()
		return all
	}
	return servicecall.New(set.Entry.AvailabilityZone, vms, documentInForce(sto), log)
}
