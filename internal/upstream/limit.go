package upstream

import (
	"io"

	"github.com/juju/errors"
)

const (
	// maxHeadSize limits the headers of one response in bytes, including preceding interim responses. It is several
	// times what HTTP servers usually accept from clients.
	maxHeadSize = 64 << 10
	// maxDiscardedBodySize limits the body in bytes that is read only to reuse a connection; a connection with a
	// longer one is closed.
	maxDiscardedBodySize = 64 << 10
)

// errHeadTooLarge means that the headers of a response exceed maxHeadSize.
const errHeadTooLarge = errors.ConstError("upstream: headers too large")

// headLimiter reads from a connection; while limited is set, it reads at most remaining bytes.
type headLimiter struct {
	io.Reader
	limited   bool
	remaining int
	// received is set once a byte has arrived.
	received bool
}

// Read fails with errHeadTooLarge once the limit is reached.
func (lmt *headLimiter) Read(buf []byte) (int, error) {
	if !lmt.limited {
		num, err := lmt.Reader.Read(buf)
		lmt.received = lmt.received || num > 0
		return num, err
	}
	if lmt.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	num, err := lmt.Reader.Read(buf[:min(len(buf), lmt.remaining)])
	lmt.received = lmt.received || num > 0
	lmt.remaining -= num
	return num, err
}

// start limits further reads to maxHeadSize bytes.
func (lmt *headLimiter) start() {
	lmt.limited = true
	lmt.remaining = maxHeadSize
}

// Discard reads and discards the rest of the body; a body over maxDiscardedBodySize is an error.
func (rsp *Response) Discard() error {
	return discardBody(rsp.Body)
}

func discardBody(body io.Reader) error {
	num, err := io.CopyN(io.Discard, body, maxDiscardedBodySize+1)
	switch {
	case num > maxDiscardedBodySize:
		return errors.Errorf("the body of an answer exceeds %d bytes", maxDiscardedBodySize)
	case errors.Is(err, io.EOF):
		return nil
	default:
		return errors.Trace(err)
	}
}
