package zoneorder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	standin "github.com/cumintally/cumintally/internal/standin/platform"
)

const (
	own   = "zone-1"
	other = "zone-2"
)

// daemon is one daemon with its own copy of the zones and its own connection to the store.
type daemon struct {
	name           string
	zone           string
	localInventory *inventory.Inventory
	orders         *Orders

	mu               sync.Mutex
	cut              bool
	loseNextPutReply bool
}

// network is a set of daemons in two zones. A zone that is cut off reaches neither the store nor the other zone.
type network struct {
	store   objects.Store
	daemons []*daemon
}

func newNetwork(zones ...string) *network {
	net := &network{
		store: standin.NewStore().ObjectStore(),
	}
	for idx, zon := range zones {
		net.add(fmt.Sprintf("entry-%d", idx), zon)
	}
	return net
}

func (net *network) add(name, zon string) {
	dmn := &daemon{
		name: name,
		zone: zon,
	}
	pst := net.daemonStore(dmn)
	clk := clockwork.NewRealClock()
	dmn.localInventory = inventory.New(zap.NewNop())
	dep := Dependencies{
		PeerAddresses: func() []string { return net.addresses(zon, name) },
		DaemonAddresses: func(zone string) []string {
			return net.addresses(zone, name)
		},
		Call: func(ctx context.Context, adr, _ string, body, reply any) error {
			return net.call(ctx, dmn, adr, body, reply)
		},
	}
	dmn.orders = New(zon, dep, pst, dmn.localInventory, clk, zap.NewNop())
	net.daemons = append(net.daemons, dmn)
}

func (net *network) addresses(zone, except string) []string {
	var adrs []string
	for _, dmn := range net.daemons {
		if dmn.zone == zone && dmn.name != except {
			adrs = append(adrs, dmn.name)
		}
	}
	return adrs
}

func (net *network) call(ctx context.Context, from *daemon, adr string, body, reply any) error {
	for _, dmn := range net.daemons {
		if dmn.name != adr {
			continue
		}
		if dmn.zone != from.zone && (dmn.isCut() || from.isCut()) {
			return peer.ErrUnreachable
		}
		data, err := cbor.Marshal(body)
		if err != nil {
			return err
		}
		ans, err := dmn.orders.HandleExchange(ctx, peer.Identity{}, data)
		if err != nil {
			return err
		}
		if data, err = cbor.Marshal(ans); err != nil {
			return err
		}
		return peer.Decode(data, reply)
	}
	return peer.ErrUnreachable
}

func (dmn *daemon) isCut() bool {
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	return dmn.cut
}

func (net *network) cut(zone string, cut bool) {
	for _, dmn := range net.daemons {
		if dmn.zone == zone {
			dmn.mu.Lock()
			dmn.cut = cut
			dmn.mu.Unlock()
		}
	}
}

// daemonStore is the store as one daemon reaches it.
func (net *network) daemonStore(dmn *daemon) objects.Store {
	pst := net.store
	pst.Get = func(ctx context.Context, kind, name string) (objects.Object, error) {
		if dmn.isCut() {
			return objects.Object{}, objects.ErrUnavailable
		}
		return net.store.Get(ctx, kind, name)
	}
	pst.Put = func(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
		if dmn.isCut() {
			return 0, objects.ErrUnavailable
		}
		ver, err := net.store.Put(ctx, kind, name, expected, value)
		dmn.mu.Lock()
		defer dmn.mu.Unlock()
		if dmn.loseNextPutReply {
			dmn.loseNextPutReply = false
			return 0, objects.ErrUnknownOutcome
		}
		return ver, err
	}
	return pst
}

// heal ends all partitions and runs exchanges of the daemons until they agree and no order is left to be written.
func (net *network) heal(ctx context.Context) {
	net.cut(own, false)
	net.cut(other, false)
	for range 200 {
		for _, dmn := range net.daemons {
			dmn.orders.exchangeAndWriteBack(ctx)
			if obj, err := net.store.Get(ctx, objects.KindZone, own); err == nil {
				dmn.localInventory.ApplyZone(ctx, obj)
			}
		}
		if net.daemonsAgree() {
			return
		}
	}
}

func (net *network) daemonsAgree() bool {
	for _, dmn := range net.daemons {
		if dmn.localInventory.Zone(own) != net.daemons[0].localInventory.Zone(own) || dmn.localInventory.ZoneUnstored(own) {
			return false
		}
	}
	return true
}

// TestOrdersConverge guards against an order that is accepted but not in effect in its whole zone, and against
// daemons and a store that disagree after a partition heals.
func TestOrdersConverge(tst *testing.T) {
	cases := 0
	rapid.Check(tst, func(rpd *rapid.T) {
		cases++
		ctx := tst.Context()
		net := newNetwork(own, own, own, other)
		var accepted []inventory.Zone
		for range rapid.IntRange(1, 12).Draw(rpd, "steps") {
			dmn := net.daemons[rapid.IntRange(0, 3).Draw(rpd, "daemon")]
			switch rapid.SampledFrom([]string{"order", "order", "cut", "join", "lose", "turn"}).Draw(rpd, "step") {
			case "order":
				zon, err := dmn.orders.Execute(ctx, own, rapid.Bool().Draw(rpd, "out"))
				if err != nil {
					continue
				}
				accepted = append(accepted, zon)
				for _, oth := range net.daemons {
					if got := oth.localInventory.Zone(own); oth.zone == own && (dmn.zone == own || !dmn.isCut() && !oth.isCut()) && got != zon {
						rpd.Fatalf("%s accepted %+v, but %s has %+v", dmn.name, zon, oth.name, got)
					}
				}
			case "cut":
				net.cut(own, true)
			case "join":
				net.cut(own, false)
			case "lose":
				dmn.mu.Lock()
				dmn.loseNextPutReply = true
				dmn.mu.Unlock()
			case "turn":
				dmn.orders.exchangeAndWriteBack(ctx)
			}
		}
		net.heal(ctx)
		final := net.daemons[0].localInventory.Zone(own)
		if !net.daemonsAgree() {
			rpd.Fatalf("the daemons do not agree after the partition healed")
		}
		for _, zon := range accepted {
			if zon.Newer(final) {
				rpd.Fatalf("%+v is in effect, but the newer %+v was accepted", final, zon)
			}
		}
	})
	if os.Getenv("CUMINTALLY_PROVE") != "" {
		fmt.Printf("invariant=zone-orders-converge cases=%d violations=0\n", cases)
	}
}

// TestOrderRaces guards against two operators whose opposite orders are both reported as in effect.
func TestOrderRaces(tst *testing.T) {
	for _, cut := range []bool{false, true} {
		for range 200 {
			net := newNetwork(own, own, own)
			net.cut(own, cut)
			var wgr sync.WaitGroup
			errs := make([]error, 2)
			for idx := range errs {
				wgr.Go(func() {
					_, errs[idx] = net.daemons[idx].orders.Execute(tst.Context(), own, idx == 0)
				})
			}
			wgr.Wait()
			out := net.daemons[2].localInventory.Zone(own)
			for idx, err := range errs {
				qt.Assert(tst, err == nil || errors.Is(err, objects.ErrConflict), qt.IsTrue, qt.Commentf("%v", err))
				// An accepted order may be replaced by a later one, but not by one with the same version.
				if err == nil && out.Version == 1 {
					qt.Assert(tst, out.Out, qt.Equals, idx == 0, qt.Commentf("cut off: %v", cut))
				}
			}
			qt.Assert(tst, errs[0] == nil || errs[1] == nil, qt.IsTrue, qt.Commentf("cut off: %v: %v", cut, errs))
		}
	}
}

// TestOrderForOtherZone guards against an order that a zone cut off from the store accepts for another zone,
// where it cannot take effect.
func TestOrderForOtherZone(tst *testing.T) {
	net := newNetwork(own, other)
	net.cut(other, true)
	_, err := net.daemons[1].orders.Execute(tst.Context(), own, true)
	qt.Assert(tst, err, qt.ErrorIs, objects.ErrUnavailable)
	qt.Assert(tst, net.daemons[0].localInventory.Zone(own).Out, qt.IsFalse)
	qt.Assert(tst, net.daemons[1].localInventory.Zone(own).Out, qt.IsFalse)
}

// TestExchangeReachesLateDaemon guards against a daemon that was not known when an order was given and never
// receives it while the store is unreachable.
func TestExchangeReachesLateDaemon(tst *testing.T) {
	net := newNetwork(own)
	net.cut(own, true)
	_, err := net.daemons[0].orders.Execute(tst.Context(), own, true)
	qt.Assert(tst, err, qt.IsNil)
	net.add("late", own)
	net.cut(own, true)
	net.daemons[rand.IntN(2)].orders.exchangeAndWriteBack(tst.Context())
	qt.Assert(tst, net.daemons[1].localInventory.Zone(own).Out, qt.IsTrue)
}

// TestOrderAfterPartition guards against a new order that loses to an older one, which the zone accepted
// while it was cut off, because only the stored version was considered.
func TestOrderAfterPartition(tst *testing.T) {
	net := newNetwork(own, own)
	net.cut(own, true)
	_, err := net.daemons[0].orders.Execute(tst.Context(), own, true)
	qt.Assert(tst, err, qt.IsNil)
	net.cut(own, false)
	zon, err := net.daemons[1].orders.Execute(tst.Context(), own, false)
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, zon.Version, qt.Equals, uint64(2))
	qt.Assert(tst, net.daemons[0].localInventory.Zone(own), qt.Equals, zon)
}
