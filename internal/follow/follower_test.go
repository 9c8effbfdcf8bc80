package follow_test

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/follow"
	"github.com/cumintally/cumintally/internal/objects"
)

const (
	kind    = "Server"
	trust   = 1800 * time.Millisecond
	patient = 5 * time.Second
)

// registry is a store of one kind that counts the watches that are waiting and those that were made.
type registry struct {
	mu       sync.Mutex
	revision uint64
	changes  []objects.Object
	watches  int
	down     bool
	more     chan struct{}
}

func newRegistry() *registry {
	return &registry{
		revision: 1,
		more:     make(chan struct{}),
	}
}

// put changes an object and wakes the watches.
func (reg *registry) put(name string) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.revision++
	reg.changes = append(reg.changes, objects.Object{
		Kind:    kind,
		Name:    name,
		Version: reg.revision,
	})
	close(reg.more)
	reg.more = make(chan struct{})
}

func (reg *registry) setDown(down bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.down = down
	close(reg.more)
	reg.more = make(chan struct{})
}

func (reg *registry) made() int {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.watches
}

func (reg *registry) store() objects.Store {
	return objects.Store{
		List: func(context.Context, string) ([]objects.Object, uint64, error) {
			reg.mu.Lock()
			defer reg.mu.Unlock()
			if reg.down {
				return nil, 0, objects.ErrUnavailable
			}
			return slices.Clone(reg.changes), reg.revision, nil
		},
		ListStale: func(context.Context, string) ([]objects.Object, uint64, error) { return nil, 1, nil },
		Watch: func(ctx context.Context, _ string, since uint64) ([]objects.Object, uint64, error) {
			reg.mu.Lock()
			defer reg.mu.Unlock()
			reg.watches++
			for !reg.down {
				var objs []objects.Object
				for _, obj := range reg.changes {
					if obj.Version > since {
						objs = append(objs, obj)
					}
				}
				if len(objs) > 0 {
					return objs, reg.revision, nil
				}
				more := reg.more
				reg.mu.Unlock()
				select {
				case <-ctx.Done():
				case <-more:
				}
				reg.mu.Lock()
				if ctx.Err() != nil {
					return nil, 0, objects.ErrUnavailable
				}
			}
			return nil, 0, objects.ErrUnavailable
		},
	}
}

// copied is what a follower has handed on.
type copied struct {
	// own says that the follower has to watch the store itself.
	own atomic.Bool
	// stale says that the first list may be old.
	stale atomic.Bool

	mu    sync.Mutex
	names map[string]uint64
}

func (cop *copied) take(objs []objects.Object, whole bool) {
	cop.mu.Lock()
	defer cop.mu.Unlock()
	if whole || cop.names == nil {
		cop.names = map[string]uint64{}
	}
	for _, obj := range objs {
		cop.names[obj.Name] = obj.Version
	}
}

func (cop *copied) version(name string) uint64 {
	cop.mu.Lock()
	defer cop.mu.Unlock()
	return cop.names[name]
}

// started returns a follower of reg that has listed.
func started(tst *testing.T, reg *registry, clk clockwork.Clock) (*follow.Follower, *copied) {
	tst.Helper()
	return startedWith(tst, reg, clk, &copied{})
}

// startedStale returns a follower whose first list is as old as the empty registry.
func startedStale(tst *testing.T, reg *registry, clk clockwork.Clock) (*follow.Follower, *copied) {
	tst.Helper()
	cop := &copied{}
	cop.stale.Store(true)
	return startedWith(tst, reg, clk, cop)
}

func startedWith(tst *testing.T, reg *registry, clk clockwork.Clock, cop *copied) (*follow.Follower, *copied) {
	tst.Helper()
	cfg := follow.Config{
		Kind:   kind,
		Gather: func() time.Duration { return 0 },
		Trust:  trust,
		Fed:    func() bool { return true },
		Patience: func() time.Duration {
			if cop.own.Load() {
				return 0
			}
			return trust
		},
		Stale: cop.stale.Load,
	}
	fol := follow.New(cfg, reg.store(), cop.take, clk, zap.NewNop())
	ctx, cancel := context.WithCancel(tst.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		fol.Run(ctx)
	}()
	tst.Cleanup(func() {
		cancel()
		<-ended
	})
	eventually(tst, func() bool { return fol.Revision() > 0 })
	return fol, cop
}

func eventually(tst *testing.T, holds func() bool) {
	tst.Helper()
	for end := time.Now().Add(patient); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tst.Fatal("does not come to hold")
		}
	}
}

// packed returns one changed object as a batch carries it.
func packed(tst *testing.T, name string, version uint64, value []byte) []byte {
	tst.Helper()
	var buf bytes.Buffer
	wrt, err := flate.NewWriter(&buf, flate.BestSpeed)
	qt.Assert(tst, err, qt.IsNil)
	obj := objects.Object{
		Kind:    kind,
		Name:    name,
		Version: version,
		Value:   value,
	}
	qt.Assert(tst, cbor.NewEncoder(wrt).Encode([]objects.Object{obj}), qt.IsNil)
	qt.Assert(tst, wrt.Close(), qt.IsNil)
	return buf.Bytes()
}

// feed passes on what fed lacks.
func feed(tst *testing.T, clk clockwork.Clock, from, fed *follow.Follower) {
	tst.Helper()
	bat, ok := from.Changes(fed.Revision())
	qt.Assert(tst, ok, qt.IsTrue)
	fed.Feed(bat, clk.Now())
}

// TestFedCopyCostsNoCalls guards against a fleet whose calls to the store grow with its size: a daemon that is fed
// learns all changes and makes no watch of its own.
func TestFedCopyCostsNoCalls(tst *testing.T) {
	reg := newRegistry()
	clk := clockwork.NewFakeClock()
	one, _ := started(tst, reg, clk)
	eventually(tst, func() bool { return reg.made() == 1 })
	two, cop := started(tst, reg, clk)
	feed(tst, clk, one, two)
	// The second daemon's watch under way, if any, ends with this change; it makes no other.
	reg.put("s0")
	eventually(tst, func() bool { return one.Revision() == 2 })
	feed(tst, clk, one, two)
	eventually(tst, func() bool { return cop.version("s0") == 2 })
	clk.Advance(trust / 2)
	reg.put("s1")
	eventually(tst, func() bool { return one.Revision() == 3 })
	feed(tst, clk, one, two)
	before := reg.made()
	for num := range 20 {
		reg.put("s2")
		eventually(tst, func() bool { return one.Revision() == uint64(4+num) })
		feed(tst, clk, one, two)
	}
	qt.Check(tst, cop.version("s2"), qt.Equals, uint64(23))
	qt.Check(tst, reg.made()-before <= 21, qt.IsTrue, qt.Commentf("%d watches for 20 changes", reg.made()-before))
}

// TestStaleFeedEnds guards against a copy that grows old with its feeder: when the store no longer confirms the
// feeder's copy, the daemon watches by itself.
func TestStaleFeedEnds(tst *testing.T) {
	reg, cut := newRegistry(), newRegistry()
	clk := clockwork.NewFakeClock()
	one, _ := started(tst, cut, clk)
	two, cop := started(tst, reg, clk)
	feed(tst, clk, one, two)
	cut.setDown(true)
	reg.put("s0")
	clk.Advance(trust)
	_, ok := one.Changes(two.Revision())
	qt.Check(tst, ok, qt.IsFalse, qt.Commentf("a copy that the store has not confirmed is not passed on"))
	eventually(tst, func() bool { return cop.version("s0") == 2 })
}

// TestSlowFrame guards against a copy that counts as current since the frame that says so was on its way for long.
func TestSlowFrame(tst *testing.T) {
	reg := newRegistry()
	clk := clockwork.NewFakeClock()
	one, _ := started(tst, reg, clk)
	two, _ := started(tst, newRegistry(), clk)
	bat, ok := one.Changes(two.Revision())
	qt.Assert(tst, ok, qt.IsTrue)
	before := two.Heard()
	clk.Advance(trust)
	two.Feed(bat, clk.Now().Add(-trust))
	qt.Check(tst, two.Heard(), qt.Equals, before)
}

// TestNewHolderWatches guards against a daemon that takes the lease and acts on what a feeder that is lost said last.
func TestNewHolderWatches(tst *testing.T) {
	reg := newRegistry()
	clk := clockwork.NewFakeClock()
	one, _ := started(tst, newRegistry(), clk)
	two, cop := started(tst, reg, clk)
	eventually(tst, func() bool { return reg.made() == 1 })
	feed(tst, clk, one, two)
	reg.put("s0")
	eventually(tst, func() bool { return two.Revision() == 2 })
	one.Feed(follow.Batch{
		Kind:     kind,
		Since:    one.Revision(),
		Revision: 2,
	}, clk.Now())
	feed(tst, clk, one, two)
	reg.put("s1")
	cop.own.Store(true)
	before := clk.Now()
	eventually(tst, func() bool {
		clk.Advance(10 * time.Millisecond)
		return cop.version("s1") == 3
	})
	qt.Check(tst, clk.Since(before) < trust/2, qt.IsTrue, qt.Commentf("learned after %v", clk.Since(before)))
}

// TestGapIsClosed guards against a change that is lost since the feeder began later, or has dropped it by now.
func TestGapIsClosed(tst *testing.T) {
	reg := newRegistry()
	clk := clockwork.NewFakeClock()
	two, cop := started(tst, reg, clk)
	one, _ := started(tst, reg, clk)
	feed(tst, clk, one, two)
	reg.put("s0")
	two.Feed(follow.Batch{
		Kind:     kind,
		Since:    3,
		Revision: 4,
		Packed:   packed(tst, "s1", 4, nil),
	}, clk.Now())
	eventually(tst, func() bool { return cop.version("s0") == 2 })
	qt.Check(tst, cop.version("s1"), qt.Equals, uint64(0))
}

// TestLargeObjectIsReadFromTheStore guards against links that are occupied by one large object for all daemons.
func TestLargeObjectIsReadFromTheStore(tst *testing.T) {
	reg := newRegistry()
	clk := clockwork.NewFakeClock()
	one, _ := started(tst, reg, clk)
	from := one.Revision()
	// Random bytes cannot be compressed.
	value := make([]byte, 100_000)
	_, err := rand.Read(value)
	qt.Assert(tst, err, qt.IsNil)
	one.Feed(follow.Batch{
		Kind:     kind,
		Since:    from,
		Revision: from + 1,
		Packed:   packed(tst, "large", from+1, value),
	}, clk.Now())
	bat, ok := one.Changes(from)
	qt.Assert(tst, ok, qt.IsTrue)
	qt.Check(tst, bat.Packed, qt.HasLen, 0)
	qt.Check(tst, bat.Since, qt.Equals, from+1, qt.Commentf("the receiver sees a gap"))
}

// TestRetriesAreSpaced guards against daemons that spend the store's rate while it fails: a follower whose watches are
// cut asks again after growing pauses.
func TestRetriesAreSpaced(tst *testing.T) {
	reg := newRegistry()
	clk := clockwork.NewFakeClock()
	started(tst, reg, clk)
	eventually(tst, func() bool { return reg.made() == 1 })
	reg.setDown(true)
	for range 100 {
		clk.Advance(15 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	qt.Check(tst, reg.made() <= 8, qt.IsTrue, qt.Commentf("%d watches in 1.5 s of failure", reg.made()))
}

// TestOldListIsBroughtUpToDate guards against a daemon that counts an old list as current, or asks the store for what
// another daemon passes on in the next moment.
func TestOldListIsBroughtUpToDate(tst *testing.T) {
	reg := newRegistry()
	clk := clockwork.NewFakeClock()
	one, _ := started(tst, reg, clk)
	reg.put("s0")
	eventually(tst, func() bool { return one.Revision() == 2 })
	before := reg.made()
	two, cop := startedStale(tst, reg, clk)
	qt.Check(tst, two.Heard().IsZero(), qt.IsTrue)
	qt.Check(tst, cop.version("s0"), qt.Equals, uint64(0))
	feed(tst, clk, one, two)
	eventually(tst, func() bool { return cop.version("s0") == 2 })
	qt.Check(tst, two.Heard(), qt.Equals, clk.Now())
	qt.Check(tst, reg.made()-before <= 1, qt.IsTrue)

	alone, cop := startedStale(tst, reg, clk)
	eventually(tst, func() bool {
		clk.Advance(100 * time.Millisecond)
		return cop.version("s0") == 2
	})
	qt.Check(tst, alone.Heard().IsZero(), qt.IsFalse)
}

// Replays an outage of eight seconds (kamau-mesh, trouble-3, seed 1): whenever the store returns, the next call comes soon
// enough for a change to be known within three seconds, of which a call that hangs takes one.
func TestPausesOfAnOutageAreShort(tst *testing.T) {
	clk := clockwork.NewFakeClock()
	calls := make(chan time.Time, 1000)
	list := func(context.Context, string) ([]objects.Object, uint64, error) {
		calls <- clk.Now()
		return nil, 0, objects.ErrUnavailable
	}
	fol := follow.New(follow.Config{
		Kind:     "servers",
		Gather:   func() time.Duration { return 0 },
		Fed:      func() bool { return false },
		Patience: func() time.Duration { return 0 },
		Stale:    func() bool { return false },
	}, objects.Store{
		List:      list,
		ListStale: list,
	}, func([]objects.Object, bool) {}, clk, zap.NewNop())
	ctx, cancel := context.WithCancel(tst.Context())
	defer cancel()
	go fol.Run(ctx)
	last := <-calls
	for end := clk.Now().Add(60 * time.Second); clk.Now().Before(end); {
		qt.Assert(tst, clk.BlockUntilContext(ctx, 1), qt.IsNil)
		clk.Advance(50 * time.Millisecond)
		select {
		case last = <-calls:
		case <-time.After(time.Millisecond):
		}
		qt.Assert(tst, clk.Since(last) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", clk.Since(last)))
	}
}
