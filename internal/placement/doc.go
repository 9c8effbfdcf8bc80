// Package placement chooses the backend server for a request among those that can take it now.
//
// A backend server is a candidate while it is registered, is not draining, its availability zone is in service, and
// this daemon's own requests do not fail there. A group of engines is a candidate while its head is open and every
// member is registered with the group's epoch. The router draws one of the candidates at random, weighted by their
// scores. The package counts this daemon's requests in flight at each backend server. It does no I/O.
package placement
