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
	// pingTimeout bounds a direct ping; an indirect one may take twice as long. Together they take about two
	// periods.
	pingTimeout = 350 * time.Millisecond
	// suspicionTimeout is the time within which a suspected member must refute: two periods and a margin.
	suspicionTimeout = 1200 * time.Millisecond
	// deadRetention is the time for which a member that is dead or has left is kept.
	deadRetention = 10 * time.Minute
	// reconnectInterval is the time between two rounds of pings to seeds and members that are not alive, by
	// which the two sides of a network partition find each other when it ends.
	reconnectInterval = 2 * time.Second
	// maxPiggybacked is the maximum number of updates piggybacked on one ping.
	maxPiggybacked = 4
	// duplicateWeight is the number of transmissions for which the receipt of an already known update counts.
	duplicateWeight = 3
	// indirectPings is the number of members that are asked to ping a member that does not answer.
	indirectPings = 2
)

// Membership is one daemon's view of the daemons of its availability zone.
type Membership struct {
	mesh  *peer.Mesh
	clock clockwork.Clock
	log   *zap.Logger
	seeds func() []string

	mu          sync.RWMutex
	incarnation uint64
	leaving     bool
	// members, views and updateQueue are keyed by name of the daemon.
	members     map[string]member
	views       map[string]peerView
	updateQueue map[string]*queuedUpdate
	// pingOrder holds the names of the members that are still to be pinged in the current pass.
	pingOrder []string
	// reconnectedAt is the time of the latest pings to addresses that are not alive.
	reconnectedAt time.Time
}

// New returns a membership that joins through the addresses that seeds returns.
func New(mesh *peer.Mesh, seeds func() []string, clock clockwork.Clock, log *zap.Logger) *Membership {
	mbs := &Membership{
		mesh:  mesh,
		clock: clock,
		log:   log.Named("zone"),
		seeds: seeds,
		// A restarted daemon must override the updates about its previous incarnation.
		incarnation: uint64(clock.Now().UnixNano()),
		members:     map[string]member{},
		views:       map[string]peerView{},
		updateQueue: map[string]*queuedUpdate{},
	}
	mesh.Handle(kindPing, mbs.handlePing)
	mesh.Handle(kindIndirectPing, mbs.handlePingRequest)
	return mbs
}

// Self returns the identity of this daemon.
func (mbs *Membership) Self() peer.Identity {
	return mbs.mesh.Self()
}

// Run pings members in each period until ctx is done.
func (mbs *Membership) Run(ctx context.Context) {
	for ctx.Err() == nil {
		mbs.expireMembers()
		for _, mem := range mbs.pingTargets() {
			go mbs.check(ctx, mem)
		}
		for _, adr := range mbs.reconnectTargets() {
			go func() { _ = mbs.ping(ctx, adr) }()
		}
		select {
		case <-ctx.Done():
		case <-mbs.clock.After(period):
		}
	}
}

// Leave marks this daemon as leaving and notifies all members, so that it is no longer assigned keys.
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

// Alive returns the daemons that are alive or suspected and not leaving, including this one, sorted by name.
func (mbs *Membership) Alive() []peer.Identity {
	mbs.mu.RLock()
	defer mbs.mu.RUnlock()
	ids := make([]peer.Identity, 0, len(mbs.members)+1)
	if !mbs.leaving {
		ids = append(ids, mbs.mesh.Self())
	}
	for _, mem := range mbs.members {
		if mem.status <= statusSuspect {
			ids = append(ids, mem.identity)
		}
	}
	sort.Slice(ids, func(fst, snd int) bool { return ids[fst].Name < ids[snd].Name })
	return ids
}

// KnownCount returns the number of daemons of the zone that are alive, suspected or recently dead, including this
// one. It does not count daemons that have left intentionally.
func (mbs *Membership) KnownCount() int {
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

// Owner returns the owner of a key by rendezvous hashing over the daemons that are alive.
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

// pingTargets returns the members to ping in this round. Members are pinged in turn, in a random order that is
// shuffled again after each pass, which bounds the time until a member is pinged.
func (mbs *Membership) pingTargets() []member {
	mbs.mu.Lock()
	defer mbs.mu.Unlock()
	var mems []member
	for range pingsPerRound(len(mbs.members) + 1) {
		if len(mbs.pingOrder) == 0 {
			for name, mem := range mbs.members {
				if mem.status <= statusLeaving {
					mbs.pingOrder = append(mbs.pingOrder, name)
				}
			}
			rand.Shuffle(len(mbs.pingOrder), func(fst, snd int) { mbs.pingOrder[fst], mbs.pingOrder[snd] = mbs.pingOrder[snd], mbs.pingOrder[fst] })
		}
		if len(mbs.pingOrder) == 0 {
			break
		}
		if mem, ok := mbs.members[mbs.pingOrder[0]]; ok {
			mems = append(mems, mem)
		}
		mbs.pingOrder = mbs.pingOrder[1:]
	}
	return mems
}

// pingsPerRound returns the number of pings in a round. In a small zone all members are pinged in each round,
// so that failures are detected quickly; in a large zone fewer pings keep the traffic within its budget.
func pingsPerRound(daemons int) int {
	switch {
	case daemons <= 4:
		return daemons - 1
	case daemons <= 16:
		return 2
	default:
		return 1
	}
}

// reconnectTargets returns up to three random addresses of seeds and members that are not alive: once per
// reconnectInterval, or in each round while no member is known.
func (mbs *Membership) reconnectTargets() []string {
	known := mbs.seeds()
	mbs.mu.Lock()
	defer mbs.mu.Unlock()
	now := mbs.clock.Now()
	if now.Sub(mbs.reconnectedAt) < reconnectInterval && len(mbs.members) > 0 {
		return nil
	}
	mbs.reconnectedAt = now
	alive := map[string]bool{
		mbs.mesh.Self().Address: true,
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

// check pings a member directly and then indirectly, and suspects it if both fail.
func (mbs *Membership) check(ctx context.Context, mem member) {
	if mbs.ping(ctx, mem.identity.Address) == nil || mbs.pingIndirectly(ctx, mem) || ctx.Err() != nil {
		return
	}
	mbs.mu.Lock()
	defer mbs.mu.Unlock()
	mbs.applyUpdate(update{
		Identity:    mem.identity,
		Incarnation: mem.incarnation,
		Status:      statusSuspect,
	})
}

// expireMembers declares members dead that have not refuted a suspicion in time, and removes members that
// have been dead, or have left, for deadRetention.
func (mbs *Membership) expireMembers() {
	mbs.mu.Lock()
	defer mbs.mu.Unlock()
	now := mbs.clock.Now()
	for name, mem := range mbs.members {
		age := now.Sub(mem.since)
		switch {
		case mem.status == statusSuspect && age > suspicionTimeout:
			mbs.applyUpdate(update{
				Identity:    mem.identity,
				Incarnation: mem.incarnation,
				Status:      statusDead,
			})
		case mem.status >= statusLeaving && age > deadRetention:
			delete(mbs.members, name)
			delete(mbs.views, name)
		}
	}
}

// applyUpdate records an update and queues it for dissemination if it overrides the known state. The caller
// holds the lock.
func (mbs *Membership) applyUpdate(upd update) {
	self := mbs.mesh.Self()
	if upd.Identity.AvailabilityZone != self.AvailabilityZone {
		return
	}
	if upd.Identity.Name == self.Name {
		mbs.refute(upd)
		return
	}
	mem, ok := mbs.members[upd.Identity.Name]
	if ok && !upd.overrides(mem) {
		mbs.countDuplicate(upd, mem)
		return
	}
	if !ok || mem.status != upd.Status {
		mbs.log.Debug("daemon status changed", zap.String("daemon", upd.Identity.Name), zap.Uint8("status", uint8(upd.Status)))
	}
	mbs.members[upd.Identity.Name] = member{
		identity:    upd.Identity,
		incarnation: upd.Incarnation,
		status:      upd.Status,
		since:       mbs.clock.Now(),
	}
	mbs.updateQueue[upd.Identity.Name] = &queuedUpdate{
		update: upd,
	}
}

// countDuplicate reduces the remaining transmissions of an update when it is received again, because other
// daemons already have it.
func (mbs *Membership) countDuplicate(upd update, mem member) {
	que, ok := mbs.updateQueue[upd.Identity.Name]
	if ok && upd.Incarnation == mem.incarnation && upd.Status == mem.status {
		que.sent += duplicateWeight
	}
}

// refute increases the incarnation of this daemon and queues its state, to override an update that gives it a
// status other than alive. The caller holds the lock.
func (mbs *Membership) refute(upd update) {
	if upd.Status == statusAlive || upd.Incarnation < mbs.incarnation {
		return
	}
	mbs.incarnation = upd.Incarnation + 1
	mbs.updateQueue[upd.Identity.Name] = &queuedUpdate{
		update: mbs.selfUpdate(),
	}
}

// selfUpdate returns the update that this daemon sends about itself. The caller holds the lock.
func (mbs *Membership) selfUpdate() update {
	upd := update{
		Identity:    mbs.mesh.Self(),
		Incarnation: mbs.incarnation,
	}
	if mbs.leaving {
		upd.Status = statusLeaving
	}
	return upd
}

// nextUpdates returns the updates that were sent least often, to be piggybacked on a ping. An update is removed
// from the queue once it has been sent often enough to reach every daemon. The caller holds the lock.
func (mbs *Membership) nextUpdates() []update {
	ques := make([]*queuedUpdate, 0, len(mbs.updateQueue))
	for _, que := range mbs.updateQueue {
		ques = append(ques, que)
	}
	sort.Slice(ques, func(fst, snd int) bool { return ques[fst].sent < ques[snd].sent })
	limit := 3 * bits.Len(uint(len(mbs.members)+1))
	var upds []update
	for _, que := range ques[:min(maxPiggybacked, len(ques))] {
		if que.sent >= limit {
			delete(mbs.updateQueue, que.update.Identity.Name)
			continue
		}
		upds = append(upds, que.update)
		que.sent++
	}
	return upds
}
