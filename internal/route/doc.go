// Package route finds the route, the service and the workspace of a request in the active configuration.
//
// A table is immutable: a new version of the configuration gets a new table. The package does no I/O; it neither reads
// nor validates the configuration.
package route
