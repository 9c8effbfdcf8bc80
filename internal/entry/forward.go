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
	// acceptTimeout is the time within which another daemon must accept a request. A paused daemon does not.
	acceptTimeout = 500 * time.Millisecond
	// frameMargin is the size in bytes that a frame reserves for everything but the prompt and the text to
	// continue of a forwarded request.
	frameMargin = 64 << 10
)

// forwardedRequest is a request with the time left until its deadline. The deadline itself is not used,
// since the clocks of daemons differ.
type forwardedRequest struct {
	Request dispatch.Request
	Left    time.Duration
}

// otherZoneDaemons returns a function that lists the addresses of the daemons of the other zones in
// service, in random order.
func otherZoneDaemons(set *settings.Settings, inv *inventory.Inventory) func() []string {
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
		return streamEvents(ctx, msh, adr, kindForward, fwd, emit)
	}
}

func attach(msh *peer.Mesh) func(context.Context, string, dispatch.Attachment, func(dispatch.Event) error) error {
	return func(ctx context.Context, adr string, att dispatch.Attachment, emit func(dispatch.Event) error) error {
		return streamEvents(ctx, msh, adr, kindAttach, att, emit)
	}
}

// streamEvents makes a streaming call to another daemon, which replies with messages of its dispatcher, and
// passes the events to emit.
func streamEvents(ctx context.Context, msh *peer.Mesh, adr, kind string, body any, emit func(dispatch.Event) error) error {
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
			return errors.Trace(dispatch.ErrUnknownRequest)
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
		return errors.Annotate(dispatch.ErrConnectionLost, err.Error())
	default:
		return errors.Trace(err)
	}
}

// handleForwarded registers the handlers of the calls by which other daemons forward requests and attach
// to requests in progress.
func handleForwarded(msh *peer.Mesh, dsp *dispatch.Dispatcher, clk clockwork.Clock) {
	msh.HandleStream(kindForward, func(ctx context.Context, _ peer.Identity, body []byte, send func(any) error) error {
		var fwd forwardedRequest
		if err := peer.Decode(body, &fwd); err != nil {
			return err
		}
		fwd.Request.Deadline = clk.Now().Add(fwd.Left)
		if err := send(dispatch.Reply{}); err != nil {
			return err
		}
		return sendResult(send, dsp.GenerateLocal(ctx, fwd.Request, eventSender(send)))
	})
	msh.HandleStream(kindAttach, func(ctx context.Context, _ peer.Identity, body []byte, send func(any) error) error {
		var att dispatch.Attachment
		if err := peer.Decode(body, &att); err != nil {
			return err
		}
		accept := func() error { return send(dispatch.Reply{}) }
		return sendResult(send, dsp.Attach(ctx, att, accept, eventSender(send)))
	})
}

func eventSender(send func(any) error) func(dispatch.Event) error {
	return func(evt dispatch.Event) error {
		return send(dispatch.Reply{
			Event: &evt,
		})
	}
}

// sendResult sends the result of a request: a rejection or an unknown request as a reply, any other error
// as the error of the call.
func sendResult(send func(any) error, err error) error {
	var ref *refusal.Refusal
	switch {
	case errors.As(err, &ref):
		return send(dispatch.Reply{
			Refusal: ref,
		})
	case errors.Is(err, dispatch.ErrUnknownRequest):
		return send(dispatch.Reply{
			Unknown: true,
		})
	default:
		return err
	}
}
