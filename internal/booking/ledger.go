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
	// Kind is the kind of the peer call that hands an operation to a bucket's owner.
	Kind = "Reserve"
	// ownerShare is the part of ReserveTimeout that a silent owner may use up before this daemon writes itself.
	ownerShare = 3
	// settleWait bounds how long Finish and Release hold up the answer to the caller.
	settleWait = 500 * time.Millisecond
	// settleFor bounds how long a result or a release is tried again in the background.
	settleFor = 2 * time.Minute
	// settleDelay is the first delay between two tries; it doubles up to maxSettleDelay.
	settleDelay    = 100 * time.Millisecond
	maxSettleDelay = 2 * time.Second
	// maxSettling bounds the results and releases that wait for the platform, and so the memory they take.
	maxSettling = 4096
)

// Config holds the ledger's bounds.
type Config struct {
	// Buckets is the number of buckets that a new environment gets.
	Buckets int
	// BatchTime is the least mean time between two writes of a bucket by one daemon.
	BatchTime time.Duration
	// ReserveTimeout bounds a reservation; a slower platform counts as out.
	ReserveTimeout time.Duration
	// MaxResultSize is the largest response body in bytes that is stored.
	MaxResultSize int
	// KeepFor is the time for which results are kept.
	KeepFor time.Duration
}

// Peers are the calls on the other daemons of the zone.
type Peers struct {
	Self  string
	Owner func(key string) peer.Identity
	Call  func(ctx context.Context, address, kind string, body, reply any) error
}

// Reservation is a key held by one request.
type Reservation struct {
	// Result is the stored response if the key has one; the caller then holds nothing.
	Result *Result
	// RoomAt comes with ErrFull: the time when the bucket may have room, or zero if none is foreseen.
	RoomAt time.Time
	opn    operation
}

// Ledger reserves idempotency keys and keeps the results of their calls.
type Ledger struct {
	cfg Config
	pst objects.Store
	prs Peers
	clk clockwork.Clock
	log *zap.Logger
	met counters

	layout   atomic.Int64
	settling atomic.Int64
	work     sync.WaitGroup

	mu    sync.Mutex
	lanes map[int]*lane
}

type counters struct {
	operations metrics.Counter
	reads      metrics.Counter
	writes     metrics.Counter
	conflicts  metrics.Counter
}

// New returns a ledger that keeps its buckets in pst.
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
		lanes: map[int]*lane{},
	}
}

// Answer applies the operation of a peer, which takes this daemon for the bucket's owner.
func (led *Ledger) Answer(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
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
	return led.lane(opn.Bucket).do(ctx, opn), nil
}

// Reserve reserves a key for the call with the given fingerprint. The call may be sent only if Reserve
// returns a reservation without a result. scope keeps the keys of different callers apart.
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
		// The bucket comes from bytes of the hash that are no part of the name, whose first 8 remain after expiry.
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
		return Reservation{}, errors.Trace(ErrMismatch)
	case outcomeExpired:
		return Reservation{}, errors.Trace(ErrExpired)
	case outcomeFull:
		return Reservation{RoomAt: rpl.RoomAt}, errors.Trace(ErrFull)
	case outcomeUnsettled:
		// The platform may hold a record of this request, which will never be sent.
		led.settle(operation{
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

// Finish stores the response to a call that ran. It returns once the response is stored, or after a
// short time; then the write is tried again in the background and a repeated call gets ErrInProgress.
func (led *Ledger) Finish(rsv Reservation, status int, contentType string, body []byte) {
	res := &Result{
		Status:      status,
		ContentType: contentType,
		Body:        body,
	}
	if len(body) > led.cfg.MaxResultSize || len(contentType) > maxContentType {
		res = res.withoutBody()
	}
	led.await(led.settle(operation{
		Verb:   verbFinish,
		Bucket: rsv.opn.Bucket,
		Name:   rsv.opn.Name,
		Token:  rsv.opn.Token,
		Result: res,
	}))
}

// Release gives a key up. It must be called only if no byte of the call was sent and none will be.
func (led *Ledger) Release(rsv Reservation) {
	led.await(led.settle(operation{
		Verb:   verbRelease,
		Bucket: rsv.opn.Bucket,
		Name:   rsv.opn.Name,
		Token:  rsv.opn.Token,
	}))
}

// Drain waits until the results and releases in the background are written, or ctx ends.
func (led *Ledger) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		led.work.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// settle applies an operation in the background, again and again within bounds; the channel closes at its end.
func (led *Ledger) settle(opn operation) <-chan struct{} {
	done := make(chan struct{})
	if led.settling.Add(1) > maxSettling {
		led.settling.Add(-1)
		led.log.Error("too many results wait for the platform; one is not stored", zap.String("record", opn.Name))
		close(done)
		return done
	}
	led.work.Go(func() {
		defer led.settling.Add(-1)
		defer close(done)
		led.persist(opn)
	})
	return done
}

func (led *Ledger) persist(opn operation) {
	end := led.clk.Now().Add(settleFor)
	delay := settleDelay
	for {
		ctx, cancel := context.WithTimeout(context.Background(), led.cfg.ReserveTimeout)
		rpl := led.submit(ctx, opn)
		cancel()
		if rpl.Outcome == outcomeDone || rpl.Outcome == outcomeGone {
			return
		}
		if led.clk.Now().After(end) {
			led.log.Error("gave up to write a record; its key stays reserved without result",
				zap.String("record", opn.Name),
				zap.String("operation", string(opn.Verb)),
			)
			return
		}
		led.clk.Sleep(delay)
		delay = min(2*delay, maxSettleDelay)
	}
}

func (led *Ledger) await(done <-chan struct{}) {
	select {
	case <-done:
	case <-led.clk.After(settleWait):
	}
}

// submit hands an operation to the bucket's owner; if that does not answer this daemon writes the bucket itself.
func (led *Ledger) submit(ctx context.Context, opn operation) reply {
	led.met.operations.Inc(1)
	own := led.prs.Owner(objects.KindBucket + "/" + strconv.Itoa(opn.Bucket))
	if own.Name == "" || own.Name == led.prs.Self {
		return led.lane(opn.Bucket).do(ctx, opn)
	}
	limit, cancel := context.WithTimeout(ctx, led.cfg.ReserveTimeout/ownerShare)
	defer cancel()
	var rpl reply
	if err := led.prs.Call(limit, own.Address, Kind, opn, &rpl); err == nil {
		return rpl
	}
	// The owner may still write this operation. It carries the same token, so at most one record results.
	rpl = led.lane(opn.Bucket).do(ctx, opn)
	if rpl.Outcome == outcomeNotWritten {
		rpl.Outcome = outcomeUnsettled
	}
	return rpl
}

func (led *Ledger) lane(num int) *lane {
	led.mu.Lock()
	defer led.mu.Unlock()
	lan, ok := led.lanes[num]
	if !ok {
		lan = &lane{
			led:  led,
			name: strconv.Itoa(num),
		}
		led.lanes[num] = lan
	}
	return lan
}

func newToken() string {
	raw := make([]byte, 16)
	_, _ = rand.Read(raw) // crypto/rand.Read never returns an error.
	return base64.RawURLEncoding.EncodeToString(raw)
}
