package objects

import "github.com/juju/errors"

const (
	// ErrConflict says that the object's version is not the expected one; nothing was written.
	ErrConflict = errors.ConstError("objects: version conflict")
	// ErrNotFound says that the object does not exist.
	ErrNotFound = errors.ConstError("objects: object not found")
	// ErrUnavailable says that the platform did not take the call; nothing was written.
	ErrUnavailable = errors.ConstError("objects: unavailable")
	// ErrUnknownOutcome says that a write may or may not have taken effect.
	ErrUnknownOutcome = errors.ConstError("objects: outcome of the write is unknown")
	// ErrTooLarge says that a value exceeds MaxValueSize.
	ErrTooLarge = errors.ConstError("objects: value too large")
	// ErrHistoryGone says that the store no longer holds the changes that a watch asks for.
	ErrHistoryGone = errors.ConstError("objects: history is gone")
)
