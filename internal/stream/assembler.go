package stream

import (
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/backend"
)

// ErrGap says that a frame is missing; the stream must be resumed at Next.
const ErrGap = errors.ConstError("stream: a frame is missing")

// Drops counts frames that were not handed on.
type Drops struct {
	// Foreign frames belong to another request or another attempt.
	Foreign int
	// Repeated frames are late or duplicate.
	Repeated int
	// Early frames arrived before a frame that precedes them; resuming brings them again.
	Early int
}

// Assembler accepts the frames of one attempt in order.
type Assembler struct {
	requestID string
	attempt   int
	next      int
	drops     Drops
}

// New returns an assembler whose first frame has the sequence number next.
func New(requestID string, attempt, next int) *Assembler {
	return &Assembler{
		requestID: requestID,
		attempt:   attempt,
		next:      next,
	}
}

// Accept reports whether frm is the next frame; any other frame is dropped and counted.
func (asm *Assembler) Accept(frm backend.Frame) (bool, error) {
	switch {
	case frm.RequestID != asm.requestID || frm.Attempt != asm.attempt:
		asm.drops.Foreign++
		return false, nil
	case frm.Sequence < asm.next:
		asm.drops.Repeated++
		return false, nil
	case frm.Sequence > asm.next:
		asm.drops.Early++
		return false, errors.Trace(ErrGap)
	default:
		asm.next++
		return true, nil
	}
}

// Next returns the sequence number of the frame that is expected next.
func (asm *Assembler) Next() int {
	return asm.next
}

// Drops returns the numbers of frames dropped so far.
func (asm *Assembler) Drops() Drops {
	return asm.drops
}
