// Package suspicion decides which backend servers a daemon avoids because daemons report that they fail, so that a few
// daemons encounter a failure and not each of them.
//
// It handles two load patterns: one group of a large site stalls while each daemon sends it a few requests a second, and
// all servers of an availability zone become unreachable from another zone. It owns the reports, the progress that ends
// them and the trials of suspected servers. Reports are about server processes, age out, and are bounded in number. It
// does no I/O, never removes more than a share of the servers of a zone on the word of one daemon, and never says that a
// server works which this daemon's own outcomes exclude.
package suspicion
