package zone

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/peer"
)

const (
	kindPing         = "Ping"
	kindIndirectPing = "PingFor"
)

// ErrNoResponse means that a member did not answer a ping in time.
const ErrNoResponse = errors.ConstError("zone: member does not answer")

// ping is the body of both a ping and its reply: the state of the sender and updates about other members.
type ping struct {
	_ struct{} `cbor:",toarray"`

	Self    update
	Updates []update
	// Members are all members that the sender knows, for a receiver that has just started. The receiver does not
	// disseminate them further: with 59 daemons starting at once that alone took 4.6 KB/s at each.
	Members []update
	// MemberCount is the number of members that the sender knows. A sender that knows at least two fewer than
	// the receiver gets all of them in the reply.
	MemberCount int
	// ViewHash is a hash of the names of the daemons that the sender regards as alive.
	ViewHash uint64
}

func (mbs *Membership) newPing() ping {
	mbs.mu.Lock()
	defer mbs.mu.Unlock()
	return ping{
		Self:        mbs.selfUpdate(),
		Updates:     mbs.nextUpdates(),
		MemberCount: len(mbs.members),
		ViewHash:    mbs.viewHash(),
	}
}

// ping pings the daemon at adr and applies the reply.
func (mbs *Membership) ping(ctx context.Context, adr string) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var rep ping
	if err := mbs.mesh.Call(ctx, adr, kindPing, mbs.newPing(), &rep); err != nil {
		return errors.Annotate(ErrNoResponse, err.Error())
	}
	mbs.applyPing(rep)
	return nil
}

// handlePing applies a ping and replies with the state of this daemon.
func (mbs *Membership) handlePing(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var png ping
	if err := peer.Decode(body, &png); err != nil {
		return nil, err
	}
	mbs.applyPing(png)
	rep := mbs.newPing()
	if png.MemberCount+1 < rep.MemberCount {
		rep.Members = mbs.allMembers()
	}
	return rep, nil
}

// applyPing records the updates of a ping or of its reply.
func (mbs *Membership) applyPing(png ping) {
	mbs.mu.Lock()
	defer mbs.mu.Unlock()
	mem, ok := mbs.members[png.Self.Identity.Name]
	if ok && mem.incarnation == png.Self.Incarnation && mem.status > png.Self.Status {
		// The sender does not know that it is regarded as suspect, leaving or dead, for example after a pause or
		// a network partition. The queued update notifies it, so that it refutes.
		mbs.updateQueue[png.Self.Identity.Name] = &queuedUpdate{
			update: update{
				Identity:    mem.identity,
				Incarnation: mem.incarnation,
				Status:      mem.status,
			},
		}
	}
	mbs.applyUpdate(png.Self)
	mbs.views[png.Self.Identity.Name] = peerView{
		hash:       png.ViewHash,
		receivedAt: mbs.clock.Now(),
	}
	for _, upd := range png.Updates {
		mbs.applyUpdate(upd)
	}
	for _, upd := range png.Members {
		if _, ok := mbs.members[upd.Identity.Name]; ok {
			mbs.applyUpdate(upd)
			continue
		}
		mbs.applyUpdate(upd)
		delete(mbs.updateQueue, upd.Identity.Name)
	}
}

// allMembers returns updates about all known members, for a daemon that has just started.
func (mbs *Membership) allMembers() []update {
	mbs.mu.RLock()
	defer mbs.mu.RUnlock()
	upds := make([]update, 0, len(mbs.members))
	for _, mem := range mbs.members {
		upds = append(upds, update{
			Identity:    mem.identity,
			Incarnation: mem.incarnation,
			Status:      mem.status,
		})
	}
	return upds
}

// pingIndirectly asks a few members to ping one that does not answer this daemon, and reports whether one of
// them got an answer.
func (mbs *Membership) pingIndirectly(ctx context.Context, mem member) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*pingTimeout)
	defer cancel()
	var asked []peer.Identity
	ids := mbs.Alive()
	rand.Shuffle(len(ids), func(fst, snd int) { ids[fst], ids[snd] = ids[snd], ids[fst] })
	for _, ide := range ids {
		if ide.Name != mem.identity.Name && ide.Name != mbs.Self().Name && len(asked) < indirectPings {
			asked = append(asked, ide)
		}
	}
	var answered atomic.Bool
	done := make(chan struct{}, len(asked))
	for _, ide := range asked {
		go func() {
			defer func() { done <- struct{}{} }()
			if mbs.mesh.Call(ctx, ide.Address, kindIndirectPing, mem.identity.Address, nil) == nil {
				answered.Store(true)
			}
		}()
	}
	for range asked {
		<-done
	}
	return answered.Load()
}

// handlePingRequest pings another daemon on behalf of the caller.
func (mbs *Membership) handlePingRequest(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
	var adr string
	if err := peer.Decode(body, &adr); err != nil {
		return nil, err
	}
	return nil, mbs.ping(ctx, adr)
}
