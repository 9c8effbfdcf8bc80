package zoneorder

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
)

// FrameKind is the kind of the peer frames in which daemons exchange the state of a zone.
const FrameKind = "ZoneOrder"

const (
	// storeTimeout bounds the time that an order spends on store calls, and peerTimeout that on calls to peers.
	// Together with reading a write back they stay below the 3 s within which an order must be in effect.
	storeTimeout = time.Second
	peerTimeout  = 500 * time.Millisecond
	// exchangeInterval is the time between two exchanges with a peer chosen at random. They bring an order to
	// daemons that were paused or not yet known when it was given.
	exchangeInterval = time.Second
)

// Dependencies are the functions of other components that orders call.
type Dependencies struct {
	// PeerAddresses returns the addresses of the other daemons alive in this zone.
	PeerAddresses func() []string
	// DaemonAddresses returns the addresses of the entry VMs of another zone.
	DaemonAddresses func(zone string) []string
	// Call sends a frame of some kind to a peer and decodes the response into reply.
	Call func(ctx context.Context, adr, kind string, body, reply any) error
}

// Orders executes and replicates zone orders on one daemon.
type Orders struct {
	zone           string
	dependencies   Dependencies
	store          objects.Store
	localInventory *inventory.Inventory
	clock          clockwork.Clock
	logger         *zap.Logger
}

// New returns the zone orders of a daemon in zone.
func New(zone string, dependencies Dependencies, store objects.Store, localInventory *inventory.Inventory, clock clockwork.Clock, logger *zap.Logger) *Orders {
	return &Orders{
		zone:           zone,
		dependencies:   dependencies,
		store:          store,
		localInventory: localInventory,
		clock:          clock,
		logger:         logger.Named("zoneorder"),
	}
}

// Execute takes a zone out of service or returns it to service, and returns the newest state of the zone known here.
// It fails with objects.ErrConflict if another order took precedence. It also fails if the store cannot be
// reached and the order is for another zone, or if the outcome of the write is unknown and another state with at
// least the order's version is known here.
func (ord *Orders) Execute(ctx context.Context, name string, out bool) (inventory.Zone, error) {
	next := inventory.Zone{
		Name:   name,
		Out:    out,
		Writer: uuid.NewString(),
	}
	zon, err := ord.write(ctx, next)
	switch {
	case err == nil:
		ord.localInventory.SetStoredZone(zon)
	case errors.Is(err, objects.ErrConflict):
		return ord.localInventory.Zone(name), errors.Trace(err)
	case name != ord.zone:
		return ord.localInventory.Zone(name), errors.Annotatef(err, "give the order to an entry VM of zone %s", name)
	case !errors.Is(err, objects.ErrUnknownOutcome):
		zon = ord.localInventory.SetUnstoredZone(name, out, next.Writer)
	case ord.localInventory.Zone(name).Version >= zon.Version:
		return ord.localInventory.Zone(name), errors.Trace(err)
	default:
		// The write may still reach the store, so the order keeps the version that was sent.
		ord.localInventory.SetZone(zon)
	}
	if err != nil {
		ord.logger.Warn("the store has not confirmed the zone order: it takes effect in this zone alone until it is written to the store", zap.Bool("out", out), zap.Error(err))
	}
	ord.replicate(ctx, zon)
	if now := ord.localInventory.Zone(name); now != zon {
		return now, conflictError(now)
	}
	return zon, nil
}

// write makes next the newest state of its zone in the store and returns it with its version.
func (ord *Orders) write(ctx context.Context, next inventory.Zone) (inventory.Zone, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, ver, err := ord.read(ctx, next.Name)
	if err != nil {
		return next, errors.Trace(err)
	}
	next.Version = max(stored.Version, ord.localInventory.Zone(next.Name).Version) + 1
	return next, ord.put(ctx, next, ver)
}

// read returns the state of a zone in the store and the version of its object, 0 if there is none.
func (ord *Orders) read(ctx context.Context, name string) (inventory.Zone, uint64, error) {
	var zon inventory.Zone
	obj, err := ord.store.Get(ctx, objects.KindZone, name)
	if errors.Is(err, objects.ErrNotFound) {
		return zon, 0, nil
	}
	if err != nil {
		return zon, 0, errors.Trace(err)
	}
	if err := json.Unmarshal(obj.Value, &zon); err != nil {
		return zon, 0, errors.Trace(err)
	}
	ord.localInventory.SetStoredZone(zon)
	return zon, obj.Version, nil
}

// put writes the state of a zone if the stored object has the expected version. After a conflict or an
// unknown outcome it reads the object back to find out whether the write took effect.
func (ord *Orders) put(ctx context.Context, zon inventory.Zone, expected uint64) error {
	val, err := json.Marshal(zon)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = ord.store.Put(ctx, objects.KindZone, zon.Name, expected, val)
	if !errors.Is(err, objects.ErrConflict) && !errors.Is(err, objects.ErrUnknownOutcome) {
		return errors.Trace(err)
	}
	// The writer's token in the stored state shows whether the write took effect.
	stored, _, rerr := ord.read(ctx, zon.Name)
	switch {
	case rerr != nil:
		return errors.Trace(err)
	case stored == zon:
		return nil
	default:
		return conflictError(stored)
	}
}

// conflictError returns an error that describes the stored order, which took precedence.
func conflictError(stored inventory.Zone) error {
	state := "in"
	if stored.Out {
		state = "out of"
	}
	return errors.Annotatef(objects.ErrConflict, "another order, version %d, holds zone %s %s service", stored.Version, stored.Name, state)
}

// replicate sends the state of a zone to the daemons of this zone and to those of the zone that it describes, and
// applies any newer state that they return.
func (ord *Orders) replicate(ctx context.Context, zon inventory.Zone) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	adrs := ord.dependencies.PeerAddresses()
	if zon.Name != ord.zone {
		adrs = append(adrs, ord.dependencies.DaemonAddresses(zon.Name)...)
	}
	var wgr sync.WaitGroup
	for _, adr := range adrs {
		wgr.Go(func() { ord.exchange(ctx, adr, zon) })
	}
	wgr.Wait()
}

// exchange sends the state of a zone to one peer and applies the state that the peer returns if that is newer.
func (ord *Orders) exchange(ctx context.Context, adr string, zon inventory.Zone) {
	var remote inventory.Zone
	if err := ord.dependencies.Call(ctx, adr, FrameKind, zon, &remote); err != nil {
		ord.logger.Debug("cannot exchange the zone state with a peer", zap.String("peer", adr), zap.Error(err))
		return
	}
	if remote.Name == zon.Name {
		ord.localInventory.SetZone(remote)
	}
}

// HandleExchange applies the state of a zone that a peer sent and returns the newest state known here.
func (ord *Orders) HandleExchange(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var zon inventory.Zone
	if err := peer.Decode(body, &zon); err != nil {
		return nil, err
	}
	if zon.Name == "" {
		return nil, errors.Annotate(peer.ErrRejected, "zone order without a zone name")
	}
	ord.localInventory.SetZone(zon)
	return ord.localInventory.Zone(zon.Name), nil
}

// Run exchanges the state of this zone with peers until ctx ends. It also writes an order for this zone to the store if
// the store is not known to hold it, such as one that was given while the store was unreachable.
func (ord *Orders) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ord.clock.After(exchangeInterval):
		}
		ord.exchangeAndWriteBack(ctx)
	}
}

// exchangeAndWriteBack does one exchange with a random peer and, if this zone's order is not yet in the
// store, tries to write it there.
func (ord *Orders) exchangeAndWriteBack(ctx context.Context) {
	zon := ord.localInventory.Zone(ord.zone)
	zon.Name = ord.zone
	adrs := ord.dependencies.PeerAddresses()
	if len(adrs) > 0 {
		pctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		ord.exchange(pctx, adrs[rand.IntN(len(adrs))], zon)
	}
	// Each daemon tries with the same probability, so the zone makes about one attempt per interval, whichever
	// of its daemons can reach the store.
	if ord.localInventory.ZoneUnstored(ord.zone) && rand.IntN(len(adrs)+1) == 0 {
		ord.writeBack(ctx)
	}
}

// writeBack writes this zone's state to the store unless the store holds a newer one.
func (ord *Orders) writeBack(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, ver, err := ord.read(ctx, ord.zone)
	zon := ord.localInventory.Zone(ord.zone)
	if err != nil || !zon.Newer(stored) {
		return
	}
	if err := ord.put(ctx, zon, ver); err != nil {
		ord.logger.Debug("cannot write the order for this zone to the store", zap.Error(err))
		return
	}
	ord.localInventory.SetStoredZone(zon)
	ord.logger.Info("wrote the order for this zone to the store", zap.Bool("out", zon.Out), zap.Uint64("version", zon.Version))
}
