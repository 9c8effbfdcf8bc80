package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/gossip"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objectcache"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/zone"
)

const (
	// watchersPerZone is the number of daemons of a zone that watch the platform: one may fail unnoticed
	// for a while, and the platform counts every waiting watch as a call.
	watchersPerZone = 2
	// watchDelay is the time between two checks of who watches, and between two attempts.
	watchDelay = 500 * time.Millisecond
	// topicDocument is the gossip topic of the document in force.
	topicDocument = objects.KindDocument
	// topicVMs is the gossip topic of the platform's list of VMs.
	topicVMs = "VMs"
	// listInterval is the time between two reads of the list of VMs by the one daemon that reads it for
	// its zone: a VM that is leaving must get no new work after 3 s.
	listInterval = time.Second
	// ownListInterval is the time between two reads by every other daemon. The list has no versions, so
	// that a change of readers can hide an entry until then.
	ownListInterval = 30 * time.Second
)

// follower keeps this daemon's copies of the platform's objects current, from the platform if it is one
// of the zone's watchers, else from its peers.
type follower struct {
	pst objects.Store
	mbs *zone.Membership
	gsp *gossip.Gossip
	sto *generation.Store
	inv *inventory.Inventory
	clk clockwork.Clock
	log *zap.Logger

	caches map[string]*objectcache.Cache
}

func newGossip(msh *peer.Mesh, mbs *zone.Membership, clk clockwork.Clock, log *zap.Logger) *gossip.Gossip {
	return gossip.New(msh, mbs.Alive, clk, log)
}

func newFollower(
	pst objects.Store,
	mbs *zone.Membership,
	gsp *gossip.Gossip,
	sto *generation.Store,
	inv *inventory.Inventory,
	clk clockwork.Clock,
	log *zap.Logger,
) *follower {
	fol := &follower{
		pst: pst,
		mbs: mbs,
		gsp: gsp,
		sto: sto,
		inv: inv,
		clk: clk,
		log: log.Named("follow"),
		caches: map[string]*objectcache.Cache{
			objects.KindAllocation: objectcache.New(inv.TakeAllocation),
			objects.KindZone:       objectcache.New(inv.TakeZone),
			topicVMs:               objectcache.New(inv.TakeVM),
		},
	}
	for kind, cch := range fol.caches {
		gsp.Add(gossip.Topic{
			Name:     kind,
			Position: cch.Position,
			Since:    cch.Since,
			Take:     cch.Take,
		})
	}
	gsp.Add(gossip.Topic{
		Name:     topicDocument,
		Position: sto.Position,
		Since:    sto.Since,
		Take:     sto.Take,
	})
	return fol
}

// follow keeps the objects of a kind current until ctx ends.
func (fol *follower) follow(ctx context.Context, kind string) {
	for ctx.Err() == nil {
		// Before the first list every daemon reads the platform once, so that it knows the highest
		// generation even when its peers have just started too.
		if kind != topicDocument || fol.sto.Settled() {
			if fol.place(kind) >= watchersPerZone {
				fol.wait(ctx)
				continue
			}
		}
		fol.watch(ctx, kind)
	}
}

// watch reads a kind from the platform for as long as this daemon is one of its watchers.
func (fol *follower) watch(ctx context.Context, kind string) {
	objs, rev, err := fol.pst.List(ctx, kind)
	for err == nil {
		err = fol.absorb(ctx, kind, objs)
		if err != nil || ctx.Err() != nil || fol.place(kind) >= watchersPerZone {
			break
		}
		objs, rev, err = fol.pst.Watch(ctx, kind, rev)
	}
	if err != nil {
		fol.log.Debug("cannot follow the platform", zap.String("kind", kind), zap.Error(err))
		fol.wait(ctx)
	}
}

func (fol *follower) absorb(ctx context.Context, kind string, objs []objects.Object) error {
	if kind == topicDocument {
		before := fol.sto.Position()
		for _, obj := range objs {
			if err := fol.sto.TakeObject(ctx, obj); err != nil {
				return err
			}
		}
		fol.sto.Settle()
		if fol.sto.Position() > before {
			fol.gsp.Announce(ctx, kind)
		}
		return nil
	}
	if fol.caches[kind].Absorb(ctx, objs) {
		fol.gsp.Announce(ctx, kind)
	}
	return nil
}

// settle waits until the highest generation known in the zone is in force: the platform's, or the
// highest of all peers while the platform is out.
func (fol *follower) settle(ctx context.Context) {
	for ctx.Err() == nil && !fol.sto.Settled() {
		fol.wait(ctx)
		fol.settleFromPeers(ctx)
	}
}

func (fol *follower) settleFromPeers(ctx context.Context) {
	self := fol.mbs.Self().Name
	heard := 0
	for _, ide := range fol.mbs.Alive() {
		if ide.Name == self {
			continue
		}
		if err := fol.gsp.Pull(ctx, ide.Address); err != nil {
			return
		}
		heard++
	}
	if heard > 0 && fol.sto.Position() > 0 {
		fol.sto.Settle()
	}
}

// followVMs keeps the list of VMs current until ctx ends.
func (fol *follower) followVMs(ctx context.Context) {
	var read time.Time
	for ctx.Err() == nil {
		now := fol.clk.Now()
		if read.IsZero() || fol.place(topicVMs) == 0 || now.Sub(read) > ownListInterval {
			if fol.readVMs(ctx) {
				read = now
			}
		}
		select {
		case <-ctx.Done():
		case <-fol.clk.After(listInterval):
		}
	}
}

func (fol *follower) readVMs(ctx context.Context) bool {
	vms, err := fol.pst.VMs(ctx)
	if err != nil {
		fol.log.Debug("cannot read the list of VMs", zap.Error(err))
		return false
	}
	list := map[string][]byte{}
	for _, vmc := range vms {
		val, err := json.Marshal(vmc)
		if err != nil {
			return false
		}
		list[vmc.Name] = val
	}
	if fol.caches[topicVMs].Replace(ctx, list) {
		fol.gsp.Announce(ctx, topicVMs)
	}
	return true
}

// place returns this daemon's place among those of the zone for following a kind, by rendezvous hashing.
func (fol *follower) place(kind string) int {
	self := fol.mbs.Self().Name
	own := xxhash.Sum64String(self + "\x00follow " + kind)
	before := 0
	for _, ide := range fol.mbs.Alive() {
		if ide.Name != self && xxhash.Sum64String(ide.Name+"\x00follow "+kind) > own {
			before++
		}
	}
	return before
}

func (fol *follower) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-fol.clk.After(watchDelay):
	}
}
