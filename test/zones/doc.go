// Package zones tests losses of whole availability zones and network partitions. Daemons, engines, services and
// the platform stand-in run as separate processes, whose connections are cut while they run.
package zones
