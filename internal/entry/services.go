package entry

import (
	"time"

	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/booking"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/servicecall"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/zone"
)

// resultRetention is the time for which the result of a call with an idempotency key is stored. Callers
// are promised this time.
const resultRetention = 24 * time.Hour

func newLedger(
	set *settings.Settings,
	pst objects.Store,
	msh *peer.Mesh,
	mbs *zone.Membership,
	clk clockwork.Clock,
	met metrics.Registry,
	log *zap.Logger,
) *booking.Ledger {
	cfg := booking.Config{
		InitialBuckets: set.Bookings.Buckets,
		BatchTime:      set.Bookings.BatchTime,
		ReserveTimeout: set.Bookings.ReserveTimeout,
		MaxResultSize:  set.Bookings.MaxResultSize,
		Retention:      resultRetention,
	}
	prs := booking.Peers{
		Self:  msh.Self().Name,
		Owner: mbs.Owner,
		Call:  msh.Call,
	}
	led := booking.New(cfg, pst, prs, clk, met, log)
	msh.Handle(booking.Kind, led.HandleOperation)
	return led
}

func newServiceCaller(
	set *settings.Settings,
	inv *inventory.Inventory,
	sto *generation.Store,
	led *booking.Ledger,
	clk clockwork.Clock,
	log *zap.Logger,
) *servicecall.Client {
	// Backend servers in a zone that operators have taken out of service get no new calls.
	vms := func() []objects.VM {
		all := inv.VMs()
		var use []objects.VM
		for _, vmc := range all {
			if !inv.Zone(vmc.AvailabilityZone).Out {
				use = append(use, vmc)
			}
		}
		return use
	}
	keys := servicecall.KeyStore{
		Reserve: led.Reserve,
		Finish:  led.Finish,
		Release: led.Release,
	}
	return servicecall.New(set.Entry.AvailabilityZone, keys, vms, documentInForce(sto), clk, log)
}
