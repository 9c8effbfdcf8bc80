// Package peer provides remote calls between daemons as CBOR frames over WebSocket connections.
//
// Each side of a connection proves that it knows the shared key before the other side accepts a frame: it sends
// an HMAC, keyed with the shared key, over the nonces of both sides and its own identity. A frame that arrives
// before the handshake is complete closes the connection and has no other effect. The package owns the
// connections and the calls in flight on them. When a peer fails, the calls to it end with ErrUnreachable or
// ErrBroken, and the next call opens a new connection. The package does not retry calls and does not encrypt the
// connections.
package peer
