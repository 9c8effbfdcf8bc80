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

// quickClock is a real clock that can be set forward and that waits a hundredth of the time asked for.
type quickClock struct {
	clockwork.Clock
	ahead atomic.Int64
}

func newQuickClock() *quickClock {
	return &quickClock{Clock: clockwork.NewRealClock()}
}

func (qck *quickClock) Now() time.Time {
	return qck.Clock.Now().Add(time.Duration(qck.ahead.Load()))
}

func (qck *quickClock) Sleep(dur time.Duration) { qck.Clock.Sleep(dur / 100) }

func (qck *quickClock) After(dur time.Duration) <-chan time.Time { return qck.Clock.After(dur / 100) }

// putFault is what happens to one write.
type putFault int

const (
	putRefused putFault = iota
	// putLost takes effect, but its response is lost.
	putLost
	// putLate takes effect only when deliver is called, after its response was lost.
	putLate
	// putNever does not take effect, and its response is lost.
	putNever
	putFaults
)

// faultyStore is the platform with faults that each strike one call.
type faultyStore struct {
	inner objects.Store

	mu      sync.Mutex
	puts    []putFault
	getsOut int
	late    []func()
	writes  int
}

func newFaultyStore() (*faultyStore, objects.Store) {
	fst := &faultyStore{inner: standin.NewStore().Platform()}
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
	out := fst.getsOut > 0
	if out {
		fst.getsOut--
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
	flt := putFaults
	if len(fst.puts) > 0 {
		flt = fst.puts[0]
		fst.puts = fst.puts[1:]
	}
	switch flt {
	case putRefused:
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
	fst.getsOut += getsOut
	fst.puts = append(fst.puts, puts...)
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

func (fst *faultyStore) heal() {
	fst.mu.Lock()
	defer fst.mu.Unlock()
	fst.puts = nil
	fst.getsOut = 0
}

// daemons are ledgers that call each other in one process; ownership may name any of them, or none.
type daemons struct {
	cfg   Config
	pst   objects.Store
	clk   clockwork.Clock
	owner atomic.Int64
	// loseReplies makes the next so many peer calls lose their replies.
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

func (dms *daemons) call(ctx context.Context, address, _ string, body, answer any) error {
	var idx int
	if _, err := fmt.Sscan(address, &idx); err != nil || idx >= len(dms.ledgers) {
		return peer.ErrUnreachable
	}
	rpl := dms.ledger(idx).lane(body.(operation).Bucket).do(ctx, body.(operation))
	if dms.loseReplies.Add(-1) >= 0 {
		return peer.ErrBroken
	}
	*answer.(*reply) = rpl
	return nil
}

func testConfig(buckets int, batch time.Duration) Config {
	return Config{
		Buckets:        buckets,
		BatchTime:      batch,
		ReserveTimeout: 2 * time.Second,
		MaxResultSize:  1024,
		KeepFor:        24 * time.Hour,
	}
}
