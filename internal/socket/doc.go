// Package socket sets options of connections that the standard library has no setting for.
package socket
