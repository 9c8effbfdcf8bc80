// Package zones holds the failure tests of whole availability zones and of network partitions: daemons,
// engines, services and a platform as separate processes, whose connections are cut at run time.
package zones
