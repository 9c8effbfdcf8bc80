package stream

import (
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/backend"
)

// ErrGap means that a frame is missing; the stream must be resumed at Next.
const ErrGap = errors.ConstError("stream: missing frame")

// DropCounts counts the frames that were dropped, by reason.
type DropCounts struct {
	// Foreign frames belong to another request or another attempt.
	Foreign int
	// Repeated frames precede the next expected one: they are late or duplicate.
	Repeated int
	// Early frames arrived ahead of a missing frame; the engine sends them again when the stream is resumed.
	Early int
}

// Assembler accepts the frames of one attempt in order and drops all others.
type Assembler struct {
	requestID    string
	attempt      int
	nextSequence int
	drops        DropCounts
}

// New returns an assembler that expects the sequence number next first.
func New(requestID string, attempt, next int) *Assembler {
	return &Assembler{
		requestID:    requestID,
		attempt:      attempt,
		nextSequence: next,
	}
}

// Accept reports whether frame is the next one; any other frame is dropped and counted. It fails with ErrGap if an
// earlier frame is missing.
func (asm *Assembler) Accept(frame backend.Frame) (bool, error) {
	switch {
	case frame.RequestID != asm.requestID || frame.Attempt != asm.attempt:
		asm.drops.Foreign++
		return false, nil
	case frame.Sequence < asm.nextSequence:
		asm.drops.Repeated++
		return false, nil
	case frame.Sequence > asm.nextSequence:
		asm.drops.Early++
		return false, errors.Trace(ErrGap)
	default:
		asm.nextSequence++
		return true, nil
	}
}

// Next returns the sequence number of the next expected frame.
func (asm *Assembler) Next() int {
	return asm.nextSequence
}

// Drops returns the counts of frames dropped so far.
func (asm *Assembler) Drops() DropCounts {
	return asm.drops
}
