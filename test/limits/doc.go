// Package limits tests the limits over all daemons of a zone on separate processes.
package limits
