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
	// watchersPerZone is the number of daemons of a zone that watch the platform. With two, one may fail
	// and stay undetected for a while; more would cost calls, since the platform counts every waiting watch
	// as a call.
	watchersPerZone = 2
	// watchRetryDelay is the time between two checks of which daemons watch, and between two attempts to
	// reach the platform.
	watchRetryDelay = 500 * time.Millisecond
	// topicDocument is the gossip topic of the document in force.
	topicDocument = objects.KindDocument
	// topicVMs is the gossip topic of the platform's list of VMs.
	topicVMs = "VMs"
	// vmListInterval is the time between two reads of the list of VMs by the daemon that reads it for its
	// zone. A VM that is leaving must get no new work after 3 s.
	vmListInterval = time.Second
	// backupVMListInterval is the time between two reads of the list by every other daemon. The list has no
	// versions, so when another daemon takes over the reading, this daemon may miss an entry until its own
	// read.
	backupVMListInterval = 30 * time.Second
)

// follower keeps this daemon's copies of the platform's objects current. A daemon that is one of the
// zone's watchers reads them from the platform, any other daemon from its peers.
type follower struct {
	platform   objects.Store
	membership *zone.Membership
	gossip     *gossip.Gossip
	store      *generation.Store
	inventory  *inventory.Inventory
	clock      clockwork.Clock
	logger     *zap.Logger

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
		platform:   pst,
		membership: mbs,
		gossip:     gsp,
		store:      sto,
		inventory:  inv,
		clock:      clk,
		logger:     log.Named("follow"),
		caches: map[string]*objectcache.Cache{
			objects.KindAllocation: objectcache.New(inv.ApplyAllocation),
			objects.KindZone:       objectcache.New(inv.ApplyZone),
			topicVMs:               objectcache.New(inv.ApplyVM),
		},
	}
	for kind, cch := range fol.caches {
		gsp.Add(gossip.Topic{
			Name:         kind,
			Position:     cch.Position,
			ChangesSince: cch.EncodeSince,
			Apply:        cch.MergeEncoded,
		})
	}
	gsp.Add(gossip.Topic{
		Name:         topicDocument,
		Position:     sto.AppliedGeneration,
		ChangesSince: sto.EncodeDifference,
		Apply:        sto.ApplyDifference,
	})
	return fol
}

// follow keeps this daemon's copies of the objects of a kind current until ctx ends.
func (fol *follower) follow(ctx context.Context, kind string) {
	for ctx.Err() == nil {
		// Until the store is caught up, every daemon reads the documents from the platform, whatever its rank,
		// so that it knows the highest generation even if its peers have just started too.
		if kind != topicDocument || fol.store.CaughtUp() {
			if fol.rendezvousRank(kind) >= watchersPerZone {
				fol.wait(ctx)
				continue
			}
		}
		fol.watch(ctx, kind)
	}
}

// watch reads the objects of a kind from the platform while this daemon is one of the kind's watchers.
func (fol *follower) watch(ctx context.Context, kind string) {
	objs, rev, err := fol.platform.List(ctx, kind)
	for err == nil {
		err = fol.applyObjects(ctx, kind, objs)
		if err != nil || ctx.Err() != nil || fol.rendezvousRank(kind) >= watchersPerZone {
			break
		}
		objs, rev, err = fol.platform.Watch(ctx, kind, rev)
	}
	if err != nil {
		fol.logger.Debug("cannot watch the platform", zap.String("kind", kind), zap.Error(err))
		fol.wait(ctx)
	}
}

func (fol *follower) applyObjects(ctx context.Context, kind string, objs []objects.Object) error {
	if kind == topicDocument {
		before := fol.store.AppliedGeneration()
		for _, obj := range objs {
			if err := fol.store.ApplyObject(ctx, obj); err != nil {
				return err
			}
		}
		fol.store.MarkCaughtUp()
		if fol.store.AppliedGeneration() > before {
			fol.gossip.Announce(ctx, kind)
		}
		return nil
	}
	if fol.caches[kind].Merge(ctx, objs) {
		fol.gossip.Announce(ctx, kind)
	}
	return nil
}

// catchUp waits until the highest known generation is in force: the platform's, or the highest of all
// peers while the platform is unavailable.
func (fol *follower) catchUp(ctx context.Context) {
	for ctx.Err() == nil && !fol.store.CaughtUp() {
		fol.wait(ctx)
		fol.catchUpFromPeers(ctx)
	}
}

func (fol *follower) catchUpFromPeers(ctx context.Context) {
	self := fol.membership.Self().Name
	pulled := 0
	for _, ide := range fol.membership.Alive() {
		if ide.Name == self {
			continue
		}
		if err := fol.gossip.Pull(ctx, ide.Address); err != nil {
			return
		}
		pulled++
	}
	if pulled > 0 && fol.store.AppliedGeneration() > 0 {
		fol.store.MarkCaughtUp()
	}
}

// followVMs keeps this daemon's copy of the list of VMs current until ctx ends.
func (fol *follower) followVMs(ctx context.Context) {
	var read time.Time
	for ctx.Err() == nil {
		now := fol.clock.Now()
		if read.IsZero() || fol.rendezvousRank(topicVMs) == 0 || now.Sub(read) > backupVMListInterval {
			if fol.readVMs(ctx) {
				read = now
			}
		}
		select {
		case <-ctx.Done():
		case <-fol.clock.After(vmListInterval):
		}
	}
}

func (fol *follower) readVMs(ctx context.Context) bool {
	vms, err := fol.platform.VMs(ctx)
	if err != nil {
		fol.logger.Debug("cannot read the list of VMs", zap.Error(err))
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
		fol.gossip.Announce(ctx, topicVMs)
	}
	return true
}

// rendezvousRank returns the rank of this daemon among the live daemons of the zone for a kind, by
// rendezvous hashing; 0 is the first.
func (fol *follower) rendezvousRank(kind string) int {
	self := fol.membership.Self().Name
	own := xxhash.Sum64String(self + "\x00follow " + kind)
	before := 0
	for _, ide := range fol.membership.Alive() {
		if ide.Name != self && xxhash.Sum64String(ide.Name+"\x00follow "+kind) > own {
			before++
		}
	}
	return before
}

func (fol *follower) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-fol.clock.After(watchRetryDelay):
	}
}
