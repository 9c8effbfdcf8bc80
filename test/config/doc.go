// Package config holds the failure tests of configuration: daemons and a platform as separate processes.
package config
