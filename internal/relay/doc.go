// Package relay carries requests from callers to backend servers and the answers back, without changing them.
//
// One request has one life: find its route and workspace, read it whole, choose a backend server, send, and
// pass the answer on. A request that was certainly not run may be sent to another backend server; one that
// may have run only if its route lets it be repeated. A stream that breaks off goes on at another backend
// server after its last whole event. Each request gets exactly one final answer; 429 and 503 are given only to
// requests that no backend server has run. The package owns the requests in progress and decides nothing about
// where a request runs: placement does.
package relay
