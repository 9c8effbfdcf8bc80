package booking

import "github.com/juju/errors"

const (
	// ErrInProgress says that another request holds the key and has written no result.
	ErrInProgress = errors.ConstError("booking: key reserved without result")
	// ErrMismatch says that the key was used for a call with other content.
	ErrMismatch = errors.ConstError("booking: key used with other content")
	// ErrExpired says that the key was used and that its result is no longer kept.
	ErrExpired = errors.ConstError("booking: key expired")
	// ErrFull says that the key's bucket has no room for a new key.
	ErrFull = errors.ConstError("booking: bucket full")
	// ErrUnavailable says that the platform did not confirm the reservation, so the caller must not send the call.
	ErrUnavailable = errors.ConstError("booking: platform unavailable")
)
