package booking

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/cumintally/cumintally/internal/objects"
)

// TestConcurrentReserve guards against two daemons that both reserve the same key while replies of peers are lost,
// ownership changes, and responses to writes are lost. Such a write takes effect at once, late or never.
func TestConcurrentReserve(t *testing.T) {
	c := qt.New(t)
	fst, pst := newFaultyStore()
	clk := newAcceleratedClock()
	dms := newDaemons(3, testConfig(2, 2*time.Millisecond), pst, clk)
	const keys = 60
	var reserved [keys]atomic.Int64
	var wgr sync.WaitGroup
	for key := range keys {
		for dmn := range 3 {
			for range 2 {
				wgr.Go(func() {
					rsv, err := dms.ledger(dmn).Reserve(context.Background(), "scope", fmt.Sprint(key), []byte("content"))
					if err == nil && rsv.Result == nil {
						reserved[key].Add(1)
					}
				})
			}
		}
		fst.inject(0, putLost, putNever, putLate)
		dms.owner.Store(int64(key % 4))
		dms.loseReplies.Store(1)
		time.Sleep(time.Millisecond)
		fst.deliver()
	}
	wgr.Wait()
	total := int64(0)
	for key := range keys {
		c.Check(reserved[key].Load() <= 1, qt.IsTrue, qt.Commentf("key %d was reserved %d times", key, reserved[key].Load()))
		total += reserved[key].Load()
	}
	c.Assert(total > keys/2, qt.IsTrue, qt.Commentf("only %d of %d keys were reserved", total, keys))
}

// TestOneWritePerBatch guards against one write per operation: all waiting operations must share the next write.
func TestOneWritePerBatch(t *testing.T) {
	c := qt.New(t)
	fst, pst := newFaultyStore()
	dms := newDaemons(1, testConfig(1, 20*time.Millisecond), pst, clockwork.NewRealClock())
	start := time.Now()
	var wgr sync.WaitGroup
	for key := range 300 {
		wgr.Go(func() {
			_, err := dms.ledger(0).Reserve(context.Background(), "scope", fmt.Sprint(key), []byte("content"))
			c.Check(err, qt.IsNil)
		})
		if key%10 == 0 {
			time.Sleep(2 * time.Millisecond)
		}
	}
	wgr.Wait()
	// One write creates the layout; the bucket is allowed the burst and one write per 20 ms.
	maxWrites := int(time.Since(start)/(20*time.Millisecond)) + writeBurst + 2
	c.Assert(fst.writes <= maxWrites, qt.IsTrue, qt.Commentf("%d writes, want at most %d", fst.writes, maxWrites))
}

// TestUnavailable guards against a reservation that the platform did not confirm, and against a rejection that takes
// much longer than ReserveTimeout, while the platform does not respond to writes.
func TestUnavailable(t *testing.T) {
	c := qt.New(t)
	_, pst := newFaultyStore()
	put := pst.Put
	pst.Put = func(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
		if name == layoutName {
			return put(ctx, kind, name, expected, value)
		}
		<-ctx.Done()
		return 0, objects.ErrUnknownOutcome
	}
	cfg := testConfig(1, 0)
	cfg.ReserveTimeout = 100 * time.Millisecond
	dms := newDaemons(1, cfg, pst, newAcceleratedClock())
	start := time.Now()
	_, err := dms.ledger(0).Reserve(context.Background(), "scope", "key", []byte("content"))
	c.Assert(errors.Is(err, ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(time.Since(start) < time.Second, qt.IsTrue)
}

// TestFinishDuringOutage guards against a lost result when the platform is unavailable at the end of a call.
func TestFinishDuringOutage(t *testing.T) {
	c := qt.New(t)
	fst, pst := newFaultyStore()
	dms := newDaemons(2, testConfig(1, 0), pst, newAcceleratedClock())
	rsv, err := dms.ledger(0).Reserve(context.Background(), "scope", "key", []byte("content"))
	c.Assert(err, qt.IsNil)
	fst.inject(0, putRejected, putRejected, putNever, putLost)
	dms.ledger(0).Finish(rsv, 201, "text/plain", []byte("receipt"))
	dms.ledger(0).Drain(context.Background())
	rsv, err = dms.ledger(1).Reserve(context.Background(), "scope", "key", []byte("content"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(rsv.Result.Body), qt.Equals, "receipt")
}

// TestLargeResult guards against a response body above MaxResultSize that is stored incomplete but not marked as
// omitted.
func TestLargeResult(t *testing.T) {
	c := qt.New(t)
	_, pst := newFaultyStore()
	dms := newDaemons(1, testConfig(1, 0), pst, newAcceleratedClock())
	rsv, err := dms.ledger(0).Reserve(context.Background(), "scope", "key", []byte("content"))
	c.Assert(err, qt.IsNil)
	dms.ledger(0).Finish(rsv, 201, "text/plain", make([]byte, 1025))
	rsv, err = dms.ledger(0).Reserve(context.Background(), "scope", "key", []byte("content"))
	c.Assert(err, qt.IsNil)
	c.Assert(rsv.Result.Omitted, qt.IsTrue)
	c.Assert(rsv.Result.Body, qt.HasLen, 0)
	c.Assert(rsv.Result.Size, qt.Equals, 1025)
	c.Assert(rsv.Result.Status, qt.Equals, 201)
}

// TestLayout guards against daemons that look for the same key in different buckets because their settings have
// different numbers of buckets.
func TestLayout(t *testing.T) {
	c := qt.New(t)
	_, pst := newFaultyStore()
	for idx, num := range []int{64, 3, 1} {
		dms := newDaemons(1, testConfig(num, 0), pst, newAcceleratedClock())
		_, err := dms.ledger(0).Reserve(context.Background(), "scope", "key", []byte("content"))
		if idx == 0 {
			c.Assert(err, qt.IsNil)
			continue
		}
		c.Assert(errors.Is(err, ErrInProgress), qt.IsTrue, qt.Commentf("%d buckets: %v", num, err))
	}
}

// TestFullBucket guards against a full bucket that drops a record, loses a result, or exceeds the platform's size
// limit.
func TestFullBucket(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	keep := 24 * time.Hour
	bkt := newBucket()
	var opns []operation
	var full reply
	for idx := 0; ; idx++ {
		opn := operation{
			Verb:  verbReserve,
			Name:  fmt.Sprintf("%022d", idx),
			Token: newToken(),
		}
		rpl, _ := bkt.apply(opn, now, keep)
		if rpl.Outcome == outcomeFull {
			full = rpl
			break
		}
		opns = append(opns, opn)
	}
	c.Assert(full.RoomAt.Sub(now).Round(time.Second), qt.Equals, keep)
	for _, opn := range opns {
		opn.Verb = verbFinish
		opn.Result = &Result{Status: 201, ContentType: "text/plain", Body: make([]byte, 1000)}
		rpl, _ := bkt.apply(opn, now, keep)
		c.Assert(rpl.Outcome, qt.Equals, outcomeDone)
		c.Assert(bkt.records[opn.Name].Result.Status, qt.Equals, 201)
	}
	data, err := bkt.encode()
	c.Assert(err, qt.IsNil)
	c.Assert(len(data) <= maxBucketSize, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	bkt.expire(now.Add(keep+time.Second), keep)
	rpl, _ := bkt.apply(operation{Verb: verbReserve, Name: opns[0].Name, Token: newToken()}, now, keep)
	c.Assert(rpl.Outcome, qt.Equals, outcomeExpired)
	c.Logf("%d records without body fill a bucket", len(opns))
}

// TestBucketSize guards against a bucket whose encoded size exceeds the computed upper bound.
func TestBucketSize(t *testing.T) {
	rapid.Check(t, func(trt *rapid.T) {
		bkt := newBucket()
		now := time.Now()
		num := rapid.IntRange(0, 40).Draw(trt, "records")
		for idx := range num {
			opn := operation{
				Verb:        verbReserve,
				Name:        newToken(),
				Token:       newToken(),
				Fingerprint: newToken(),
			}
			bkt.apply(opn, now.Add(-time.Duration(idx)*time.Hour), 24*time.Hour)
			if rapid.Bool().Draw(trt, "finished") {
				opn.Verb = verbFinish
				opn.Result = &Result{
					Status:      599,
					ContentType: rapid.StringMatching(`[ -~]{0,16}`).Draw(trt, "type"),
					Body:        rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(trt, "body"),
				}
				if rapid.Bool().Draw(trt, "omitted") {
					opn.Result = opn.Result.withoutBody()
				}
				bkt.apply(opn, now, 24*time.Hour)
			}
		}
		bkt.expire(now, 24*time.Hour)
		data, err := bkt.encode()
		if err != nil || len(data) > bkt.size {
			trt.Fatalf("%d bytes exceed the bound of %d: %v", len(data), bkt.size, err)
		}
		again, err := decodeBucket(data)
		if err != nil || again.size != bkt.size || len(again.expired) != len(bkt.expired) || len(again.records) != len(bkt.records) {
			trt.Fatalf("the decoded bucket differs: %v", err)
		}
	})
}

// TestUnknownOutcomeReleased guards against a key that stays reserved although its request was rejected as not run.
// This happens if the response to the write of the reservation is lost and the reservation is not released.
func TestUnknownOutcomeReleased(t *testing.T) {
	c := qt.New(t)
	fst, pst := newFaultyStore()
	dms := newDaemons(2, testConfig(1, 0), pst, newAcceleratedClock())
	_, err := dms.ledger(0).buckets(context.Background())
	c.Assert(err, qt.IsNil)
	fst.inject(0, putLost)
	_, err = dms.ledger(0).Reserve(context.Background(), "scope", "other", []byte("content"))
	c.Assert(err, qt.IsNil, qt.Commentf("the reservation must be recognized by its token after the response was lost"))

	get := pst.Get
	pst.Get = func(ctx context.Context, kind, name string) (objects.Object, error) {
		fst.mu.Lock()
		lost := fst.writes > 2
		fst.mu.Unlock()
		if lost && name != layoutName {
			return objects.Object{}, objects.ErrUnavailable
		}
		return get(ctx, kind, name)
	}
	dms = newDaemons(1, testConfig(1, 0), pst, newAcceleratedClock())
	fst.inject(0, putLost)
	_, err = dms.ledger(0).Reserve(context.Background(), "scope", "key", []byte("content"))
	c.Assert(errors.Is(err, ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
	fst.mu.Lock()
	fst.writes = 0
	fst.mu.Unlock()
	dms.ledger(0).Drain(context.Background())
	_, err = dms.ledger(0).Reserve(context.Background(), "scope", "key", []byte("content"))
	c.Assert(err, qt.IsNil)
}

// TestReleaseAfterResult guards against a late release that removes the record of a key whose call ran.
func TestReleaseAfterResult(t *testing.T) {
	c := qt.New(t)
	bkt := newBucket()
	opn := operation{
		Verb:  verbReserve,
		Name:  newToken(),
		Token: newToken(),
	}
	for _, vrb := range []verb{verbReserve, verbFinish, verbRelease} {
		opn.Verb = vrb
		opn.Result = &Result{Status: 201, ContentType: "text/plain", Body: nil}
		rpl, _ := bkt.apply(opn, time.Now(), time.Hour)
		c.Assert(rpl.Outcome, qt.Equals, outcomeDone)
	}
	c.Assert(bkt.records[opn.Name].Result, qt.IsNotNil)
}
