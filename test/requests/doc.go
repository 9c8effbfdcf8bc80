// Package requests tests requests and streams under failures, bad input and planned stops. Daemons, engines and the
// platform stand-in run as separate processes.
package requests
