// Package clients tests daemons against clients that their operators do not control. Daemons and the stand-ins run as
// separate processes. The tests run one at a time, and the package apart from others: the memory of a process whose
// collector gets no processor time is not what it needs.
package clients
