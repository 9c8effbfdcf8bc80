// Package relay is the HTTP reverse proxy between callers and backend servers. It forwards requests and responses
// without changing their content.
//
// For each request it finds the route and the workspace, reads the whole body, chooses a backend server, sends the
// request and forwards the response. A request that was certainly not run may be retried at another backend server;
// one that may have run is retried only if its route allows that. A stream that breaks off resumes at another
// backend server after its last whole event. A response of which nothing arrives is given up only for a send to another
// backend server that is certain to follow. Each request gets exactly one final response; 429 and 503 are sent only
// for requests that no backend server has run. The package tracks the requests in progress. It does not decide where
// a request runs: placement does.
package relay
