package lease

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/cumintally/cumintally/internal/objects"
	standin "github.com/cumintally/cumintally/internal/standin/platform"
)

const duration = 4 * time.Second

// TestOneHolder guards against two daemons that both count as the holder, whatever pauses, lost responses and
// outages occur.
func TestOneHolder(tst *testing.T) {
	cases := 0
	rapid.Check(tst, func(rpd *rapid.T) {
		cases++
		checkOneHolder(rpd)
	})
	if os.Getenv("CUMINTALLY_PROVE") != "" {
		fmt.Printf("invariant=one-lease-holder cases=%d violations=0\n", cases)
	}
}

// checkOneHolder makes random calls of three daemons with pauses, lost responses and outages, and checks after each
// step that at most one daemon holds the lease.
func checkOneHolder(rpd *rapid.T) {
	ctx := context.Background()
	clk := clockwork.NewFakeClock()
	pst := standin.NewStore().ObjectStore()
	var leases []*Lease
	check := func() {
		held := 0
		for _, les := range leases {
			if les.Held() {
				held++
			}
		}
		if held > 1 {
			rpd.Fatalf("%d daemons hold the lease", held)
		}
	}
	var step func(depth int)
	// pause lets time pass, and other daemons act, in the middle of a call.
	pause := func(depth int) {
		for range rapid.IntRange(0, 3).Draw(rpd, "meanwhile") {
			clk.Advance(time.Duration(rapid.IntRange(0, 6000).Draw(rpd, "pause")) * time.Millisecond)
			check()
			if depth == 0 {
				step(depth + 1)
			}
		}
	}
	depth := 0
	busy := -1
	delayed := pst
	delayed.Put = func(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
		outcome := rapid.SampledFrom([]string{"fast", "fast", "slow", "lost", "out"}).Draw(rpd, "fate")
		if outcome == "out" {
			return 0, objects.ErrUnavailable
		}
		if outcome == "slow" {
			pause(depth)
		}
		ver, err := pst.Put(ctx, kind, name, expected, value)
		if outcome == "slow" {
			pause(depth)
		}
		if outcome == "lost" {
			return 0, objects.ErrUnknownOutcome
		}
		return ver, err
	}
	for idx := range 3 {
		leases = append(leases, New("zone", fmt.Sprintf("entry-%d", idx), duration, delayed, clk))
	}
	step = func(now int) {
		idx := rapid.IntRange(0, 2).Draw(rpd, "daemon")
		if idx == busy {
			return
		}
		depth = now
		if now == 0 {
			busy = idx
			defer func() { busy = -1 }()
		}
		les := leases[idx]
		if rapid.IntRange(0, 9).Draw(rpd, "release") == 0 {
			_ = les.Release(ctx)
		} else {
			_ = les.Acquire(ctx)
		}
		depth = 0
		check()
	}
	for range rapid.IntRange(1, 40).Draw(rpd, "steps") {
		clk.Advance(time.Duration(rapid.IntRange(0, 2500).Draw(rpd, "advance")) * time.Millisecond)
		check()
		step(0)
	}
}

// TestPauseEndsHolding guards against a holder that continues after a pause longer than its lease.
func TestPauseEndsHolding(tst *testing.T) {
	clk := clockwork.NewFakeClock()
	pst := standin.NewStore().ObjectStore()
	fst := New("zone", "entry-1", duration, pst, clk)
	snd := New("zone", "entry-2", duration, pst, clk)
	qt.Assert(tst, fst.Acquire(tst.Context()), qt.IsNil)
	qt.Assert(tst, fst.Held(), qt.IsTrue)
	qt.Assert(tst, snd.Acquire(tst.Context()), qt.IsNil)
	qt.Assert(tst, snd.Held(), qt.IsFalse)
	clk.Advance(duration + time.Millisecond)
	qt.Assert(tst, fst.Held(), qt.IsFalse)
	qt.Assert(tst, snd.Acquire(tst.Context()), qt.IsNil)
	qt.Assert(tst, snd.Held(), qt.IsTrue)
	qt.Assert(tst, snd.Epoch(), qt.Equals, uint64(2))
	qt.Assert(tst, fst.Acquire(tst.Context()), qt.IsNil)
	qt.Assert(tst, fst.Held(), qt.IsFalse)
}

// TestLostWriteResponse guards against a lease that nobody holds after the response to its first write is lost.
func TestLostWriteResponse(tst *testing.T) {
	clk := clockwork.NewFakeClock()
	pst := standin.NewStore().ObjectStore()
	lossy := pst
	lossy.Put = func(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
		_, _ = pst.Put(ctx, kind, name, expected, value)
		return 0, objects.ErrUnknownOutcome
	}
	les := New("zone", "entry-1", duration, lossy, clk)
	qt.Assert(tst, errors.Is(les.Acquire(tst.Context()), objects.ErrUnknownOutcome), qt.IsTrue)
	qt.Assert(tst, les.Held(), qt.IsFalse)
	les.store = pst
	qt.Assert(tst, les.Acquire(tst.Context()), qt.IsNil)
	qt.Assert(tst, les.Held(), qt.IsTrue)
	qt.Assert(tst, les.Epoch(), qt.Equals, uint64(1))
}

// TestReplacedUnderSameName guards against a paused process that shares the lease of the process that replaced it
// under the same daemon name.
func TestReplacedUnderSameName(tst *testing.T) {
	clk := clockwork.NewFakeClock()
	pst := standin.NewStore().ObjectStore()
	old := New("zone", "entry-1", duration, pst, clk)
	qt.Assert(tst, old.Acquire(tst.Context()), qt.IsNil)
	successor := New("zone", "entry-1", duration, pst, clk)
	qt.Assert(tst, successor.Acquire(tst.Context()), qt.IsNil)
	qt.Assert(tst, successor.Held(), qt.IsFalse)
	qt.Assert(tst, old.Release(tst.Context()), qt.IsNil)
	qt.Assert(tst, successor.Acquire(tst.Context()), qt.IsNil)
	qt.Assert(tst, successor.Held(), qt.IsTrue)
}

// TestHolderRenewsFirstAfterOutage guards against a change of the lease holder after each outage, since a new
// holder waits until the orders of the previous one have expired.
func TestHolderRenewsFirstAfterOutage(tst *testing.T) {
	clk := clockwork.NewFakeClock()
	pst := standin.NewStore().ObjectStore()
	out := false
	flaky := pst
	flaky.Get = func(ctx context.Context, kind, name string) (objects.Object, error) {
		if out {
			return objects.Object{}, objects.ErrUnavailable
		}
		return pst.Get(ctx, kind, name)
	}
	fst := New("zone", "entry-1", duration, flaky, clk)
	snd := New("zone", "entry-2", duration, flaky, clk)
	qt.Assert(tst, fst.Acquire(tst.Context()), qt.IsNil)
	qt.Assert(tst, snd.Acquire(tst.Context()), qt.IsNil)
	out = true
	clk.Advance(2 * duration)
	qt.Assert(tst, snd.Acquire(tst.Context()), qt.ErrorIs, objects.ErrUnavailable)
	out = false
	qt.Assert(tst, snd.Acquire(tst.Context()), qt.IsNil)
	qt.Assert(tst, snd.Held(), qt.IsFalse)
	clk.Advance(duration / 8)
	qt.Assert(tst, fst.Acquire(tst.Context()), qt.IsNil)
	qt.Assert(tst, fst.Held(), qt.IsTrue)
	// This rule does not keep the lease with a holder that no longer renews it.
	clk.Advance(duration + duration/4)
	qt.Assert(tst, snd.Acquire(tst.Context()), qt.IsNil)
	clk.Advance(duration + time.Millisecond)
	qt.Assert(tst, snd.Acquire(tst.Context()), qt.IsNil)
	qt.Assert(tst, snd.Held(), qt.IsTrue)
}

// TestRenewalCostsOneCall guards against a read of the store before each renewal.
func TestRenewalCostsOneCall(tst *testing.T) {
	clk := clockwork.NewFakeClock()
	pst := standin.NewStore().ObjectStore()
	reads := 0
	counted := pst
	counted.Get = func(ctx context.Context, kind, name string) (objects.Object, error) {
		reads++
		return pst.Get(ctx, kind, name)
	}
	les := New("zone", "entry-1", duration, counted, clk)
	for range 5 {
		qt.Assert(tst, les.Acquire(tst.Context()), qt.IsNil)
		qt.Assert(tst, les.Held(), qt.IsTrue)
		clk.Advance(duration / 4)
	}
	qt.Check(tst, reads, qt.Equals, 1)
}

// TestAnnouncedRenewal guards against a lease that is acquired before it expires, or later than it expires,
// by a daemon that knows of the renewals only from the holder's announcements.
func TestAnnouncedRenewal(tst *testing.T) {
	clk := clockwork.NewFakeClock()
	pst := standin.NewStore().ObjectStore()
	fst := New("zone", "entry-1", duration, pst, clk)
	snd := New("zone", "entry-2", duration, pst, clk)
	qt.Assert(tst, fst.Acquire(tst.Context()), qt.IsNil)
	ver, renewed, held := fst.LastRenewal()
	qt.Assert(tst, held, qt.IsTrue)
	snd.RecordAnnouncement(ver, renewed)
	announcedVer, announced, valid := snd.AnnouncedRenewal()
	qt.Check(tst, valid, qt.IsTrue)
	qt.Check(tst, announcedVer, qt.Equals, ver)
	qt.Check(tst, announced, qt.Equals, renewed)
	clk.Advance(duration)
	qt.Assert(tst, snd.Acquire(tst.Context()), qt.IsNil)
	qt.Check(tst, snd.Held(), qt.IsFalse)
	clk.Advance(time.Millisecond)
	qt.Assert(tst, snd.Acquire(tst.Context()), qt.IsNil)
	qt.Check(tst, snd.Held(), qt.IsTrue)
	_, _, held = fst.LastRenewal()
	qt.Check(tst, held, qt.IsFalse)
}
