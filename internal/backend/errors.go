package backend

import "github.com/juju/errors"

const (
	// ErrNotSent means that no byte of the request reached a backend server.
	ErrNotSent = errors.ConstError("backend: request not sent")
	// ErrBroken means that the exchange failed after bytes of the request may have reached the backend server.
	ErrBroken = errors.ConstError("backend: connection broken")
	// ErrRejected means that the backend server answered that it did not accept the request.
	ErrRejected = errors.ConstError("backend: request refused")
	// ErrStaleOrder means that the engine rejected an order because its fencing token is outdated.
	ErrStaleOrder = errors.ConstError("backend: stale fencing number")
	// ErrStreamNotFound means that the engine has no such stream.
	ErrStreamNotFound = errors.ConstError("backend: no such stream")
	// ErrInvalidRequest means that the request is invalid, so that every other engine rejects it as well.
	ErrInvalidRequest = errors.ConstError("backend: invalid request")
)
