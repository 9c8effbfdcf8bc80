// Package bookings tests calls that run at most once under failures and measures their latency and store
// requests. Daemons, plain services and the platform stand-in run as separate processes.
package bookings
