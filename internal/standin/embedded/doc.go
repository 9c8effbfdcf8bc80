// Package embedded runs the stand-ins of a small environment inside the calling process, for a first
// look at cumintally on one machine.
package embedded
