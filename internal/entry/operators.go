package entry

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"
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
)

// orderZone writes an operator's order to a zone by conditional update.
func orderZone(pst platform.Store, inv *inventory.Inventory) func(ctx context.Context, name string, out bool) (inventory.Zone, error) {
	return func(ctx context.Context, name string, out bool) (inventory.Zone, error) {
		zon := inv.Zone(name)
		obj, err := pst.Get(ctx, platform.KindZone, name)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return zon, errors.Trace(err)
		}
		if err == nil {
			if err := json.Unmarshal(obj.Value, &zon); err != nil {
				return zon, errors.Trace(err)
			}
		}
		next := inventory.Zone{
			Name:    name,
			Out:     out,
			Version: zon.Version + 1,
		}
		val, err := json.Marshal(next)
		if err != nil {
			return zon, errors.Trace(err)
		}
		if _, err := pst.Put(ctx, platform.KindZone, name, obj.Version, val); err != nil {
			return zon, errors.Trace(err)
		}
		inv.SetZone(next)
		return next, nil
	}
}

func newOperator(
	set *settings.Settings,
	sto *generation.Store,
	inv *inventory.Inventory,
	tab *evidence.Table,
	mbs *zone.Membership,
	rol *rollout.Rollout,
	met metrics.Registry,
	pst platform.Store,
	log *zap.Logger,
) *operator.Handler {
	return operator.New(set.Operators.Key, set.Entry.AvailabilityZone, sto, inv, tab, mbs, rol, met, orderZone(pst, inv), log)
}

func newRollout(msh *peer.Mesh, sto *generation.Store, inv *inventory.Inventory) *rollout.Rollout {
	vms := func() []platform.VM {
		all, _ := inv.VMs()
		return all
	}
	return rollout.New(msh, sto, vms)
}
