// Package retrybudget bounds the number of retries that a daemon sends, for each service.
//
// Without a bound, a slow or failing service receives more requests the worse it performs, because each daemon retries
// what failed. All daemons together may send a share of the requests plus a reserve in any window of time. Each daemon has a
// token bucket for each service. It can hold a part of what the daemon's requests in the last window and an equal part of the
// reserve allow; later requests, and time, refill the rest. The bucket of a new process is empty, so that the bound holds over
// any number of restarts without a memory of them, and over all daemons without messages between them. The package does no
// I/O and does not decide which requests may be retried.
package retrybudget
