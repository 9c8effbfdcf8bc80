// Package rejections remembers recently rejected requests, so that any daemon recognizes a retry of one.
//
// During a lasting overload, callers retry while the site is as busy as before and their objective has passed. If
// retries counted as new requests, they would take the slots of requests that can still be on time. The package keeps
// the marks of requests that this daemon or its peers rejected. It does no I/O and decides nothing about admission.
package rejections
