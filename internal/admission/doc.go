// Package admission decides which requests to reject at once during an overload (load shedding).
//
// Engines share their token rate evenly among all requests. Once the batch is full, each further request makes all
// responses late, and callers abandon requests half done and retry them. From the published step model and the load
// that all daemons have sent, the package forecasts the time to the first token and computes up to which forecast a
// request is worth sending. It also computes when a rejected caller should retry. It does no I/O and does not reject
// requests itself.
package admission
