package booking

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/objects"
)

const (
	// maxWrites bounds the attempts to write one batch when other daemons change the bucket meanwhile.
	maxWrites = 16
	// writeBurst is the number of writes of a bucket that may follow each other without BatchTime between
	// them: a call on an idle bucket needs one write to reserve its key and one for its result.
	writeBurst = 2
	// readFirst is the contention above which a bucket is read before it is written. A conflict costs a
	// write and a read, and the platform allows several times more reads than writes.
	readFirst = 0.1
	// contentionWeight is the weight of the latest write in the contention; one conflict makes the next
	// four writes read first.
	contentionWeight = 0.25
)

// lane serializes this daemon's writes of one bucket; operations that wait for a write share the next one.
type lane struct {
	led  *Ledger
	name string

	mu      sync.Mutex
	waiting []*pending
	running bool

	// The fields below belong to the goroutine of run.

	// content is the bucket as of version; nil says that it must be read.
	content *bucket
	version uint64
	// contention is a moving average of how often another daemon had changed the bucket between two writes.
	contention float64
	// budgetTime is the time up to which the budget of writes is spent.
	budgetTime time.Time
}

// pending is an operation that waits for its write.
type pending struct {
	ctx context.Context
	opn operation
	// tried says that a write with this operation was begun, so that it may have taken effect.
	tried bool
	done  chan reply
}

// do applies an operation in the next write of the bucket.
func (lan *lane) do(ctx context.Context, opn operation) reply {
	pnd := &pending{
		ctx:  ctx,
		opn:  opn,
		done: make(chan reply, 1),
	}
	lan.mu.Lock()
	lan.waiting = append(lan.waiting, pnd)
	if !lan.running {
		lan.running = true
		go lan.run()
	}
	lan.mu.Unlock()
	select {
	case rpl := <-pnd.done:
		return rpl
	case <-ctx.Done():
		return reply{Outcome: outcomeUnsettled}
	}
}

func (lan *lane) run() {
	for {
		lan.pace()
		lan.mu.Lock()
		batch := lan.waiting
		lan.waiting = nil
		if len(batch) == 0 {
			lan.running = false
			lan.mu.Unlock()
			return
		}
		lan.mu.Unlock()
		lan.write(batch)
	}
}

// pace waits until the budget of one write per BatchTime allows another one.
func (lan *lane) pace() {
	next := lan.budgetTime.Add(-(writeBurst - 1) * lan.led.cfg.BatchTime)
	if now := lan.led.clk.Now(); next.After(now) {
		lan.led.clk.Sleep(next.Sub(now))
	}
}

// yield waits a random part of BatchTime after a conflict, since two daemons that write at the same pace
// would otherwise meet again at every write.
func (lan *lane) yield() {
	if most := int64(lan.led.cfg.BatchTime / 2); most > 0 {
		lan.led.clk.Sleep(time.Duration(rand.Int64N(most)))
	}
}

func (lan *lane) spend() {
	if now := lan.led.clk.Now(); lan.budgetTime.Before(now) {
		lan.budgetTime = now
	}
	lan.budgetTime = lan.budgetTime.Add(lan.led.cfg.BatchTime)
}

// write applies a batch by one conditional update, repeated while other daemons change the bucket.
func (lan *lane) write(batch []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), lan.led.cfg.ReserveTimeout)
	defer cancel()
	fresh := false
	if lan.contention > readFirst {
		lan.content = nil
	}
	for range maxWrites {
		batch = withoutEnded(batch)
		if len(batch) == 0 {
			return
		}
		if lan.content == nil {
			if err := lan.read(ctx); err != nil {
				lan.fail(batch, err)
				return
			}
			fresh = true
		}
		next, rpls, changed := lan.apply(batch)
		if !changed {
			if !fresh && anyRejects(rpls) {
				// Another daemon may have changed these records since they were read.
				lan.content = nil
				continue
			}
			answer(batch, rpls)
			return
		}
		err := lan.put(ctx, next, batch)
		switch {
		case err == nil:
			answer(batch, rpls)
			return
		case errors.Is(err, objects.ErrConflict), errors.Is(err, objects.ErrUnknownOutcome):
			// Reading the bucket again shows by the tokens which operations took effect.
			lan.content = nil
			lan.pace()
			lan.yield()
		default:
			lan.fail(batch, err)
			return
		}
	}
	lan.fail(batch, objects.ErrUnknownOutcome)
}

func (lan *lane) apply(batch []*pending) (*bucket, []reply, bool) {
	now := lan.led.clk.Now()
	next := lan.content.clone()
	next.expire(now, lan.led.cfg.KeepFor)
	rpls := make([]reply, len(batch))
	changed := false
	for idx, pnd := range batch {
		rpl, chg := next.apply(pnd.opn, now, lan.led.cfg.KeepFor)
		rpls[idx] = rpl
		changed = changed || chg
	}
	return next, rpls, changed
}

func (lan *lane) read(ctx context.Context) error {
	lan.led.met.reads.Inc(1)
	obj, err := lan.led.pst.Get(ctx, objects.KindBucket, lan.name)
	if errors.Is(err, objects.ErrNotFound) {
		lan.content = newBucket()
		lan.version = 0
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	bkt, err := decodeBucket(obj.Value)
	if err != nil {
		lan.led.log.Error("cannot read a bucket", zap.String("bucket", lan.name), zap.Error(err))
		return errors.Annotate(objects.ErrUnavailable, err.Error())
	}
	lan.observe(obj.Version != lan.version)
	lan.content = bkt
	lan.version = obj.Version
	return nil
}

func (lan *lane) put(ctx context.Context, next *bucket, batch []*pending) error {
	val, err := next.encode()
	if err != nil {
		return errors.Annotate(objects.ErrUnavailable, err.Error())
	}
	for _, pnd := range batch {
		pnd.tried = true
	}
	lan.spend()
	lan.led.met.writes.Inc(1)
	ver, err := lan.led.pst.Put(ctx, objects.KindBucket, lan.name, lan.version, val)
	if errors.Is(err, objects.ErrConflict) {
		lan.observe(true)
		lan.led.met.conflicts.Inc(1)
	}
	if err != nil {
		return errors.Trace(err)
	}
	lan.content = next
	lan.version = ver
	return nil
}

// observe takes note of whether another daemon had changed the bucket.
func (lan *lane) observe(changed bool) {
	lan.contention *= 1 - contentionWeight
	if changed {
		lan.contention += contentionWeight
	}
}

// fail answers a batch that was not confirmed.
func (lan *lane) fail(batch []*pending, err error) {
	lan.content = nil
	lan.led.log.Debug("cannot write a bucket", zap.String("bucket", lan.name), zap.Error(err))
	for _, pnd := range batch {
		rpl := reply{Outcome: outcomeNotWritten}
		if pnd.tried {
			rpl.Outcome = outcomeUnsettled
		}
		pnd.done <- rpl
	}
}

// withoutEnded drops the operations that nobody waits for; their senders have answered for them.
func withoutEnded(batch []*pending) []*pending {
	var rest []*pending
	for _, pnd := range batch {
		if pnd.ctx.Err() == nil {
			rest = append(rest, pnd)
		}
	}
	return rest
}

func anyRejects(rpls []reply) bool {
	for _, rpl := range rpls {
		if rpl.rejects() {
			return true
		}
	}
	return false
}

func answer(batch []*pending, rpls []reply) {
	for idx, pnd := range batch {
		pnd.done <- rpls[idx]
	}
}
