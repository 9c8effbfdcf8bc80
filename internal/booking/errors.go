package booking

import "github.com/juju/errors"

const (
	// ErrInProgress means that another request holds the key and has not stored a result.
	ErrInProgress = errors.ConstError("booking: key reserved without result")
	// ErrContentMismatch means that the key was used for a call with different content.
	ErrContentMismatch = errors.ConstError("booking: key used with other content")
	// ErrExpired means that the key was used and that its result is no longer stored.
	ErrExpired = errors.ConstError("booking: key expired")
	// ErrBucketFull means that the key's bucket has no space for a new key.
	ErrBucketFull = errors.ConstError("booking: bucket full")
	// ErrUnavailable means that the platform did not confirm the reservation, so the call must not be sent.
	ErrUnavailable = errors.ConstError("booking: platform unavailable")
)
