package zone

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cumintally/cumintally/internal/peer"
)

const (
	// viewMaxAge is the time for which the view of a peer is valid after the peer itself sent it. It must be
	// less than the time within which all daemons detect a network partition ([Limits] Settle), because a new
	// owner waits only for that time.
	viewMaxAge = 1500 * time.Millisecond
	// viewDaemonLimit is the number of daemons up to which views are compared. In such zones each pair of
	// daemons exchanges pings in every period; in larger ones a pair does so too rarely.
	viewDaemonLimit = 4
)

// peerView is the view that a peer sent in its latest ping, and the time of its receipt.
type peerView struct {
	hash       uint64
	receivedAt time.Time
}

// viewHash returns a hash of the names of the daemons that are alive or suspected. The caller holds the lock.
func (mbs *Membership) viewHash() uint64 {
	names := make([]string, 0, len(mbs.members)+1)
	if !mbs.leaving {
		names = append(names, mbs.mesh.Self().Name)
	}
	for name, mem := range mbs.members {
		if mem.status <= statusSuspect {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	dig := xxhash.New()
	for _, name := range names {
		_, _ = dig.WriteString(name + "\x00")
	}
	return dig.Sum64()
}

// WithSameView returns the daemons, including this one, that have recently sent the same view as this daemon's.
// Daemons with the same view agree on the owner of a key. Two daemons that both reach a third one, but not
// each other, have different views, and the third one agrees with at most one of them. In a zone with more
// than viewDaemonLimit daemons, WithSameView returns all daemons that are alive.
func (mbs *Membership) WithSameView() []peer.Identity {
	alive := mbs.Alive()
	if len(alive) > viewDaemonLimit {
		return alive
	}
	mbs.mu.RLock()
	defer mbs.mu.RUnlock()
	own := mbs.viewHash()
	now := mbs.clock.Now()
	var ids []peer.Identity
	for _, ide := range alive {
		viw, ok := mbs.views[ide.Name]
		if ide.Name == mbs.mesh.Self().Name || (ok && viw.hash == own && now.Sub(viw.receivedAt) <= viewMaxAge) {
			ids = append(ids, ide)
		}
	}
	return ids
}
