// Package relay is the HTTP reverse proxy between callers and backend servers. It forwards requests and responses
// without changing their content.
//
// For each request it finds the route and the workspace, reads the whole body, for which requestbody bounds memory and time, chooses a
// backend server, sends the request and forwards the response. A request that was certainly not run may be retried at another backend server;
// one that may have run is retried only if its route allows that. A stream that breaks off resumes at another
// backend server after its last whole event. A request whose response stalls is sent to another
// backend server, too, and the response is given up once the other one has begun. Each request gets exactly one final response; 429 and 503 are sent only
// for requests that no backend server has run. The package tracks the requests in progress. It does not decide where
// a request runs: placement does.
package relay
