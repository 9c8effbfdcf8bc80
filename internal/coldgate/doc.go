// Package coldgate bounds the rate of requests to backend servers that are cold.
//
// It answers the load pattern in which a group returns cold while traffic is at its peak and every daemon,
// seeing an idle group, sends it its next requests at once. Each daemon holds an equal part of the rate that
// the backend server tolerates, so that the parts of all daemons keep the rate also while they cannot reach
// each other. It does no I/O.
package coldgate
