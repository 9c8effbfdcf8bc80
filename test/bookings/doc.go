// Package bookings holds the failure tests and the measurement of calls that run at most once: daemons,
// plain services and a platform as separate processes.
package bookings
