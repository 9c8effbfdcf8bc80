// Package limits tests that the daemons of a zone together keep the limits of an engine while daemons fail. Daemons,
// engines and the platform stand-in run as separate processes.
package limits
