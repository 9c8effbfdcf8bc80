// Package health judges backend servers by the outcomes of this daemon's own requests.
//
// It answers the load pattern in which a backend server fails part of its requests, or all of them, while its
// registry entry and its health check are good: such a server answers fast, so that a choice by load sends it
// ever more. A server with several failures in a row, or a high share of them, is left out for a time that
// doubles with each return to failure. It does no I/O.
package health
