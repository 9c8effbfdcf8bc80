// Package fleet starts the daemons, the engines and the other stand-ins of one environment as separate
// processes on loopback, for tests and measurement only.
//
// It can kill, pause and restart each process on its own and, with relays in front of the processes, cut the
// connections between availability zones or addresses. It does not send load; package load does.
package fleet
