// Package zoneorder executes orders that take an availability zone out of service or return it to service, and
// replicates them to the daemons.
//
// An order is a conditional update of the object Zone/<name>. If the store cannot be reached, an order for this
// daemon's own zone takes effect in that zone alone, through frames between its daemons, and is written to the
// store once the store responds again. The order with the higher version wins. The package owns no state: the
// inventory holds the orders. It maintains that a zone that is out of service gets no new work after 3 s.
package zoneorder
