// Package retrybudget bounds how many requests a daemon sends more than once, for each service.
//
// It answers the load pattern in which a slow or failing service gets the more requests the worse it does,
// because each daemon sends again what failed. Repeats are a share of the requests of a sliding window plus a
// reserve, and each daemon holds its part of the reserve, so that the parts of all daemons add up to the bound
// for the service without a message between them.
package retrybudget
