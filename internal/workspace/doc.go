// Package workspace holds what a daemon knows about its customers, the workspaces: bearer keys, shares, priorities and
// retry budgets.
//
// It finds the workspace of a bearer key and limits retries, which would otherwise amplify an overload or the loss
// of a replica. It keeps an index of the document in force and the tokens of the budgets, and does no I/O. It does
// not limit first sends of requests, and budgets are not shared between daemons.
package workspace
