package upstream

import (
	"io"

	"github.com/juju/errors"
)

const (
	// maxHeadSize bounds the headers of one answer in bytes, those of interim answers before it included: some times
	// what servers of HTTP accept from callers.
	maxHeadSize = 64 << 10
	// maxSkipSize bounds the body in bytes of an answer that nobody waits for; a connection with a longer one is closed.
	maxSkipSize = 64 << 10
)

// errHeadSize says that the headers of an answer do not end.
const errHeadSize = errors.ConstError("upstream: headers too large")

// headLimit reads from a connection, while limited no more than left bytes.
type headLimit struct {
	io.Reader
	limited bool
	left    int
}

// Read fails with errHeadSize once the limit is used up.
func (lmt *headLimit) Read(buf []byte) (int, error) {
	if !lmt.limited {
		return lmt.Reader.Read(buf)
	}
	if lmt.left <= 0 {
		return 0, errHeadSize
	}
	num, err := lmt.Reader.Read(buf[:min(len(buf), lmt.left)])
	lmt.left -= num
	return num, err
}

// set limits what is read from now on.
func (lmt *headLimit) set() {
	lmt.limited = true
	lmt.left = maxHeadSize
}

// Skip reads the rest of the body; a body over maxSkipSize is an error.
func (ans *Answer) Skip() error {
	return skip(ans.Body)
}

func skip(body io.Reader) error {
	num, err := io.CopyN(io.Discard, body, maxSkipSize+1)
	switch {
	case num > maxSkipSize:
		return errors.Errorf("the body of an answer exceeds %d bytes", maxSkipSize)
	case errors.Is(err, io.EOF):
		return nil
	default:
		return errors.Trace(err)
	}
}
