// Package edgelimits derives the bounds for untrusted clients from the settings and from what the process may use, for either edge.
// It keeps no state.
package edgelimits
