// Package groups_test proves, on separate processes, that groups are whole, that no VM is in two of them,
// and how long a group is down after a fault.
package groups_test
