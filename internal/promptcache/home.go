package promptcache

import "github.com/cespare/xxhash/v2"

// HomeShare is the share of a prompt's prefixes that is assumed to be cached at its home server before any estimate is
// known.
const HomeShare = 0.5

// Home returns the index of the server that daemons without estimates agree on for a prefix, by rendezvous hashing over
// num servers, so that the prefix is cached at one server rather than at all of them. The function serverID returns the
// ID of each server. Home returns -1 if there is no server.
func Home(prefix uint64, num int, serverID func(idx int) string) int {
	home := -1
	var most uint64
	for idx := range num {
		sum := xxhash.Sum64String(serverID(idx)) ^ prefix
		// Mixes the bits: the order of plain XOR results would depend on their high bits only.
		sum *= 0x9e3779b97f4a7c15
		sum ^= sum >> 29
		if home < 0 || sum > most {
			home = idx
			most = sum
		}
	}
	return home
}
