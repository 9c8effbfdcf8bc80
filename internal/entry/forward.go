package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/dispatch"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/settings"
)

const (
	// kindForward is the kind of the call that runs a request in another availability zone.
	kindForward = "Forward"
	// kindAttach is the kind of the call that acts on a request in progress at another daemon.
	kindAttach = "Attach"
	// acceptTimeout is the time in which a daemon must say that it has a request; a paused one does not.
	acceptTimeout = 500 * time.Millisecond
	// frameMargin is kept free in a frame beside the texts of a forwarded request.
	frameMargin = 64 << 10
)

// forwardedRequest carries the time left instead of the deadline, since daemons' clocks differ.
type forwardedRequest struct {
	Request dispatch.Request
	Left    time.Duration
}

// otherZones returns the daemons of other zones that are in service, in random order.
func otherZones(set *settings.Settings, inv *inventory.Inventory) func() []string {
	return func() []string {
		var adrs []string
		vms := inv.VMs()
		for _, vmc := range vms {
			if vmc.Role == objects.RoleEntry && vmc.AvailabilityZone != set.Entry.AvailabilityZone && !inv.Zone(vmc.AvailabilityZone).Out {
				adrs = append(adrs, vmc.Address)
			}
		}
		rand.Shuffle(len(adrs), func(fst, snd int) { adrs[fst], adrs[snd] = adrs[snd], adrs[fst] })
		return adrs
	}
}

func forward(msh *peer.Mesh) func(context.Context, string, dispatch.Request, func(dispatch.Event) error) error {
	return func(ctx context.Context, adr string, req dispatch.Request, emit func(dispatch.Event) error) error {
		if len(req.Prompt)+len(req.Continue) > peer.MaxFrameSize-frameMargin {
			return errors.Annotate(dispatch.ErrUnreachable, "the request does not fit into a frame")
		}
		fwd := forwardedRequest{
			Request: req,
			Left:    time.Until(req.Deadline),
		}
		return follow(ctx, msh, adr, kindForward, fwd, emit)
	}
}

func attach(msh *peer.Mesh) func(context.Context, string, dispatch.Attachment, func(dispatch.Event) error) error {
	return func(ctx context.Context, adr string, att dispatch.Attachment, emit func(dispatch.Event) error) error {
		return follow(ctx, msh, adr, kindAttach, att, emit)
	}
}

// follow makes a call that another daemon answers with replies of the dispatcher.
func follow(ctx context.Context, msh *peer.Mesh, adr, kind string, body any, emit func(dispatch.Event) error) error {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	accept := time.AfterFunc(acceptTimeout, cancel)
	defer accept.Stop()
	err := msh.Stream(call, adr, kind, body, func(data []byte) error {
		accept.Stop()
		var rep dispatch.Reply
		if err := peer.Decode(data, &rep); err != nil {
			return err
		}
		switch {
		case rep.Refusal != nil:
			return rep.Refusal
		case rep.Unknown:
			return errors.Trace(dispatch.ErrUnknownRun)
		case rep.Event != nil:
			return emit(*rep.Event)
		default:
			return nil
		}
	})
	switch {
	case errors.Is(err, peer.ErrUnreachable):
		return errors.Annotate(dispatch.ErrUnreachable, err.Error())
	case errors.Is(err, peer.ErrBroken), errors.Is(err, peer.ErrOverflow), errors.Is(err, peer.ErrRemote), errors.Is(err, peer.ErrRejected):
		return errors.Annotate(dispatch.ErrLost, err.Error())
	default:
		return errors.Trace(err)
	}
}

// serveForwarded answers the calls of other daemons about requests.
func serveForwarded(msh *peer.Mesh, dsp *dispatch.Dispatcher, clk clockwork.Clock) {
	msh.HandleStream(kindForward, func(ctx context.Context, _ peer.Identity, body []byte, send func(any) error) error {
		var fwd forwardedRequest
		if err := peer.Decode(body, &fwd); err != nil {
			return err
		}
		fwd.Request.Deadline = clk.Now().Add(fwd.Left)
		if err := send(dispatch.Reply{}); err != nil {
			return err
		}
		return sendEnd(send, dsp.GenerateLocal(ctx, fwd.Request, emitTo(send)))
	})
	msh.HandleStream(kindAttach, func(ctx context.Context, _ peer.Identity, body []byte, send func(any) error) error {
		var att dispatch.Attachment
		if err := peer.Decode(body, &att); err != nil {
			return err
		}
		accept := func() error { return send(dispatch.Reply{}) }
		return sendEnd(send, dsp.Attach(ctx, att, accept, emitTo(send)))
	})
}

func emitTo(send func(any) error) func(dispatch.Event) error {
	return func(evt dispatch.Event) error {
		return send(dispatch.Reply{
			Event: &evt,
		})
	}
}

// sendEnd answers with the error by which a request ended.
func sendEnd(send func(any) error, err error) error {
	var ref *refusal.Refusal
	switch {
	case errors.As(err, &ref):
		return send(dispatch.Reply{
			Refusal: ref,
		})
	case errors.Is(err, dispatch.ErrUnknownRun):
		return send(dispatch.Reply{
			Unknown: true,
		})
	default:
		return err
	}
}
