// Package exposition serves a daemon's metrics over HTTP in the Prometheus text format. It does not collect metrics.
package exposition
