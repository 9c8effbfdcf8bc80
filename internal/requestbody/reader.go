package requestbody

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/callermemory"
)

// Errors of bodies that were not read.
const (
	// ErrTooLarge means that the body exceeds its limit.
	ErrTooLarge = errors.ConstError("requestbody: the body is too large")
	// ErrTooSlow means that the body did not arrive in time.
	ErrTooSlow = errors.ConstError("requestbody: the body did not arrive in time")
	// ErrNoMemory means that there is no memory for the body now.
	ErrNoMemory = errors.ConstError("requestbody: too many large requests are in progress")
	// ErrMalformed means that the body ended early, or its framing is wrong.
	ErrMalformed = errors.ConstError("requestbody: the body cannot be read")
)

const (
	// firstSegment is the size in bytes of the first segment of a body without a stated length, and segmentSize that of all others.
	// The latter is the largest size class of the allocator, so that no memory is lost to rounding.
	firstSegment = 4 << 10
	segmentSize  = 32 << 10
	// maxDrained and drainTime bound the bytes that are read and discarded of a body that was not read, and the time for that. Closing
	// a connection with unread bytes resets it, and the reset can destroy the response in transit.
	maxDrained = 1 << 20
	drainTime  = time.Second
)

// Reader reads bodies, whose memory a budget counts.
type Reader struct {
	budget *callermemory.Budget
}

// New returns a reader that counts bodies in budget.
func New(budget *callermemory.Budget) *Reader {
	return &Reader{
		budget: budget,
	}
}

// Request is a request whose body is to be read.
type Request struct {
	Writer  http.ResponseWriter
	Request *http.Request
	// Caller is the one in whose share the body counts.
	Caller string
	// MaxSize is the largest size of the body in bytes.
	MaxSize int64
	// Timeout is the time within which it must arrive.
	Timeout time.Duration
}

// Body is a body that has arrived. It counts as memory until Close is called.
type Body struct {
	// Segments are its content in order. They must not be changed.
	Segments [][]byte
	// Size is the sum of the sizes of the segments.
	Size  int64
	claim *callermemory.Claim
}

// Close gives the memory of the body back.
func (bdy *Body) Close() {
	bdy.claim.Close()
}

// Bytes returns the content as one slice. It copies a body of more than one segment, and counts the copy until Close is called.
func (bdy *Body) Bytes() ([]byte, error) {
	if len(bdy.Segments) == 1 {
		return bdy.Segments[0], nil
	}
	if err := bdy.claim.Grow(bdy.Size); err != nil {
		return nil, ErrNoMemory
	}
	all := make([]byte, 0, bdy.Size)
	for _, seg := range bdy.Segments {
		all = append(all, seg...)
	}
	bdy.Segments = [][]byte{all}
	return all, nil
}

// Read reads the body of a request. A request whose body it does not return was not run and must be answered through Refuse.
func (rdr *Reader) Read(req Request) (*Body, error) {
	if req.Request.ContentLength > req.MaxSize {
		return nil, ErrTooLarge
	}
	if req.Request.ContentLength == 0 || req.Request.Body == nil || req.Request.Body == http.NoBody {
		return &Body{}, nil
	}
	ctl := http.NewResponseController(req.Writer)
	_ = ctl.SetReadDeadline(time.Now().Add(req.Timeout))
	rdg := &reading{
		request: req,
		claim: rdr.budget.Open(req.Caller, func() {
			// A deadline in the past ends a read that waits for the caller.
			_ = ctl.SetReadDeadline(time.Unix(1, 0))
		}),
		framing: framingOf(req.Request),
	}
	err := rdg.readAll()
	complete := rdg.claim.Complete()
	if err == nil && complete {
		// The deadline is reset, else it would end the response too: the server keeps reading to detect that the caller has
		// disconnected.
		_ = ctl.SetReadDeadline(time.Time{})
		return &Body{
			Segments: rdg.segments,
			Size:     rdg.size,
			claim:    rdg.claim,
		}, nil
	}
	rdg.recycle()
	rdg.claim.Close()
	if !complete {
		return nil, ErrNoMemory
	}
	return nil, err
}

// unused holds segments of bodies that were not read whole, so that dropping many of them leaves the garbage collector no work.
var unused = sync.Pool{
	New: func() any { return new([segmentSize]byte) },
}

// reading is a body that is arriving.
type reading struct {
	request  Request
	claim    *callermemory.Claim
	segments [][]byte
	size     int64
	// framing returns how many bytes were received beyond the content, and framed how many of them are counted.
	framing func(content int64) int64
	framed  int64
}

func (rdg *reading) readAll() error {
	for {
		seg, err := rdg.newSegment()
		if err != nil {
			return err
		}
		if err := rdg.fill(seg); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		rdg.claim.RecordProgress()
	}
}

// newSegment returns the next segment, of the size that the rest of the body needs at most.
func (rdg *reading) newSegment() ([]byte, error) {
	size := int64(segmentSize)
	switch length := rdg.request.Request.ContentLength; {
	case length >= 0:
		// One byte more than the rest lets the read that fills it find the end.
		size = min(size, length-rdg.size+1)
	case len(rdg.segments) == 0:
		size = firstSegment
	}
	if err := rdg.claim.Grow(size); err != nil {
		return nil, ErrNoMemory
	}
	if size == segmentSize {
		return unused.Get().(*[segmentSize]byte)[:], nil
	}
	return make([]byte, size), nil
}

// recycle gives back the segments of a body that nobody else has seen.
func (rdg *reading) recycle() {
	for _, seg := range rdg.segments {
		if cap(seg) == segmentSize {
			unused.Put((*[segmentSize]byte)(seg[:segmentSize]))
		}
	}
	rdg.segments = nil
}

// fill reads until a segment is full or the body ends, which it reports as io.EOF.
func (rdg *reading) fill(seg []byte) error {
	num := 0
	defer func() {
		if num > 0 {
			rdg.segments = append(rdg.segments, seg[:num])
		}
	}()
	for num < len(seg) {
		got, err := rdg.request.Request.Body.Read(seg[num:])
		num += got
		rdg.size += int64(got)
		if rdg.size > rdg.request.MaxSize {
			return ErrTooLarge
		}
		if more := rdg.framing(rdg.size) - rdg.framed; more > 0 {
			rdg.framed += more
			if rdg.claim.Grow(more) != nil {
				return ErrNoMemory
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return io.EOF
		case errors.Is(err, os.ErrDeadlineExceeded):
			return ErrTooSlow
		case err != nil:
			return ErrMalformed
		}
	}
	return nil
}

// Refuse calls respond, which writes the response to a request whose body was not read whole. The connection is closed after it, and
// the rest of the body discarded for a while, so that the response reaches the caller.
func Refuse(wrt http.ResponseWriter, req *http.Request, respond func()) {
	ctl := http.NewResponseController(wrt)
	wrt.Header().Set("Connection", "close")
	// The server itself reads more of the body, too, and would wait for it without end.
	_ = ctl.SetReadDeadline(time.Now().Add(drainTime))
	respond()
	if ctl.Flush() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, req.Body, maxDrained)
}

type receivedKey struct{}

// WithReceived returns a context of a connection whose received bytes received counts.
func WithReceived(ctx context.Context, received func() int64) context.Context {
	return context.WithValue(ctx, receivedKey{}, received)
}

// framingOf returns a function that tells how many bytes of a chunked body were received beyond its content, always 0 for any other
// body.
func framingOf(req *http.Request) func(content int64) int64 {
	received, ok := req.Context().Value(receivedKey{}).(func() int64)
	if !ok || req.ContentLength >= 0 {
		return func(int64) int64 { return 0 }
	}
	begin := received()
	return func(content int64) int64 { return received() - begin - content }
}
