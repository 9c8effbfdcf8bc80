package zone

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/peer"
)

const (
	kindPing    = "Ping"
	kindPingFor = "PingFor"
)

// ErrSilent says that a member did not answer a ping.
const ErrSilent = errors.ConstError("zone: member does not answer")

// ping is sent in both directions: what a daemon says of itself and news of others.
type ping struct {
	_ struct{} `cbor:",toarray"`

	Own  update
	News []update
	// All is everything that the sender knows, for a daemon that has just started. It is not passed on:
	// with 59 daemons starting at once that alone took 4.6 KB a second at each.
	All []update
	// Known is the number of members that the sender knows; one who knows fewer gets all of them.
	Known int
	// View is a hash of the daemons that the sender counts as alive.
	View uint64
}

func (mbs *Membership) newPing() ping {
	mbs.mu.Lock()
	defer mbs.mu.Unlock()
	return ping{
		Own:   mbs.own(),
		News:  mbs.news(),
		Known: len(mbs.members),
		View:  mbs.view(),
	}
}

// ping asks the daemon at adr for a sign of life.
func (mbs *Membership) ping(ctx context.Context, adr string) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var ans ping
	if err := mbs.msh.Call(ctx, adr, kindPing, mbs.newPing(), &ans); err != nil {
		return errors.Annotate(ErrSilent, err.Error())
	}
	mbs.hear(ans)
	return nil
}

func (mbs *Membership) answerPing(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var png ping
	if err := peer.Decode(body, &png); err != nil {
		return nil, err
	}
	mbs.hear(png)
	ans := mbs.newPing()
	if png.Known+1 < ans.Known {
		ans.All = mbs.all()
	}
	return ans, nil
}

func (mbs *Membership) hear(png ping) {
	mbs.mu.Lock()
	defer mbs.mu.Unlock()
	mem, ok := mbs.members[png.Own.Identity.Name]
	if ok && mem.incarnation == png.Own.Incarnation && mem.status > png.Own.Status {
		// A daemon that was paused does not know that it counts as suspect or dead; told so, it refutes.
		mbs.rumors[png.Own.Identity.Name] = &rumor{
			update: update{
				Identity:    mem.identity,
				Incarnation: mem.incarnation,
				Status:      mem.status,
			},
		}
	}
	mbs.learn(png.Own)
	mbs.views[png.Own.Identity.Name] = peerView{
		hash: png.View,
		at:   mbs.clk.Now(),
	}
	for _, upd := range png.News {
		mbs.learn(upd)
	}
	for _, upd := range png.All {
		if _, ok := mbs.members[upd.Identity.Name]; ok {
			mbs.learn(upd)
			continue
		}
		mbs.learn(upd)
		delete(mbs.rumors, upd.Identity.Name)
	}
}

// all returns everything known, for a daemon that has just started.
func (mbs *Membership) all() []update {
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

// pingThroughOthers asks a few members to ping one that does not answer this daemon.
func (mbs *Membership) pingThroughOthers(ctx context.Context, mem member) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*pingTimeout)
	defer cancel()
	var asked []peer.Identity
	ids := mbs.Alive()
	rand.Shuffle(len(ids), func(fst, snd int) { ids[fst], ids[snd] = ids[snd], ids[fst] })
	for _, ide := range ids {
		if ide.Name != mem.identity.Name && ide.Name != mbs.Self().Name && len(asked) < helpers {
			asked = append(asked, ide)
		}
	}
	var heard atomic.Bool
	done := make(chan struct{}, len(asked))
	for _, ide := range asked {
		go func() {
			defer func() { done <- struct{}{} }()
			if mbs.msh.Call(ctx, ide.Address, kindPingFor, mem.identity.Address, nil) == nil {
				heard.Store(true)
			}
		}()
	}
	for range asked {
		<-done
	}
	return heard.Load()
}

func (mbs *Membership) answerPingFor(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
	var adr string
	if err := peer.Decode(body, &adr); err != nil {
		return nil, err
	}
	return nil, mbs.ping(ctx, adr)
}
