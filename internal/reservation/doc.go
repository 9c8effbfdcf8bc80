// Package reservation keeps capacity of a model's groups for more urgent requests.
//
// Each request is admitted up to its own objective, so that without a reservation the requests with the longest objective
// fill the groups: a burst of the least urgent kind on groups that are nearly full makes the more urgent ones, which
// arrive at a low rate during it and after it, late or rejected. The package owns which classes of requests this daemon
// received lately for each service and model, and how many of them were sent. A request of a less urgent class is sent
// only where a request of each more urgent class would still be on time after it; a class that would starve is exempt. It
// does no I/O and exchanges no messages. It never rejects a request of the most urgent class, and none while only one
// priority is seen.
package reservation
