// Package placement chooses the backend server for a request among those that may get it now.
//
// A backend server may get work while it is registered, is not leaving, its zone is in service, and this
// daemon's own requests do not fail there; a group of engines while its head is open and every member is
// registered with the group's epoch. Among these the router's score decides. It owns the count of this
// daemon's requests in progress at each backend server, and does no I/O.
package placement
