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

// Kind is the kind of the frames by which daemons exchange the state of a zone.
const Kind = "ZoneOrder"

const (
	// platformTime bounds the time that an order spends on the platform, and peerTime that on the peers.
	// Together with a read back they stay below the 3 s within which an order must be in effect.
	platformTime = time.Second
	peerTime     = 500 * time.Millisecond
	// exchangeInterval is the time between two exchanges with a peer chosen at random. They reach a daemon
	// that was paused or not known when an order was given.
	exchangeInterval = time.Second
)

// Seams are the calls that orders make on other parts.
type Seams struct {
	// Peers returns the addresses of the other daemons alive in this zone.
	Peers func() []string
	// Daemons returns the addresses of the entry VMs of another zone.
	Daemons func(zone string) []string
	Call    func(ctx context.Context, adr, kind string, body, reply any) error
}

// Orders takes and spreads the orders to zones at one daemon.
type Orders struct {
	zone string
	sea  Seams
	pst  objects.Store
	inv  *inventory.Inventory
	clk  clockwork.Clock
	log  *zap.Logger
}

// New returns the orders of a daemon in zone.
func New(zone string, sea Seams, pst objects.Store, inv *inventory.Inventory, clk clockwork.Clock, log *zap.Logger) *Orders {
	return &Orders{
		zone: zone,
		sea:  sea,
		pst:  pst,
		inv:  inv,
		clk:  clk,
		log:  log.Named("zoneorder"),
	}
}

// Order takes a zone out of service or returns it. An order that another one overtook fails with
// objects.ErrConflict.
func (ord *Orders) Order(ctx context.Context, name string, out bool) (inventory.Zone, error) {
	next := inventory.Zone{
		Name:   name,
		Out:    out,
		Writer: uuid.NewString(),
	}
	zon, err := ord.write(ctx, next)
	switch {
	case err == nil:
		ord.inv.SetWrittenZone(zon)
	case errors.Is(err, objects.ErrConflict):
		return ord.inv.Zone(name), errors.Trace(err)
	case name != ord.zone:
		return ord.inv.Zone(name), errors.Annotatef(err, "give the order to an entry VM of zone %s", name)
	case !errors.Is(err, objects.ErrUnknownOutcome):
		zon = ord.inv.OrderZone(name, out, next.Writer)
	case ord.inv.Zone(name).Version >= zon.Version:
		return ord.inv.Zone(name), errors.Trace(err)
	default:
		// The write may still arrive, so that the order keeps the version that was sent.
		ord.inv.SetZone(zon)
	}
	if err != nil {
		ord.log.Warn("an order is in effect in this zone only until the platform answers", zap.Bool("out", out), zap.Error(err))
	}
	ord.spread(ctx, zon)
	if now := ord.inv.Zone(name); now != zon {
		return now, conflict(now)
	}
	return zon, nil
}

// write makes next the newest state of its zone in the platform and returns it with its version.
func (ord *Orders) write(ctx context.Context, next inventory.Zone) (inventory.Zone, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTime)
	defer cancel()
	held, ver, err := ord.read(ctx, next.Name)
	if err != nil {
		return next, errors.Trace(err)
	}
	next.Version = max(held.Version, ord.inv.Zone(next.Name).Version) + 1
	return next, ord.put(ctx, next, ver)
}

// read returns the state of a zone in the platform and its object's version, 0 if there is none.
func (ord *Orders) read(ctx context.Context, name string) (inventory.Zone, uint64, error) {
	var zon inventory.Zone
	obj, err := ord.pst.Get(ctx, objects.KindZone, name)
	if errors.Is(err, objects.ErrNotFound) {
		return zon, 0, nil
	}
	if err != nil {
		return zon, 0, errors.Trace(err)
	}
	if err := json.Unmarshal(obj.Value, &zon); err != nil {
		return zon, 0, errors.Trace(err)
	}
	ord.inv.SetWrittenZone(zon)
	return zon, obj.Version, nil
}

func (ord *Orders) put(ctx context.Context, zon inventory.Zone, expected uint64) error {
	val, err := json.Marshal(zon)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = ord.pst.Put(ctx, objects.KindZone, zon.Name, expected, val)
	if !errors.Is(err, objects.ErrConflict) && !errors.Is(err, objects.ErrUnknownOutcome) {
		return errors.Trace(err)
	}
	// The zone's writer token tells whether the write took effect.
	held, _, rerr := ord.read(ctx, zon.Name)
	switch {
	case rerr != nil:
		return errors.Trace(err)
	case held == zon:
		return nil
	default:
		return conflict(held)
	}
}

func conflict(held inventory.Zone) error {
	state := "in"
	if held.Out {
		state = "out of"
	}
	return errors.Annotatef(objects.ErrConflict, "another order, version %d, holds zone %s %s service", held.Version, held.Name, state)
}

// spread hands a state to the daemons of this zone and of the zone that it is about, and takes what they
// know that is newer.
func (ord *Orders) spread(ctx context.Context, zon inventory.Zone) {
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	adrs := ord.sea.Peers()
	if zon.Name != ord.zone {
		adrs = append(adrs, ord.sea.Daemons(zon.Name)...)
	}
	var wgr sync.WaitGroup
	for _, adr := range adrs {
		wgr.Go(func() { ord.exchange(ctx, adr, zon) })
	}
	wgr.Wait()
}

func (ord *Orders) exchange(ctx context.Context, adr string, zon inventory.Zone) {
	var theirs inventory.Zone
	if err := ord.sea.Call(ctx, adr, Kind, zon, &theirs); err != nil {
		ord.log.Debug("a peer did not take an order", zap.String("peer", adr), zap.Error(err))
		return
	}
	if theirs.Name == zon.Name {
		ord.inv.SetZone(theirs)
	}
}

// Answer takes the state of a zone that a peer sent and returns the newest one known here.
func (ord *Orders) Answer(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var zon inventory.Zone
	if err := peer.Decode(body, &zon); err != nil {
		return nil, err
	}
	if zon.Name == "" {
		return nil, errors.Annotate(peer.ErrRejected, "a zone order without a zone")
	}
	ord.inv.SetZone(zon)
	return ord.inv.Zone(zon.Name), nil
}

// Run exchanges the state of this zone with peers, and writes an order that was given without the
// platform to it, until ctx ends.
func (ord *Orders) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ord.clk.After(exchangeInterval):
		}
		ord.turn(ctx)
	}
}

func (ord *Orders) turn(ctx context.Context) {
	zon := ord.inv.Zone(ord.zone)
	zon.Name = ord.zone
	adrs := ord.sea.Peers()
	if len(adrs) > 0 {
		pctx, cancel := context.WithTimeout(ctx, peerTime)
		defer cancel()
		ord.exchange(pctx, adrs[rand.IntN(len(adrs))], zon)
	}
	// Each daemon tries with the same chance, so that the zone tries about once in each interval whichever
	// of its daemons reaches the platform.
	if ord.inv.Unwritten(ord.zone) && rand.IntN(len(adrs)+1) == 0 {
		ord.writeBack(ctx)
	}
}

// writeBack writes the zone's state to the platform unless that holds a newer one.
func (ord *Orders) writeBack(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTime)
	defer cancel()
	held, ver, err := ord.read(ctx, ord.zone)
	zon := ord.inv.Zone(ord.zone)
	if err != nil || !zon.Newer(held) {
		return
	}
	if err := ord.put(ctx, zon, ver); err != nil {
		ord.log.Debug("cannot write an order back", zap.Error(err))
		return
	}
	ord.inv.SetWrittenZone(zon)
	ord.log.Info("wrote an order back to the platform", zap.Bool("out", zon.Out), zap.Uint64("version", zon.Version))
}
