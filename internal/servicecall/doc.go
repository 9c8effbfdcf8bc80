// Package servicecall runs calls of plain services.
//
// The package owns the calls in progress. It maintains the invariants that a call which may not be
// repeated runs at most once and that a rejection which says "not run" is true.
//
// A call that may not be repeated goes out over a connection of its own, made for it and used once. A
// gate in front of the connection opens once, at the first byte, if the deadline, the caller and the
// state of the backend server still allow the call at that moment. An error with the gate still shut
// means that no byte was sent, so another backend server may be tried; after the gate has opened the
// call is never sent again. Without a connection to reuse, net/http has nothing to repeat, and without
// http.Client no redirect is followed.
//
// A call whose caller goes away before the gate opens is not sent. After that it runs to its end if it
// may not be repeated, since a closed connection would not say whether it ran, and its result is stored
// under its key. A repeatable call is cancelled.
//
// With an Idempotency-Key the key is reserved before the call is sent. A repeated key gets the stored
// response, whatever its status; 422 if the call differs; 409 with outcome Unknown while there is no
// result. Calls that the document lets be repeated need no record.
package servicecall
