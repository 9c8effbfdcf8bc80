// Package servicecall sends the calls of callers to the backend servers of plain services.
//
// The package owns the calls in flight. It maintains two invariants: a call that may not be repeated runs at
// most once, and a rejection with the outcome NotRun is sent only if the call did not run. It does not queue
// calls, limit their number or interpret their content.
//
// A call that may not be repeated is sent over a connection of its own, which is opened for it and used once.
// A gate in front of the connection opens once, at the first byte, if the deadline, the caller and the state of
// the backend server still allow the call at that moment. An error while the gate is not open means that no
// byte was sent, so another backend server may be tried. After the gate has opened, the call is never sent
// again: net/http has no reused connection on which it would repeat the call, and without http.Client no
// redirect is followed.
//
// If the caller disconnects before the gate opens, the call is not sent. If it disconnects later, a call that may
// not be repeated runs to its end, because a closed connection would not show whether the call ran, and its
// response is stored under its key. A repeatable call is cancelled.
//
// If the call has an Idempotency-Key, the key is reserved before the call is sent. A repeated key gets the stored
// response, whatever its status, or status 422 if the call differs, or status 409 with the outcome Unknown while
// there is no response. Calls that may be repeated according to the document need no record.
package servicecall
