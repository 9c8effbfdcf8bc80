// Package backend defines the HTTP API of model engines and provides its client.
//
// Its errors, which also apply to backend servers that are plain services, distinguish a request that never
// reached a backend server from one that may have, because a request that is not idempotent may be sent again
// only in the first case. The package keeps no state, does not retry requests and does not select a server.
package backend
