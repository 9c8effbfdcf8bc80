// Package coldlimit limits the rate of requests to cold backend servers.
//
// When a group returns cold while traffic is at its peak, every daemon sees an idle group and would send its next
// requests there at once. Each daemon has an equal part of the rate that the backend server tolerates, so that all
// daemons together stay within the rate even while they cannot reach each other. A new process has used up its part. The
// package does no I/O and does not decide whether a backend server is cold.
package coldlimit
