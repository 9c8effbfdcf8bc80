// Package burn counts good and bad events for the service level objectives of the document and reports the burn
// rates of their error budgets.
//
// Each daemon counts the events that it observes by service level, model, workspace, availability zone and minute,
// for the last hour. A report sums the counts of the daemons that respond and names the daemons that did not
// respond. The counts are held in memory only and are lost when the daemon stops. The package does not raise alerts.
package burn
