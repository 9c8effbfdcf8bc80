// Package socket sets socket options of connections for which the standard library has no setting.
package socket
