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

// inFlightRequest is a request from its admission until the end of its stream.
type inFlightRequest struct {
	queue   *queue.Queue
	ticket  *queue.Ticket
	group   group.Group
	request dispatch.Request

	mu sync.Mutex
	// sent reports whether the request was sent to the engine.
	sent bool
	// firstToken reports whether a frame of the stream has arrived.
	firstToken bool
	// ended reports whether the stream has ended at the engine, or the engine did not accept the request.
	ended   bool
	attempt int
	// nextSequence is the sequence number of the frame after the last one received.
	nextSequence int
	// released reports whether the daemon is done with the request.
	released bool
}

// release is called when the daemon is done with a request. If the stream has not ended at the engine, the
// engine still generates, so the slot stays in use until the stream ends there.
func (lms *limits) release(requestID string, ifr *inFlightRequest) {
	lms.mu.Lock()
	if lms.inFlight[requestID] == ifr {
		delete(lms.inFlight, requestID)
	}
	lms.mu.Unlock()
	ifr.mu.Lock()
	ifr.released = true
	left := ifr.sent && !ifr.ended
	ifr.mu.Unlock()
	if left {
		go lms.readRemainder(requestID, ifr)
		return
	}
	lms.releaseSlot(ifr)
}

// releaseSlot ends a request's use of its slot.
func (lms *limits) releaseSlot(ifr *inFlightRequest) {
	ifr.queue.Release(ifr.ticket, lms.clock.Now())
	if lms.latestReport(ifr.group).Cold || lms.settings.Limits.Policy == policyPerRequest {
		// A cold replica has few slots, so an unused slot is returned to the group's owner at once.
		lms.requestRenewal(ifr.group.Name)
	}
}

const (
	// resumeDelay is the time between two attempts to read the rest of a stream.
	resumeDelay = 200 * time.Millisecond
	// maxEmptyResumes is the number of consecutive attempts without a frame after which a stream counts as
	// ended: the connection of a stream that was cancelled at its engine breaks each time.
	maxEmptyResumes = 3
)

// readRemainder reads the rest of a stream whose caller has disconnected, then releases the slot.
func (lms *limits) readRemainder(requestID string, ifr *inFlightRequest) {
	defer lms.releaseSlot(ifr)
	ctx, cancel := context.WithTimeout(context.Background(), lms.settings.Requests.Timeout)
	defer cancel()
	for tries := 0; tries < maxEmptyResumes && ctx.Err() == nil; tries++ {
		ifr.mu.Lock()
		attempt, next := ifr.attempt, ifr.nextSequence
		ifr.mu.Unlock()
		str, err := lms.backend.Resume(ctx, ifr.group.Members[0].Address, requestID, attempt, next)
		if err != nil {
			return
		}
		for err == nil {
			var frm backend.Frame
			if frm, err = str.Next(); err != nil {
				break
			}
			tries = 0
			lms.recordFrame(ifr, frm)
			if frm.Finish != "" {
				str.Close()
				return
			}
		}
		str.Close()
		lms.clock.Sleep(resumeDelay)
	}
}

// generate sends a request to its engine if the request's slot is still valid at the time of sending.
func (lms *limits) generate(ctx context.Context, adr string, srq backend.StreamRequest) (*backend.Stream, error) {
	ifr := lms.lookupInFlight(srq.RequestID)
	if ifr == nil {
		return nil, errors.Annotate(queue.ErrSlotLost, "the request holds no slot")
	}
	if lms.ownedByPeer(ifr.group.Name) {
		return lms.forwardToOwner(ctx, ifr, srq)
	}
	if err := ifr.queue.MarkSent(ifr.ticket, lms.latestReport(ifr.group), lms.clock.Now()); err != nil {
		lms.metrics.expired.Inc(1)
		return nil, errors.Trace(err)
	}
	ifr.mu.Lock()
	ifr.sent = true
	ifr.attempt = srq.Attempt
	ifr.mu.Unlock()
	str, err := lms.backend.Generate(ctx, adr, srq)
	if err != nil {
		if errors.Is(err, backend.ErrNotSent) || errors.Is(err, backend.ErrRejected) || errors.Is(err, backend.ErrInvalidRequest) {
			ifr.mu.Lock()
			ifr.ended = true
			ifr.mu.Unlock()
		}
		return nil, err
	}
	str.OnFrame = func(frm backend.Frame) { lms.recordFrame(ifr, frm) }
	return str, nil
}

// isSentAs reports whether the request was sent to the engine under the given attempt number.
func (ifr *inFlightRequest) isSentAs(attempt int) bool {
	ifr.mu.Lock()
	defer ifr.mu.Unlock()
	return ifr.sent && ifr.attempt == attempt
}

// resume reopens a stream whose connection broke.
func (lms *limits) resume(ctx context.Context, adr, requestID string, attempt, from int) (*backend.Stream, error) {
	str, err := lms.backend.Resume(ctx, adr, requestID, attempt, from)
	if err != nil {
		return nil, err
	}
	// A request may be admitted to another group while its earlier stream is resumed.
	if ifr := lms.lookupInFlight(requestID); ifr != nil && ifr.isSentAs(attempt) {
		str.OnFrame = func(frm backend.Frame) { lms.recordFrame(ifr, frm) }
	}
	return str, nil
}

func (lms *limits) lookupInFlight(requestID string) *inFlightRequest {
	lms.mu.Lock()
	defer lms.mu.Unlock()
	return lms.inFlight[requestID]
}

// recordFrame updates the state of a request for a received frame. It reports the first frame to the queue as
// the first token, unless the request was released before.
func (lms *limits) recordFrame(ifr *inFlightRequest, frm backend.Frame) {
	ifr.mu.Lock()
	first := !ifr.firstToken && !ifr.released
	ifr.firstToken = true
	ifr.nextSequence = max(ifr.nextSequence, frm.Sequence+1)
	ifr.ended = ifr.ended || frm.Finish != ""
	ifr.mu.Unlock()
	if first {
		ifr.queue.RecordFirstToken(ifr.ticket, lms.clock.Now())
	}
}
