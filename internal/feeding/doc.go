// Package feeding decides which daemons pass changes of the store on to others, and which changes each of those still
// lacks.
//
// The holder of the site's lease watches the store in any case. It tells the hubs, and the first hub of each zone whose
// copy is current feeds the daemons of its zone. Each word carries the revisions of its sender's copies, so that a lost
// frame is made good by the next one. The age of a copy is bounded by the receiver's own clock, over any number of daemons
// between it and the store. Two daemons that feed at once only cost bytes, and none costs calls to the store: a daemon
// that is not fed for long enough asks the store itself.
package feeding
