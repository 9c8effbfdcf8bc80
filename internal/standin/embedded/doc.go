// Package embedded runs the stand-ins of a small environment inside the calling process, to try cumintally on one
// machine. It serves only on loopback addresses and keeps no state after it is closed.
package embedded
