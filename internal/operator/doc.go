// Package operator serves the HTTP interface for operators: documents, availability zones, status, reports
// and metrics.
//
// It has its own address and bearer key, separate from the interface for callers. It owns no state: it reads
// from and passes orders to the components of the daemon.
package operator
