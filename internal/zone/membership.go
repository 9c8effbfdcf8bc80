package zone

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/peer"
)

const (
	// kindPing is the kind of the call by which daemons find each other and show that they live.
	kindPing = "Ping"
	// pingInterval is the time between two pings of a peer.
	pingInterval = 500 * time.Millisecond
	// aliveFor is the time for which a peer that answered counts as alive: three pings and a margin.
	aliveFor = 1800 * time.Millisecond
	// knownFor is the time for which a silent peer still counts as known.
	knownFor = 10 * time.Minute
)

// Membership is one daemon's view of the daemons of its availability zone.
type Membership struct {
	msh   *peer.Mesh
	clk   clockwork.Clock
	log   *zap.Logger
	seeds func() []string

	mu      sync.RWMutex
	leaving bool
	members map[string]member
}

type member struct {
	identity  peer.Identity
	leaving   bool
	lastHeard time.Time
}

type ping struct {
	Identity peer.Identity
	Leaving  bool
	Members  []peer.Identity
}

// New returns a membership that finds its first peers at the addresses that seeds returns.
func New(msh *peer.Mesh, seeds func() []string, clk clockwork.Clock, log *zap.Logger) *Membership {
	mbs := &Membership{
		msh:     msh,
		clk:     clk,
		log:     log.Named("zone"),
		seeds:   seeds,
		members: map[string]member{},
	}
	msh.Handle(kindPing, mbs.answer)
	return mbs
}

// Self returns this daemon's own identity.
func (mbs *Membership) Self() peer.Identity {
	return mbs.msh.Self()
}

// Run pings the peers until ctx ends.
func (mbs *Membership) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, adr := range mbs.targets() {
			go mbs.ping(ctx, adr)
		}
		select {
		case <-ctx.Done():
		case <-mbs.clk.After(pingInterval):
		}
	}
}

// Leave tells the peers that this daemon takes no more work.
func (mbs *Membership) Leave(ctx context.Context) {
	mbs.mu.Lock()
	mbs.leaving = true
	mbs.mu.Unlock()
	for _, adr := range mbs.targets() {
		mbs.ping(ctx, adr)
	}
}

// Alive returns the daemons of the zone that are alive and not leaving, this one included, by name.
func (mbs *Membership) Alive() []peer.Identity {
	mbs.mu.RLock()
	defer mbs.mu.RUnlock()
	now := mbs.clk.Now()
	var ids []peer.Identity
	if !mbs.leaving {
		ids = append(ids, mbs.msh.Self())
	}
	for _, mem := range mbs.members {
		if !mem.leaving && now.Sub(mem.lastHeard) <= aliveFor {
			ids = append(ids, mem.identity)
		}
	}
	sort.Slice(ids, func(fst, snd int) bool { return ids[fst].Name < ids[snd].Name })
	return ids
}

// Known returns the number of daemons of the zone that were heard of lately, this one included.
func (mbs *Membership) Known() int {
	mbs.mu.RLock()
	defer mbs.mu.RUnlock()
	return len(mbs.members) + 1
}

// Owner returns the daemon that owns a key by rendezvous hashing over the daemons alive.
func (mbs *Membership) Owner(key string) peer.Identity {
	var best peer.Identity
	var most uint64
	for _, ide := range mbs.Alive() {
		if sum := xxhash.Sum64String(ide.Name + "\x00" + key); best.Name == "" || sum > most {
			best = ide
			most = sum
		}
	}
	return best
}

func (mbs *Membership) targets() []string {
	self := mbs.msh.Self()
	adrs := map[string]bool{}
	for _, adr := range mbs.seeds() {
		adrs[adr] = true
	}
	mbs.mu.Lock()
	now := mbs.clk.Now()
	for name, mem := range mbs.members {
		if now.Sub(mem.lastHeard) > knownFor {
			delete(mbs.members, name)
			continue
		}
		adrs[mem.identity.Address] = true
	}
	mbs.mu.Unlock()
	delete(adrs, self.Address)
	list := make([]string, 0, len(adrs))
	for adr := range adrs {
		list = append(list, adr)
	}
	return list
}

func (mbs *Membership) ping(ctx context.Context, adr string) {
	ctx, cancel := context.WithTimeout(ctx, pingInterval)
	defer cancel()
	var ans ping
	if err := mbs.msh.Call(ctx, adr, kindPing, mbs.own(), &ans); err != nil {
		return
	}
	mbs.hear(ans)
}

func (mbs *Membership) own() ping {
	mbs.mu.RLock()
	defer mbs.mu.RUnlock()
	png := ping{
		Identity: mbs.msh.Self(),
		Leaving:  mbs.leaving,
	}
	for _, mem := range mbs.members {
		png.Members = append(png.Members, mem.identity)
	}
	return png
}

func (mbs *Membership) answer(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var png ping
	if err := peer.Decode(body, &png); err != nil {
		return nil, err
	}
	mbs.hear(png)
	return mbs.own(), nil
}

func (mbs *Membership) hear(png ping) {
	self := mbs.msh.Self()
	mbs.mu.Lock()
	defer mbs.mu.Unlock()
	now := mbs.clk.Now()
	if png.Identity.AvailabilityZone == self.AvailabilityZone && png.Identity.Name != self.Name {
		mbs.members[png.Identity.Name] = member{
			identity:  png.Identity,
			leaving:   png.Leaving,
			lastHeard: now,
		}
	}
	for _, ide := range png.Members {
		if _, ok := mbs.members[ide.Name]; ok || ide.Name == self.Name || ide.AvailabilityZone != self.AvailabilityZone {
			continue
		}
		// A peer heard of by others is pinged, but counts as alive only once it has answered.
		mbs.members[ide.Name] = member{
			identity:  ide,
			lastHeard: now.Add(-aliveFor - time.Millisecond),
		}
	}
}
