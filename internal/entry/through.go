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

// policyThroughOwner sends each request through the daemon that owns its group, as a baseline: the owner
// alone counts and queues, and relays the stream.
const policyThroughOwner = "ThroughOwner"

const kindThrough = "Through"

// through is a request that another daemon dispatches.
type through struct {
	Request dispatch.Request
	Group   string
	Stream  backend.StreamRequest
}

// remote reports whether a group's requests go through another daemon.
func (lms *limits) remote(name string) bool {
	return lms.set.Limits.Policy == policyThroughOwner && lms.owner(name).Name != lms.set.Entry.Name
}

// passOn sends a request to the owner of its group and returns the frames that come back.
func (lms *limits) passOn(ctx context.Context, flt *flight, srq backend.StreamRequest) (*backend.Stream, error) {
	rdr, wrt := io.Pipe()
	req := through{
		Request: flt.req,
		Group:   flt.grp.Name,
		Stream:  srq,
	}
	go func() {
		err := lms.msh.Stream(ctx, lms.owner(flt.grp.Name).Address, kindThrough, req, func(data []byte) error {
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

// dispatchFor runs a request of a peer on a group that this daemon owns.
func (lms *limits) dispatchFor(ctx context.Context, _ peer.Identity, body []byte, send func(any) error) error {
	var req through
	if err := peer.Decode(body, &req); err != nil {
		return err
	}
	for _, alc := range lms.inv.Allocations(lms.set.Entry.AvailabilityZone) {
		for _, grp := range alc.Groups {
			rep, ok := lms.tab.Complete(grp, lms.clk.Now())
			if grp.Name != req.Group || !ok {
				continue
			}
			release, err := lms.acquire(ctx, req.Request, dispatch.Candidate{
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
	return refusal.Unavailable("no such group here", comeBack)
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
