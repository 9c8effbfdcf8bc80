// Package admission turns requests away that would only wait at their backend servers.
//
// It answers the load pattern of a lasting overload: engines give every request the same rate once their batch is
// full, so that each further one only makes all answers late, and callers leave requests half done and ask again.
// From the published step model and the work that all daemons have sent, the package forecasts when the first
// token would come, and turns a request away at once if that is too late to be of use. It does no I/O.
package admission
