package booking

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
)

const (
	// Kind is the kind of the peer call that sends an operation to a bucket's owner.
	Kind = "Reserve"
	// ownerTimeoutDivisor sets the timeout of the call to a bucket's owner: ReserveTimeout divided by it. The rest of
	// ReserveTimeout is left for this daemon to write the bucket itself.
	ownerTimeoutDivisor = 3
	// maxCallerDelay bounds how long Finish and Release delay the response to the caller.
	maxCallerDelay = 500 * time.Millisecond
	// maxRetryTime bounds how long a result or a release is retried in the background.
	maxRetryTime = 2 * time.Minute
	// minRetryDelay is the first delay between two attempts; it doubles up to maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxBackgroundOperations bounds the results and releases that wait for the platform, and so their memory use.
	maxBackgroundOperations = 4096
)

// Config holds the ledger's limits and timeouts.
type Config struct {
	// InitialBuckets is the number of buckets in a new environment.
	InitialBuckets int
	// BatchTime is the minimum mean time between two writes of a bucket by one daemon.
	BatchTime time.Duration
	// ReserveTimeout bounds a reservation; a platform that takes longer counts as unavailable.
	ReserveTimeout time.Duration
	// MaxResultSize is the maximum size in bytes of a response body that is stored.
	MaxResultSize int
	// Retention is the retention time of results, counted from the reservation of their keys.
	Retention time.Duration
}

// Peers gives access to the other daemons of the zone.
type Peers struct {
	// Self is the name of this daemon.
	Self string
	// Owner returns the daemon that owns an object, given its kind and name as "Bucket/7". An empty name means
	// that no owner is known.
	Owner func(key string) peer.Identity
	// Call sends a request to a peer and decodes the response into reply.
	Call func(ctx context.Context, address, kind string, body, reply any) error
}

// Reservation is the result of reserving a key for one request.
type Reservation struct {
	// Result is the stored response if the key has one; the caller then does not hold the key.
	Result *Result
	// RetryAt is set with ErrBucketFull: the time at which the bucket may have space again, or zero if no record will
	// expire.
	RetryAt time.Time
	opn     operation
}

// Ledger reserves idempotency keys and stores the results of their calls.
type Ledger struct {
	cfg Config
	pst objects.Store
	prs Peers
	clk clockwork.Clock
	log *zap.Logger
	met counters

	layout               atomic.Int64
	backgroundOperations atomic.Int64
	background           sync.WaitGroup

	mu      sync.Mutex
	writers map[int]*bucketWriter
}

type counters struct {
	operations metrics.Counter
	reads      metrics.Counter
	writes     metrics.Counter
	conflicts  metrics.Counter
}

// New returns a ledger that stores its buckets in pst.
func New(cfg Config, pst objects.Store, prs Peers, clk clockwork.Clock, reg metrics.Registry, log *zap.Logger) *Ledger {
	return &Ledger{
		cfg: cfg,
		pst: pst,
		prs: prs,
		clk: clk,
		log: log.Named("booking"),
		met: counters{
			operations: metrics.GetOrRegisterCounter("BookingOperations", reg),
			reads:      metrics.GetOrRegisterCounter("BookingReads", reg),
			writes:     metrics.GetOrRegisterCounter("BookingWrites", reg),
			conflicts:  metrics.GetOrRegisterCounter("BookingConflicts", reg),
		},
		writers: map[int]*bucketWriter{},
	}
}

// HandleOperation applies an operation received from a peer that considers this daemon the bucket's owner.
func (led *Ledger) HandleOperation(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
	var opn operation
	if err := peer.Decode(body, &opn); err != nil {
		return nil, errors.Trace(err)
	}
	num, err := led.buckets(ctx)
	if err != nil {
		return reply{Outcome: outcomeNotWritten}, nil
	}
	if opn.Bucket < 0 || opn.Bucket >= num {
		return nil, errors.Errorf("bucket %d is outside 0 to %d", opn.Bucket, num-1)
	}
	ctx, cancel := context.WithTimeout(ctx, led.cfg.ReserveTimeout)
	defer cancel()
	return led.writer(opn.Bucket).do(ctx, opn), nil
}

// Reserve reserves a key for the call with the given fingerprint. The call may be sent only if Reserve returns a
// reservation without a result and no error. Equal keys in different scopes are independent; each caller has its
// own scope.
func (led *Ledger) Reserve(ctx context.Context, scope, key string, fingerprint []byte) (Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, led.cfg.ReserveTimeout)
	defer cancel()
	num, err := led.buckets(ctx)
	if err != nil {
		return Reservation{}, errors.Trace(err)
	}
	sum := sha256.Sum256([]byte(strconv.Itoa(len(scope)) + ":" + scope + key))
	opn := operation{
		Verb: verbReserve,
		// The bucket number uses bytes of the hash that are not part of the name. The first 8 bytes of the name remain
		// as the key's hash after expiry.
		Bucket:      int(binary.BigEndian.Uint64(sum[24:]) % uint64(num)),
		Name:        base64.RawURLEncoding.EncodeToString(sum[:16]),
		Token:       newToken(),
		Fingerprint: base64.RawURLEncoding.EncodeToString(fingerprint[:min(16, len(fingerprint))]),
	}
	rpl := led.submit(ctx, opn)
	switch rpl.Outcome {
	case outcomeDone:
		return Reservation{opn: opn}, nil
	case outcomeStored:
		return Reservation{Result: rpl.Result}, nil
	case outcomeInUse:
		return Reservation{}, errors.Trace(ErrInProgress)
	case outcomeMismatch:
		return Reservation{}, errors.Trace(ErrContentMismatch)
	case outcomeExpired:
		return Reservation{}, errors.Trace(ErrExpired)
	case outcomeFull:
		return Reservation{RetryAt: rpl.RoomAt}, errors.Trace(ErrBucketFull)
	case outcomeUnknown:
		// The platform may store a record for this request, although its call will never be sent.
		led.applyInBackground(operation{
			Verb:   verbRelease,
			Bucket: opn.Bucket,
			Name:   opn.Name,
			Token:  opn.Token,
		})
		return Reservation{}, errors.Trace(ErrUnavailable)
	default:
		return Reservation{}, errors.Trace(ErrUnavailable)
	}
}

// Finish stores the response of a call that ran. It returns once the response is stored, or after maxCallerDelay.
// In the latter case the write is retried in the background, and a repeated call gets ErrInProgress until it
// succeeds.
func (led *Ledger) Finish(rsv Reservation, status int, contentType string, body []byte) {
	res := &Result{
		Status:      status,
		ContentType: contentType,
		Body:        body,
	}
	if len(body) > led.cfg.MaxResultSize || len(contentType) > maxContentType {
		res = res.withoutBody()
	}
	led.waitForCompletion(led.applyInBackground(operation{
		Verb:   verbFinish,
		Bucket: rsv.opn.Bucket,
		Name:   rsv.opn.Name,
		Token:  rsv.opn.Token,
		Result: res,
	}))
}

// Release releases a key. It must be called only if no byte of the call has been sent and none will be sent.
func (led *Ledger) Release(rsv Reservation) {
	led.waitForCompletion(led.applyInBackground(operation{
		Verb:   verbRelease,
		Bucket: rsv.opn.Bucket,
		Name:   rsv.opn.Name,
		Token:  rsv.opn.Token,
	}))
}

// Drain waits until all results and releases in the background are written or abandoned, or until ctx ends.
func (led *Ledger) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		led.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// applyInBackground applies an operation in the background and retries it for up to maxRetryTime. The returned
// channel is closed when the operation is applied, abandoned or dropped because too many operations are waiting.
func (led *Ledger) applyInBackground(opn operation) <-chan struct{} {
	done := make(chan struct{})
	if led.backgroundOperations.Add(1) > maxBackgroundOperations {
		led.backgroundOperations.Add(-1)
		led.log.Error("too many results and releases are waiting for the platform; dropped one, its key stays reserved without a result", zap.String("record", opn.Name))
		close(done)
		return done
	}
	led.background.Go(func() {
		defer led.backgroundOperations.Add(-1)
		defer close(done)
		led.applyWithRetries(opn)
	})
	return done
}

func (led *Ledger) applyWithRetries(opn operation) {
	deadline := led.clk.Now().Add(maxRetryTime)
	delay := minRetryDelay
	for {
		ctx, cancel := context.WithTimeout(context.Background(), led.cfg.ReserveTimeout)
		rpl := led.submit(ctx, opn)
		cancel()
		if rpl.Outcome == outcomeDone || rpl.Outcome == outcomeGone {
			return
		}
		if led.clk.Now().After(deadline) {
			led.log.Error("timed out writing a record; its key stays reserved without a result",
				zap.String("record", opn.Name),
				zap.String("operation", string(opn.Verb)),
			)
			return
		}
		led.clk.Sleep(delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

func (led *Ledger) waitForCompletion(done <-chan struct{}) {
	select {
	case <-done:
	case <-led.clk.After(maxCallerDelay):
	}
}

// submit sends an operation to the bucket's owner. If the call fails or times out, this daemon writes the bucket
// itself.
func (led *Ledger) submit(ctx context.Context, opn operation) reply {
	led.met.operations.Inc(1)
	own := led.prs.Owner(objects.KindBucket + "/" + strconv.Itoa(opn.Bucket))
	if own.Name == "" || own.Name == led.prs.Self {
		return led.writer(opn.Bucket).do(ctx, opn)
	}
	ownerCtx, cancel := context.WithTimeout(ctx, led.cfg.ReserveTimeout/ownerTimeoutDivisor)
	defer cancel()
	var rpl reply
	if err := led.prs.Call(ownerCtx, own.Address, Kind, opn, &rpl); err == nil {
		return rpl
	}
	// The owner may still write this operation. Both writes contain the same token, so at most one record results.
	rpl = led.writer(opn.Bucket).do(ctx, opn)
	if rpl.Outcome == outcomeNotWritten {
		rpl.Outcome = outcomeUnknown
	}
	return rpl
}

func (led *Ledger) writer(num int) *bucketWriter {
	led.mu.Lock()
	defer led.mu.Unlock()
	bwr, ok := led.writers[num]
	if !ok {
		bwr = &bucketWriter{
			led:  led,
			name: strconv.Itoa(num),
		}
		led.writers[num] = bwr
	}
	return bwr
}

func newToken() string {
	raw := make([]byte, 16)
	_, _ = rand.Read(raw) // crypto/rand.Read never returns an error.
	return base64.RawURLEncoding.EncodeToString(raw)
}
