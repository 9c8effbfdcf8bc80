// Package burn counts good and bad events against the service levels of the document and reports how
// fast their error budgets burn.
//
// Each daemon counts what it sees, by service level, model, workspace and availability zone, in minutes
// of the last hour. A report adds up the daemons that answer and names those that did not. The counts
// are memory only and end with the daemon.
package burn
