// Package outlier ejects backend servers by the outcomes of this daemon's own requests (outlier ejection).
//
// A backend server may fail some or all of its requests while its registration and its health check are good. Such a
// server responds fast, so that load balancing sends it ever more requests. A server with several failures in a row, or
// a high share of failures, is ejected for a time that doubles each time it fails again after its return. The package
// also records how long a server has asked to receive no requests. It does no I/O and makes no health checks.
package outlier
