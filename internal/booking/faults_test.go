package booking

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	standin "github.com/cumintally/cumintally/internal/standin/platform"
)

// acceleratedClock is a real clock that can be advanced and whose waits take a hundredth of the requested time.
type acceleratedClock struct {
	clockwork.Clock
	advancedBy atomic.Int64
}

func newAcceleratedClock() *acceleratedClock {
	return &acceleratedClock{Clock: clockwork.NewRealClock()}
}

func (acc *acceleratedClock) Now() time.Time {
	return acc.Clock.Now().Add(time.Duration(acc.advancedBy.Load()))
}

func (acc *acceleratedClock) Sleep(dur time.Duration) { acc.Clock.Sleep(dur / 100) }

func (acc *acceleratedClock) After(dur time.Duration) <-chan time.Time {
	return acc.Clock.After(dur / 100)
}

// putFault is a fault of one write.
type putFault int

const (
	// putRejected is a write that the store rejects; it does not take effect.
	putRejected putFault = iota
	// putLost is a write that takes effect but whose response is lost.
	putLost
	// putLate is a write whose response is lost and that takes effect only when deliver is called.
	putLate
	// putNever is a write that does not take effect and whose response is lost.
	putNever
	// putFaultCount is the number of faults. Used as a fault, it means a write without a fault.
	putFaultCount
)

// faultyStore wraps the platform's store and injects faults; each fault affects one call.
type faultyStore struct {
	inner objects.Store

	mu          sync.Mutex
	putFaults   []putFault
	failingGets int
	late        []func()
	writes      int
}

func newFaultyStore() (*faultyStore, objects.Store) {
	fst := &faultyStore{inner: standin.NewStore().ObjectStore()}
	pst := fst.inner
	pst.Get = fst.get
	pst.Put = fst.put
	return fst, pst
}

func (fst *faultyStore) get(ctx context.Context, kind, name string) (objects.Object, error) {
	if err := ctx.Err(); err != nil {
		return objects.Object{}, objects.ErrUnavailable
	}
	fst.mu.Lock()
	out := fst.failingGets > 0
	if out {
		fst.failingGets--
	}
	fst.mu.Unlock()
	if out {
		return objects.Object{}, objects.ErrUnavailable
	}
	return fst.inner.Get(ctx, kind, name)
}

func (fst *faultyStore) put(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
	fst.mu.Lock()
	fst.writes++
	flt := putFaultCount
	if len(fst.putFaults) > 0 {
		flt = fst.putFaults[0]
		fst.putFaults = fst.putFaults[1:]
	}
	switch flt {
	case putRejected:
		fst.mu.Unlock()
		return 0, objects.ErrUnavailable
	case putNever:
		fst.mu.Unlock()
		return 0, objects.ErrUnknownOutcome
	case putLate:
		fst.late = append(fst.late, func() { _, _ = fst.inner.Put(ctx, kind, name, expected, value) })
		fst.mu.Unlock()
		return 0, objects.ErrUnknownOutcome
	default:
	}
	fst.mu.Unlock()
	ver, err := fst.inner.Put(ctx, kind, name, expected, value)
	if flt == putLost {
		return 0, objects.ErrUnknownOutcome
	}
	return ver, err
}

func (fst *faultyStore) inject(getsOut int, puts ...putFault) {
	fst.mu.Lock()
	defer fst.mu.Unlock()
	fst.failingGets += getsOut
	fst.putFaults = append(fst.putFaults, puts...)
}

func (fst *faultyStore) deliver() {
	fst.mu.Lock()
	late := fst.late
	fst.late = nil
	fst.mu.Unlock()
	for _, put := range late {
		put()
	}
}

func (fst *faultyStore) clearFaults() {
	fst.mu.Lock()
	defer fst.mu.Unlock()
	fst.putFaults = nil
	fst.failingGets = 0
}

// daemons is a set of ledgers that call each other within one process. The owner of all buckets is any of them, or
// a daemon that does not exist.
type daemons struct {
	cfg   Config
	pst   objects.Store
	clk   clockwork.Clock
	owner atomic.Int64
	// loseReplies is the number of peer calls, from the next one on, whose replies are lost.
	loseReplies atomic.Int64
	mu          sync.Mutex
	ledgers     []*Ledger
}

func newDaemons(num int, cfg Config, pst objects.Store, clk clockwork.Clock) *daemons {
	dms := &daemons{
		cfg:     cfg,
		pst:     pst,
		clk:     clk,
		ledgers: make([]*Ledger, num),
	}
	for idx := range num {
		dms.restart(idx)
	}
	return dms
}

func (dms *daemons) restart(idx int) {
	prs := Peers{
		Self: fmt.Sprint(idx),
		Owner: func(string) peer.Identity {
			own := fmt.Sprint(dms.owner.Load())
			return peer.Identity{Name: own, Address: own}
		},
		Call: dms.call,
	}
	led := New(dms.cfg, dms.pst, prs, dms.clk, metrics.NewRegistry(), zap.NewNop())
	dms.mu.Lock()
	defer dms.mu.Unlock()
	dms.ledgers[idx] = led
}

func (dms *daemons) ledger(idx int) *Ledger {
	dms.mu.Lock()
	defer dms.mu.Unlock()
	return dms.ledgers[idx]
}

func (dms *daemons) call(ctx context.Context, address, _ string, body, response any) error {
	var idx int
	if _, err := fmt.Sscan(address, &idx); err != nil || idx >= len(dms.ledgers) {
		return peer.ErrUnreachable
	}
	rpl := dms.ledger(idx).writer(body.(operation).Bucket).do(ctx, body.(operation))
	if dms.loseReplies.Add(-1) >= 0 {
		return peer.ErrBroken
	}
	*response.(*reply) = rpl
	return nil
}

func testConfig(buckets int, batch time.Duration) Config {
	return Config{
		InitialBuckets: buckets,
		BatchTime:      batch,
		ReserveTimeout: 2 * time.Second,
		MaxResultSize:  1024,
		Retention:      24 * time.Hour,
	}
}
