// Package config tests the distribution of configuration generations under failures. Daemons and the platform
// stand-in run as separate processes.
package config
