package booking

import "github.com/juju/errors"

const (
	// ErrInProgress means that another request holds the key and has not stored a result.
	ErrInProgress = errors.ConstError("booking: key reserved without result")
	// ErrMismatch means that the key was used for a call with different content.
	ErrMismatch = errors.ConstError("booking: key used with other content")
	// ErrExpired means that the key was used and that its result is no longer stored.
	ErrExpired = errors.ConstError("booking: key expired")
	// ErrFull means that the key's bucket has no space for a new key.
	ErrFull = errors.ConstError("booking: bucket full")
	// ErrUnavailable means that the platform did not confirm the reservation, so the call must not be sent.
	ErrUnavailable = errors.ConstError("booking: platform unavailable")
)
