// Package zoneorder takes orders that take an availability zone out of service or return it, and spreads
// them.
//
// An order is a conditional update of the object Zone/<name>. If the platform cannot be reached, an order
// for this daemon's own zone takes effect in the zone alone, through frames between its daemons, and is
// written to the platform once that answers; the order with the higher version wins. The package owns no
// state: the inventory holds the orders. It maintains that a zone that is out gets no new work after 3 s.
package zoneorder
