// Package retrybudget bounds the number of retries that a daemon sends, for each service.
//
// Without a bound, a slow or failing service receives more requests the worse it performs, because each daemon retries
// what failed. The budget is a share of the requests in a sliding window plus a reserve. Each daemon has an equal part
// of the reserve, so that the budgets of all daemons add up to the bound for the service without messages between them.
// The package does no I/O and does not decide which requests may be retried.
package retrybudget
