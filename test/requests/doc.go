// Package requests holds the failure tests of requests: daemons, engines and a platform as separate processes.
package requests
