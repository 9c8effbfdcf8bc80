package zone

import (
	"time"

	"github.com/cumintally/cumintally/internal/peer"
)

// status is the status of a member. At the same incarnation a higher status overrides a lower one.
type status uint8

const (
	statusAlive status = iota
	statusSuspect
	statusLeaving
	statusDead
)

// member is the state of another daemon as this daemon knows it.
type member struct {
	identity    peer.Identity
	incarnation uint64
	status      status
	// since is the time at which this daemon recorded the status.
	since time.Time
}

// update is the state of a member as it is sent in pings.
type update struct {
	_ struct{} `cbor:",toarray"`

	Identity    peer.Identity
	Incarnation uint64
	Status      status
}

// overrides reports whether an update replaces the recorded state of a member.
func (upd update) overrides(mem member) bool {
	if upd.Incarnation != mem.incarnation {
		return upd.Incarnation > mem.incarnation
	}
	return upd.Status > mem.status
}

// queuedUpdate is an update that is still being disseminated, and the number of times it was sent.
type queuedUpdate struct {
	update update
	sent   int
}
