// Package route finds the route, the service and the workspace of a request in the configuration in force.
//
// A table is immutable: a new version of the configuration makes a new table. It does no I/O.
package route
