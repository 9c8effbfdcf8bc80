package zone

import (
	"context"
	"math/bits"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/peer"
)

const (
	// period is the time between two rounds of pings.
	period = 500 * time.Millisecond
	// pingTimeout bounds a ping; a direct and an indirect one fit into two periods.
	pingTimeout = 350 * time.Millisecond
	// suspicionTime is how long a suspected member may take to refute: two periods and a margin.
	suspicionTime = 1200 * time.Millisecond
	// knownFor is the time for which a dead member still counts as known.
	knownFor = 10 * time.Minute
	// retryInterval is the time between two pings of addresses that are not alive, so that the two sides
	// of a partition find each other again.
	retryInterval = 2 * time.Second
	// maxUpdates is the number of updates that travel with one ping.
	maxUpdates = 4
	// heardWeight is the number of sendings that an update counts which came back from another daemon.
	heardWeight = 3
	// helpers is the number of members asked to ping a member that does not answer.
	helpers = 2
)

// Membership is one daemon's view of the daemons of its availability zone.
type Membership struct {
	msh   *peer.Mesh
	clk   clockwork.Clock
	log   *zap.Logger
	seeds func() []string

	mu          sync.RWMutex
	incarnation uint64
	leaving     bool
	members     map[string]member
	views       map[string]peerView
	rumors      map[string]*rumor
	order       []string
	retried     time.Time
}

// New returns a membership that finds its first peers at the addresses that seeds returns.
func New(msh *peer.Mesh, seeds func() []string, clk clockwork.Clock, log *zap.Logger) *Membership {
	mbs := &Membership{
		msh:   msh,
		clk:   clk,
		log:   log.Named("zone"),
		seeds: seeds,
		// A daemon that starts again under its name must override what was said of it before.
		incarnation: uint64(clk.Now().UnixNano()),
		members:     map[string]member{},
		views:       map[string]peerView{},
		rumors:      map[string]*rumor{},
	}
	msh.Handle(kindPing, mbs.answerPing)
	msh.Handle(kindPingFor, mbs.answerPingFor)
	return mbs
}

// Self returns this daemon's own identity.
func (mbs *Membership) Self() peer.Identity {
	return mbs.msh.Self()
}

// Run pings the peers until ctx ends.
func (mbs *Membership) Run(ctx context.Context) {
	for ctx.Err() == nil {
		mbs.bury()
		for _, mem := range mbs.targets() {
			go mbs.check(ctx, mem)
		}
		for _, adr := range mbs.strangers() {
			go func() { _ = mbs.ping(ctx, adr) }()
		}
		select {
		case <-ctx.Done():
		case <-mbs.clk.After(period):
		}
	}
}

// Leave tells the peers that this daemon takes no more work.
func (mbs *Membership) Leave(ctx context.Context) {
	mbs.mu.Lock()
	mbs.leaving = true
	mbs.mu.Unlock()
	var wgr sync.WaitGroup
	for _, ide := range mbs.Alive() {
		wgr.Go(func() { _ = mbs.ping(ctx, ide.Address) })
	}
	wgr.Wait()
}

// Alive returns the daemons of the zone that are alive and not leaving, this one included, by name.
func (mbs *Membership) Alive() []peer.Identity {
	mbs.mu.RLock()
	defer mbs.mu.RUnlock()
	ids := make([]peer.Identity, 0, len(mbs.members)+1)
	if !mbs.leaving {
		ids = append(ids, mbs.msh.Self())
	}
	for _, mem := range mbs.members {
		if mem.status <= statusSuspect {
			ids = append(ids, mem.identity)
		}
	}
	sort.Slice(ids, func(fst, snd int) bool { return ids[fst].Name < ids[snd].Name })
	return ids
}

// Known returns the number of daemons of the zone that were heard of lately, this one included. Those
// that left on purpose do not count.
func (mbs *Membership) Known() int {
	mbs.mu.RLock()
	defer mbs.mu.RUnlock()
	num := 1
	for _, mem := range mbs.members {
		if mem.status != statusLeaving {
			num++
		}
	}
	return num
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

// targets returns the members to ping in this round: each in turn, in an order that is shuffled anew
// after each pass, which bounds the time until a member is pinged.
func (mbs *Membership) targets() []member {
	mbs.mu.Lock()
	defer mbs.mu.Unlock()
	var mems []member
	for range perRound(len(mbs.members) + 1) {
		if len(mbs.order) == 0 {
			for name, mem := range mbs.members {
				if mem.status <= statusLeaving {
					mbs.order = append(mbs.order, name)
				}
			}
			rand.Shuffle(len(mbs.order), func(fst, snd int) { mbs.order[fst], mbs.order[snd] = mbs.order[snd], mbs.order[fst] })
		}
		if len(mbs.order) == 0 {
			break
		}
		if mem, ok := mbs.members[mbs.order[0]]; ok {
			mems = append(mems, mem)
		}
		mbs.order = mbs.order[1:]
	}
	return mems
}

// perRound is the number of pings a round: small zones notice a loss at once, large ones keep to their
// budget of bytes.
func perRound(daemons int) int {
	switch {
	case daemons <= 4:
		return daemons - 1
	case daemons <= 16:
		return 2
	default:
		return 1
	}
}

// strangers returns addresses of daemons that are not known to be alive, now and then.
func (mbs *Membership) strangers() []string {
	known := mbs.seeds()
	mbs.mu.Lock()
	defer mbs.mu.Unlock()
	now := mbs.clk.Now()
	if now.Sub(mbs.retried) < retryInterval && len(mbs.members) > 0 {
		return nil
	}
	mbs.retried = now
	alive := map[string]bool{
		mbs.msh.Self().Address: true,
	}
	for _, mem := range mbs.members {
		if mem.status <= statusLeaving {
			alive[mem.identity.Address] = true
		}
		known = append(known, mem.identity.Address)
	}
	var adrs []string
	for _, adr := range known {
		if !alive[adr] {
			alive[adr] = true
			adrs = append(adrs, adr)
		}
	}
	rand.Shuffle(len(adrs), func(fst, snd int) { adrs[fst], adrs[snd] = adrs[snd], adrs[fst] })
	return adrs[:min(len(adrs), 3)]
}

// check pings a member, and asks others to ping it, before it suspects it.
func (mbs *Membership) check(ctx context.Context, mem member) {
	if mbs.ping(ctx, mem.identity.Address) == nil || mbs.pingThroughOthers(ctx, mem) || ctx.Err() != nil {
		return
	}
	mbs.mu.Lock()
	defer mbs.mu.Unlock()
	mbs.learn(update{
		Identity:    mem.identity,
		Incarnation: mem.incarnation,
		Status:      statusSuspect,
	})
}

// bury declares members dead that did not refute a suspicion in time, and forgets those long dead.
func (mbs *Membership) bury() {
	mbs.mu.Lock()
	defer mbs.mu.Unlock()
	now := mbs.clk.Now()
	for name, mem := range mbs.members {
		age := now.Sub(mem.since)
		switch {
		case mem.status == statusSuspect && age > suspicionTime:
			mbs.learn(update{
				Identity:    mem.identity,
				Incarnation: mem.incarnation,
				Status:      statusDead,
			})
		case mem.status >= statusLeaving && age > knownFor:
			delete(mbs.members, name)
			delete(mbs.views, name)
		}
	}
}

// learn takes an update and passes it on if it is news; the lock is held.
func (mbs *Membership) learn(upd update) {
	self := mbs.msh.Self()
	if upd.Identity.AvailabilityZone != self.AvailabilityZone {
		return
	}
	if upd.Identity.Name == self.Name {
		mbs.refute(upd)
		return
	}
	mem, ok := mbs.members[upd.Identity.Name]
	if ok && !upd.overrides(mem) {
		mbs.heardAgain(upd, mem)
		return
	}
	if !ok || mem.status != upd.Status {
		mbs.log.Debug("a daemon changed", zap.String("daemon", upd.Identity.Name), zap.Uint8("status", uint8(upd.Status)))
	}
	mbs.members[upd.Identity.Name] = member{
		identity:    upd.Identity,
		incarnation: upd.Incarnation,
		status:      upd.Status,
		since:       mbs.clk.Now(),
	}
	mbs.rumors[upd.Identity.Name] = &rumor{
		update: upd,
	}
}

// heardAgain passes an update on less often for each time that it comes back, since others know it.
func (mbs *Membership) heardAgain(upd update, mem member) {
	rum, ok := mbs.rumors[upd.Identity.Name]
	if ok && upd.Incarnation == mem.incarnation && upd.Status == mem.status {
		rum.sent += heardWeight
	}
}

// refute answers news of this daemon that says less of it than that it is alive.
func (mbs *Membership) refute(upd update) {
	if upd.Status == statusAlive || upd.Incarnation < mbs.incarnation {
		return
	}
	mbs.incarnation = upd.Incarnation + 1
	mbs.rumors[upd.Identity.Name] = &rumor{
		update: mbs.own(),
	}
}

// own returns what this daemon says of itself; the lock is held.
func (mbs *Membership) own() update {
	upd := update{
		Identity:    mbs.msh.Self(),
		Incarnation: mbs.incarnation,
	}
	if mbs.leaving {
		upd.Status = statusLeaving
	}
	return upd
}

// news returns the updates that were passed on least often; each is dropped once it has been sent often
// enough to reach every daemon. The lock is held.
func (mbs *Membership) news() []update {
	rums := make([]*rumor, 0, len(mbs.rumors))
	for _, rum := range mbs.rumors {
		rums = append(rums, rum)
	}
	sort.Slice(rums, func(fst, snd int) bool { return rums[fst].sent < rums[snd].sent })
	limit := 3 * bits.Len(uint(len(mbs.members)+1))
	var upds []update
	for _, rum := range rums[:min(maxUpdates, len(rums))] {
		if rum.sent >= limit {
			delete(mbs.rumors, rum.update.Identity.Name)
			continue
		}
		upds = append(upds, rum.update)
		rum.sent++
	}
	return upds
}
