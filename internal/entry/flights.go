package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/dispatch"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/permit/queue"
)

// flight is a request between its admission and the end of its stream.
type flight struct {
	que *queue.Queue
	tkt *queue.Ticket
	grp group.Group
	req dispatch.Request

	mu       sync.Mutex
	sent     bool
	first    bool
	ended    bool
	attempt  int
	next     int
	released bool
}

// release ends a request's use of its slot. A stream that has not ended is left to its engine, so the
// slot stays in use until the stream ends there.
func (lms *limits) release(requestID string, flt *flight) {
	lms.mu.Lock()
	if lms.flights[requestID] == flt {
		delete(lms.flights, requestID)
	}
	lms.mu.Unlock()
	flt.mu.Lock()
	flt.released = true
	left := flt.sent && !flt.ended
	flt.mu.Unlock()
	if left {
		go lms.follow(requestID, flt)
		return
	}
	lms.end(flt)
}

func (lms *limits) end(flt *flight) {
	flt.que.End(flt.tkt, lms.clk.Now())
	if lms.sight(flt.grp).Cold || lms.set.Limits.Policy == policyPerRequest {
		// A cold replica has few slots, so an unused one goes back to the owner at once.
		lms.kick(flt.grp.Name)
	}
}

const (
	// followPause spaces attempts to read the rest of a stream.
	followPause = 200 * time.Millisecond
	// followTries is the number of attempts without a frame after which a stream counts as ended: the
	// connection of a stream that was cancelled at its engine breaks each time.
	followTries = 3
)

// follow reads the rest of a stream that its caller has left.
func (lms *limits) follow(requestID string, flt *flight) {
	defer lms.end(flt)
	ctx, cancel := context.WithTimeout(context.Background(), lms.set.Requests.Timeout)
	defer cancel()
	for tries := 0; tries < followTries && ctx.Err() == nil; tries++ {
		flt.mu.Lock()
		attempt, next := flt.attempt, flt.next
		flt.mu.Unlock()
		str, err := lms.bck.Resume(ctx, flt.grp.Members[0].Address, requestID, attempt, next)
		if err != nil {
			return
		}
		for err == nil {
			var frm backend.Frame
			if frm, err = str.Next(); err != nil {
				break
			}
			tries = 0
			lms.frame(flt, frm)
			if frm.Finish != "" {
				str.Close()
				return
			}
		}
		str.Close()
		lms.clk.Sleep(followPause)
	}
}

// generate sends a request if its slot is still valid at this moment.
func (lms *limits) generate(ctx context.Context, adr string, srq backend.StreamRequest) (*backend.Stream, error) {
	flt := lms.flight(srq.RequestID)
	if flt == nil {
		return nil, errors.Annotate(queue.ErrExpired, "no permit")
	}
	if lms.remote(flt.grp.Name) {
		return lms.passOn(ctx, flt, srq)
	}
	if err := flt.que.Send(flt.tkt, lms.sight(flt.grp), lms.clk.Now()); err != nil {
		lms.met.expired.Inc(1)
		return nil, errors.Trace(err)
	}
	flt.mu.Lock()
	flt.sent = true
	flt.attempt = srq.Attempt
	flt.mu.Unlock()
	str, err := lms.bck.Generate(ctx, adr, srq)
	if err != nil {
		if errors.Is(err, backend.ErrNotSent) || errors.Is(err, backend.ErrRefused) || errors.Is(err, backend.ErrInvalid) {
			flt.mu.Lock()
			flt.ended = true
			flt.mu.Unlock()
		}
		return nil, err
	}
	str.Observe = func(frm backend.Frame) { lms.frame(flt, frm) }
	return str, nil
}

// resume opens a broken stream again.
func (lms *limits) resume(ctx context.Context, adr, requestID string, attempt, from int) (*backend.Stream, error) {
	str, err := lms.bck.Resume(ctx, adr, requestID, attempt, from)
	if err != nil {
		return nil, err
	}
	if flt := lms.flight(requestID); flt != nil {
		str.Observe = func(frm backend.Frame) { lms.frame(flt, frm) }
	}
	return str, nil
}

func (lms *limits) flight(requestID string) *flight {
	lms.mu.Lock()
	defer lms.mu.Unlock()
	return lms.flights[requestID]
}

func (lms *limits) frame(flt *flight, frm backend.Frame) {
	flt.mu.Lock()
	first := !flt.first && !flt.released
	flt.first = true
	flt.next = max(flt.next, frm.Sequence+1)
	flt.ended = flt.ended || frm.Finish != ""
	flt.mu.Unlock()
	if first {
		flt.que.FirstToken(flt.tkt, lms.clk.Now())
	}
}
