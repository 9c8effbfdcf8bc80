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
	// maxWriteAttempts bounds the attempts to write one batch while other daemons change the bucket.
	maxWriteAttempts = 16
	// writeBurst is the number of consecutive writes of a bucket that are allowed without BatchTime between
	// them: a call on an idle bucket needs one write to reserve its key and one to store its result.
	writeBurst = 2
	// readFirstContention is the contention above which a bucket is read again before it is written. A conflict
	// costs a write and a read, and the platform allows several times more reads than writes.
	readFirstContention = 0.1
	// contentionWeight is the weight of the latest observation in the moving average of the contention. With this
	// weight, the four writes after one observed change read the bucket first. A conflict counts as two observations,
	// at the write and at the read that follows, so that the six writes after it read the bucket first.
	contentionWeight = 0.25
)

// bucketWriter serializes this daemon's writes of one bucket. All operations that wait for a write share the next
// one.
type bucketWriter struct {
	led  *Ledger
	name string

	mu      sync.Mutex
	waiting []*pendingOperation
	running bool

	// Only the goroutine of run uses the fields below.

	// content is the bucket at version; nil means that it must be read.
	content *bucket
	version uint64
	// contention is a moving average, from 0 to 1, of how often another daemon changed the bucket between two writes.
	contention float64
	// budgetTime is the time up to which the write budget is spent: each write advances it by BatchTime.
	budgetTime time.Time
}

// pendingOperation is an operation that waits for its write.
type pendingOperation struct {
	ctx context.Context
	opn operation
	// attempted means that a write with this operation was started, so the operation may have taken effect.
	attempted bool
	done      chan reply
}

// do adds an operation to the next write of the bucket and waits for the reply.
func (bwr *bucketWriter) do(ctx context.Context, opn operation) reply {
	pnd := &pendingOperation{
		ctx:  ctx,
		opn:  opn,
		done: make(chan reply, 1),
	}
	bwr.mu.Lock()
	bwr.waiting = append(bwr.waiting, pnd)
	if !bwr.running {
		bwr.running = true
		go bwr.run()
	}
	bwr.mu.Unlock()
	select {
	case rpl := <-pnd.done:
		return rpl
	case <-ctx.Done():
		return reply{Outcome: outcomeUnknown}
	}
}

func (bwr *bucketWriter) run() {
	for {
		bwr.waitForBudget()
		bwr.mu.Lock()
		batch := bwr.waiting
		bwr.waiting = nil
		if len(batch) == 0 {
			bwr.running = false
			bwr.mu.Unlock()
			return
		}
		bwr.mu.Unlock()
		bwr.writeBatch(batch)
	}
}

// waitForBudget waits until the budget of one write per BatchTime allows another write.
func (bwr *bucketWriter) waitForBudget() {
	next := bwr.budgetTime.Add(-(writeBurst - 1) * bwr.led.cfg.BatchTime)
	if now := bwr.led.clk.Now(); next.After(now) {
		bwr.led.clk.Sleep(next.Sub(now))
	}
}

// backOff waits for a random time of up to half of BatchTime after a conflict. Otherwise two daemons that write at
// the same rate would conflict again at every write.
func (bwr *bucketWriter) backOff() {
	if maxWait := int64(bwr.led.cfg.BatchTime / 2); maxWait > 0 {
		bwr.led.clk.Sleep(time.Duration(rand.Int64N(maxWait)))
	}
}

func (bwr *bucketWriter) spendBudget() {
	if now := bwr.led.clk.Now(); bwr.budgetTime.Before(now) {
		bwr.budgetTime = now
	}
	bwr.budgetTime = bwr.budgetTime.Add(bwr.led.cfg.BatchTime)
}

// writeBatch applies a batch with one conditional update and retries it while other daemons change the bucket.
func (bwr *bucketWriter) writeBatch(batch []*pendingOperation) {
	ctx, cancel := context.WithTimeout(context.Background(), bwr.led.cfg.ReserveTimeout)
	defer cancel()
	fresh := false
	if bwr.contention > readFirstContention {
		bwr.content = nil
	}
	for range maxWriteAttempts {
		batch = withoutCancelled(batch)
		if len(batch) == 0 {
			return
		}
		if bwr.content == nil {
			if err := bwr.readBucket(ctx); err != nil {
				bwr.replyFailed(batch, err)
				return
			}
			fresh = true
		}
		next, rpls, changed := bwr.applyBatch(batch)
		if !changed {
			if !fresh && anyRejected(rpls) {
				// Another daemon may have changed these records since this daemon read them.
				bwr.content = nil
				continue
			}
			sendReplies(batch, rpls)
			return
		}
		err := bwr.putBucket(ctx, next, batch)
		switch {
		case err == nil:
			sendReplies(batch, rpls)
			return
		case errors.Is(err, objects.ErrConflict), errors.Is(err, objects.ErrUnknownOutcome):
			// After the bucket is read again, the tokens in its records show which operations took effect.
			bwr.content = nil
			bwr.waitForBudget()
			bwr.backOff()
		default:
			bwr.replyFailed(batch, err)
			return
		}
	}
	bwr.replyFailed(batch, objects.ErrUnknownOutcome)
}

func (bwr *bucketWriter) applyBatch(batch []*pendingOperation) (*bucket, []reply, bool) {
	now := bwr.led.clk.Now()
	next := bwr.content.clone()
	next.expire(now, bwr.led.cfg.Retention)
	rpls := make([]reply, len(batch))
	changed := false
	for idx, pnd := range batch {
		rpl, chg := next.apply(pnd.opn, now, bwr.led.cfg.Retention)
		rpls[idx] = rpl
		changed = changed || chg
	}
	return next, rpls, changed
}

func (bwr *bucketWriter) readBucket(ctx context.Context) error {
	bwr.led.met.reads.Inc(1)
	obj, err := bwr.led.pst.Get(ctx, objects.KindBucket, bwr.name)
	if errors.Is(err, objects.ErrNotFound) {
		bwr.content = newBucket()
		bwr.version = 0
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	bkt, err := decodeBucket(obj.Value)
	if err != nil {
		bwr.led.log.Error("failed to decode a bucket", zap.String("bucket", bwr.name), zap.Error(err))
		return errors.Annotate(objects.ErrUnavailable, err.Error())
	}
	bwr.recordContention(obj.Version != bwr.version)
	bwr.content = bkt
	bwr.version = obj.Version
	return nil
}

func (bwr *bucketWriter) putBucket(ctx context.Context, next *bucket, batch []*pendingOperation) error {
	val, err := next.encode()
	if err != nil {
		return errors.Annotate(objects.ErrUnavailable, err.Error())
	}
	for _, pnd := range batch {
		pnd.attempted = true
	}
	bwr.spendBudget()
	bwr.led.met.writes.Inc(1)
	ver, err := bwr.led.pst.Put(ctx, objects.KindBucket, bwr.name, bwr.version, val)
	if errors.Is(err, objects.ErrConflict) {
		bwr.recordContention(true)
		bwr.led.met.conflicts.Inc(1)
	}
	if err != nil {
		return errors.Trace(err)
	}
	bwr.content = next
	bwr.version = ver
	return nil
}

// recordContention updates the contention with whether another daemon changed the bucket.
func (bwr *bucketWriter) recordContention(changed bool) {
	bwr.contention *= 1 - contentionWeight
	if changed {
		bwr.contention += contentionWeight
	}
}

// replyFailed replies to a batch that the platform did not confirm.
func (bwr *bucketWriter) replyFailed(batch []*pendingOperation, err error) {
	bwr.content = nil
	bwr.led.log.Debug("failed to apply a batch to a bucket", zap.String("bucket", bwr.name), zap.Error(err))
	for _, pnd := range batch {
		rpl := reply{Outcome: outcomeNotWritten}
		if pnd.attempted {
			rpl.Outcome = outcomeUnknown
		}
		pnd.done <- rpl
	}
}

// withoutCancelled drops the operations whose context has ended. The method do returns outcomeUnknown for them, so
// nobody waits for their replies.
func withoutCancelled(batch []*pendingOperation) []*pendingOperation {
	var rest []*pendingOperation
	for _, pnd := range batch {
		if pnd.ctx.Err() == nil {
			rest = append(rest, pnd)
		}
	}
	return rest
}

func anyRejected(rpls []reply) bool {
	for _, rpl := range rpls {
		if rpl.isRejection() {
			return true
		}
	}
	return false
}

func sendReplies(batch []*pendingOperation, rpls []reply) {
	for idx, pnd := range batch {
		pnd.done <- rpls[idx]
	}
}
