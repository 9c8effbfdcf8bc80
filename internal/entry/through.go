package entry

import (
	"context"
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/dispatch"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/refusal"
)

// policyThroughOwner sends each request through the daemon that owns its group. It is a baseline in
// benchmarks: only the owner counts and queues requests, and it relays their streams.
const policyThroughOwner = "ThroughOwner"

// kindThrough is the kind of the call that sends a request through the owner of its group.
const kindThrough = "Through"

// throughRequest is a request that the owner of its group dispatches for another daemon.
type throughRequest struct {
	Request dispatch.Request
	Group   string
	Stream  backend.StreamRequest
}

// ownedByPeer reports whether the requests of a group go through another daemon, the group's owner.
func (lms *limits) ownedByPeer(name string) bool {
	return lms.settings.Limits.Policy == policyThroughOwner && lms.owner(name).Name != lms.settings.Entry.Name
}

// forwardToOwner sends a request to the owner of its group and returns the stream of frames that the owner
// relays.
func (lms *limits) forwardToOwner(ctx context.Context, ifr *inFlightRequest, srq backend.StreamRequest) (*backend.Stream, error) {
	rdr, wrt := io.Pipe()
	req := throughRequest{
		Request: ifr.request,
		Group:   ifr.group.Name,
		Stream:  srq,
	}
	go func() {
		err := lms.mesh.Stream(ctx, lms.owner(ifr.group.Name).Address, kindThrough, req, func(data []byte) error {
			var frm backend.Frame
			if err := peer.Decode(data, &frm); err != nil {
				return err
			}
			text, err := json.Marshal(frm)
			if err != nil {
				return errors.Trace(err)
			}
			_, err = wrt.Write([]byte("data: " + string(text) + "\n\n"))
			return err
		})
		wrt.CloseWithError(err)
	}()
	return backend.NewStream(rdr), nil
}

// handleThrough dispatches a peer's request to a group that this daemon owns and relays the frames.
func (lms *limits) handleThrough(ctx context.Context, _ peer.Identity, body []byte, send func(any) error) error {
	var req throughRequest
	if err := peer.Decode(body, &req); err != nil {
		return err
	}
	for _, alc := range lms.inventory.Allocations(lms.settings.Entry.AvailabilityZone) {
		for _, grp := range alc.Groups {
			rep, ok := lms.reports.GroupConfirmed(grp, lms.clock.Now())
			if grp.Name != req.Group || !ok {
				continue
			}
			release, err := lms.acquireSlot(ctx, req.Request, dispatch.Candidate{
				Group:  grp,
				Report: rep,
			})
			if err != nil {
				return err
			}
			defer release()
			str, err := lms.generate(ctx, grp.Members[0].Address, req.Stream)
			if err != nil {
				return err
			}
			defer str.Close()
			return relayFrames(str, send)
		}
	}
	return refusal.Unavailable("no such group here", minRetryAfter)
}

func relayFrames(str *backend.Stream, send func(any) error) error {
	for {
		frm, err := str.Next()
		if err != nil {
			return err
		}
		if err := send(frm); err != nil {
			return err
		}
		if frm.Finish != "" {
			return nil
		}
	}
}
