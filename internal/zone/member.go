package zone

import (
	"time"

	"github.com/cumintally/cumintally/internal/peer"
)

// status orders what can be said of a member at the same incarnation: a later one overrides an earlier one.
type status uint8

const (
	statusAlive status = iota
	statusSuspect
	statusLeaving
	statusDead
)

// member is what this daemon knows of a peer.
type member struct {
	identity    peer.Identity
	incarnation uint64
	status      status
	// since is when the status was learnt.
	since time.Time
}

// update is one piece of news of a member, as it travels with pings.
type update struct {
	_ struct{} `cbor:",toarray"`

	Identity    peer.Identity
	Incarnation uint64
	Status      status
}

// overrides reports whether an update takes the place of what is known.
func (upd update) overrides(mem member) bool {
	if upd.Incarnation != mem.incarnation {
		return upd.Incarnation > mem.incarnation
	}
	return upd.Status > mem.status
}

// rumor is an update that is still passed on.
type rumor struct {
	update update
	sent   int
}
