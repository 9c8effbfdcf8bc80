package objects

import "github.com/juju/errors"

const (
	// ErrConflict means that the object's version is not the expected one; nothing was written.
	ErrConflict = errors.ConstError("objects: version conflict")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.ConstError("objects: object not found")
	// ErrUnavailable means that the platform did not process the call or that a read failed; nothing was written.
	ErrUnavailable = errors.ConstError("objects: unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	ErrUnknownOutcome = errors.ConstError("objects: outcome of the write is unknown")
	// ErrTooLarge means that a value exceeds MaxValueSize.
	ErrTooLarge = errors.ConstError("objects: value too large")
	// ErrHistoryGone means that the store no longer has the changes that a watch requests.
	ErrHistoryGone = errors.ConstError("objects: history is gone")
)
