// Package workspace knows the customers: their bearer keys, shares, priorities and retry budgets.
//
// It keeps an index of the document in force and the balances of the budgets, and does no I/O.
package workspace
