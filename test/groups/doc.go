// Package groups_test tests replica groups under failures: that no group serves without one of its members and
// that no VM is in two groups. It also measures how long a group is down after a fault. Daemons, engines and
// the platform stand-in run as separate processes.
package groups_test
