package zone

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cumintally/cumintally/internal/peer"
)

const (
	// agreeFor is the time for which a peer's view counts after it was last heard from the peer itself. It
	// must stay below the time in which all daemons notice a cut ([Limits] Settle), since a new owner
	// waits for no longer.
	agreeFor = 1500 * time.Millisecond
	// agreeLimit is the number of daemons up to which views are compared: in such zones each pair exchanges
	// pings every period. Pairs of a larger zone ping each other too seldom.
	agreeLimit = 4
)

// peerView is the view that a peer sent with its last ping.
type peerView struct {
	hash uint64
	at   time.Time
}

// view returns a hash of the daemons that count as alive; the lock is held.
func (mbs *Membership) view() uint64 {
	names := make([]string, 0, len(mbs.members)+1)
	if !mbs.leaving {
		names = append(names, mbs.msh.Self().Name)
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

// Agreeing returns the daemons that lately said that they count the same daemons as alive, this one
// included. Daemons with the same view agree on the owner of a key; two that each see a third one, but
// not each other, have different views, and the third agrees with one of them at most.
func (mbs *Membership) Agreeing() []peer.Identity {
	alive := mbs.Alive()
	if len(alive) > agreeLimit {
		return alive
	}
	mbs.mu.RLock()
	defer mbs.mu.RUnlock()
	own := mbs.view()
	now := mbs.clk.Now()
	var ids []peer.Identity
	for _, ide := range alive {
		viw, ok := mbs.views[ide.Name]
		if ide.Name == mbs.msh.Self().Name || (ok && viw.hash == own && now.Sub(viw.at) <= agreeFor) {
			ids = append(ids, ide)
		}
	}
	return ids
}
