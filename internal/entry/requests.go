package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/dig"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/caller"
	"github.com/cumintally/cumintally/internal/dispatch"
	"github.com/cumintally/cumintally/internal/evidence"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/platform"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/servicecall"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/workspace"
)

// callerParts are the parts that the callers' interface needs.
type callerParts struct {
	dig.In

	Settings   *settings.Settings
	Dispatcher *dispatch.Dispatcher
	Services   *servicecall.Caller
	Workspaces *workspace.Registry
	Store      *generation.Store
	Clock      clockwork.Clock
	Log        *zap.Logger
}

const kindForward = "Forward"

func newDispatcher(
	set *settings.Settings,
	bck *backend.Client,
	msh *peer.Mesh,
	inv *inventory.Inventory,
	tab *evidence.Table,
	lms *limits,
	clk clockwork.Clock,
	log *zap.Logger,
) *dispatch.Dispatcher {
	sea := dispatch.Seams{
		Generate: lms.generate,
		Resume:   lms.resume,
		Cancel:   bck.Cancel,
		Choose:   lms.choose,
		Acquire:  lms.acquire,
		Forward:  forward(set, msh, inv),
	}
	dsp := dispatch.New(set.Entry.AvailabilityZone, []byte(set.Peers.Key), sea, inv, tab, clk, log)
	msh.HandleStream(kindForward, func(ctx context.Context, _ peer.Identity, body []byte, send func(any) error) error {
		var req dispatch.Request
		if err := peer.Decode(body, &req); err != nil {
			return err
		}
		return dsp.GenerateLocal(ctx, req, func(evt dispatch.Event) error { return send(evt) })
	})
	return dsp
}

// forward runs a request at an entry VM of another zone that is in service.
func forward(set *settings.Settings, msh *peer.Mesh, inv *inventory.Inventory) func(context.Context, dispatch.Request, func(dispatch.Event) error) error {
	return func(ctx context.Context, req dispatch.Request, emit func(dispatch.Event) error) error {
		var adrs []string
		vms := inv.VMs()
		for _, vmc := range vms {
			if vmc.Role == platform.RoleEntry && vmc.AvailabilityZone != set.Entry.AvailabilityZone && !inv.Zone(vmc.AvailabilityZone).Out {
				adrs = append(adrs, vmc.Address)
			}
		}
		rand.Shuffle(len(adrs), func(fst, snd int) { adrs[fst], adrs[snd] = adrs[snd], adrs[fst] })
		for _, adr := range adrs {
			emitted := false
			err := msh.Stream(ctx, adr, kindForward, req, func(data []byte) error {
				var evt dispatch.Event
				if err := peer.Decode(data, &evt); err != nil {
					return err
				}
				emitted = true
				return emit(evt)
			})
			if err == nil {
				return nil
			}
			if emitted {
				return refusal.UnknownOutcome("the entry VM of the other zone was lost", time.Second)
			}
		}
		return refusal.Unavailable("no availability zone can take the request", time.Second)
	}
}

func newCaller(deps callerParts) *caller.Handler {
	set := deps.Settings
	cfg := caller.Config{
		MaxBodySize: set.Requests.MaxBodySize,
		Timeout:     set.Requests.Timeout,
		TokenKey:    []byte(set.Peers.Key),
	}
	return caller.New(cfg, deps.Dispatcher, deps.Services, deps.Workspaces, deps.Store, deps.Clock, deps.Log)
}
