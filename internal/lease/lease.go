package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/objects"
)

// Record is the value of the object Lease/<zone>.
type Record struct {
	Holder string
	// Instance is the holder's process: a process that was replaced under the same name, and is perhaps
	// only paused, does not share the lease of its successor.
	Instance string
	Epoch    uint64
	Duration time.Duration
	// Renewal changes with every write, so that a watcher sees that the holder lives.
	Renewal uint64
}

// Lease is one daemon's part in the lease of a zone.
type Lease struct {
	zone     string
	holder   string
	instance string
	duration time.Duration
	pst      objects.Store
	clk      clockwork.Clock

	// calls keeps Acquire and Release apart: a renewal whose answer comes after a release would bring the
	// lease back.
	calls sync.Mutex

	mu       sync.Mutex
	held     bool
	heldFrom time.Time
	epoch    uint64
	// own and ownVersion are the record that this daemon wrote last, version 0 where another may have been written since.
	own        Record
	ownVersion uint64
	// seen is the version of the record that was last seen or told of, since seenAt.
	seen   uint64
	seenAt time.Time
	// toldVersion is the version that the holder last told of, and told when it wrote it.
	toldVersion uint64
	told        time.Time
	// failed says that the last read failed; notBefore is when another daemon's lease may be taken over.
	failed    bool
	notBefore time.Time
}

// New returns a lease on a zone for the daemon named holder.
func New(zone, holder string, duration time.Duration, pst objects.Store, clk clockwork.Clock) *Lease {
	return &Lease{
		zone:     zone,
		holder:   holder,
		instance: uuid.NewString(),
		duration: duration,
		pst:      pst,
		clk:      clk,
	}
}

// Held reports whether this daemon holds the lease now; it keeps a quarter of the duration in reserve.
func (les *Lease) Held() bool {
	les.mu.Lock()
	defer les.mu.Unlock()
	return les.held && les.clk.Since(les.heldFrom) < les.duration*3/4
}

// Epoch returns the epoch in which this daemon last held the lease; it is 1 for the zone's first holder.
func (les *Lease) Epoch() uint64 {
	les.mu.Lock()
	defer les.mu.Unlock()
	return les.epoch
}

// Acquire takes or renews the lease if that is allowed; it must be called more often than the duration.
func (les *Lease) Acquire(ctx context.Context) error {
	les.calls.Lock()
	defer les.calls.Unlock()
	if les.fresh() {
		return nil
	}
	if les.Held() {
		if own, ver := les.lastWritten(); ver > 0 {
			own.Renewal++
			return les.write(ctx, ver, own)
		}
	}
	obj, err := les.pst.Get(ctx, objects.KindLease, les.zone)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		les.mu.Lock()
		les.failed = true
		les.mu.Unlock()
		return errors.Trace(err)
	}
	rec, free := les.observe(obj)
	if !free {
		return nil
	}
	next := Record{
		Holder:   les.holder,
		Instance: les.instance,
		Epoch:    rec.Epoch,
		Duration: les.duration,
		Renewal:  rec.Renewal + 1,
	}
	if rec.Instance != les.instance {
		next.Epoch++
	}
	return les.write(ctx, obj.Version, next)
}

// fresh reports whether the lease is too young to be renewed.
func (les *Lease) fresh() bool {
	les.mu.Lock()
	defer les.mu.Unlock()
	return les.held && les.clk.Since(les.heldFrom) < les.duration/4
}

func (les *Lease) lastWritten() (Record, uint64) {
	les.mu.Lock()
	defer les.mu.Unlock()
	return les.own, les.ownVersion
}

// Renewal returns the version of the record that this daemon wrote last and when the lease counts from, and false
// while it does not hold the lease.
func (les *Lease) Renewal() (uint64, time.Time, bool) {
	held := les.Held()
	les.mu.Lock()
	defer les.mu.Unlock()
	return les.ownVersion, les.heldFrom, held && les.ownVersion > 0
}

// Tell notes that the holder said that it has written version at the time renewed.
func (les *Lease) Tell(version uint64, renewed time.Time) {
	les.mu.Lock()
	defer les.mu.Unlock()
	if version <= les.seen {
		return
	}
	les.seen = version
	les.seenAt = renewed
	les.told = renewed
	les.toldVersion = version
}

// Told returns the version of the lease's record and when it was written by the holder's own word, and false if no
// holder said so within the duration.
func (les *Lease) Told() (uint64, time.Time, bool) {
	les.mu.Lock()
	defer les.mu.Unlock()
	return les.toldVersion, les.told, les.toldVersion > 0 && les.clk.Since(les.told) < les.duration
}

// Duration returns the time for which a renewal counts.
func (les *Lease) Duration() time.Duration {
	return les.duration
}

// observe notes when the record last changed and reports whether this daemon may write it.
func (les *Lease) observe(obj objects.Object) (Record, bool) {
	les.mu.Lock()
	defer les.mu.Unlock()
	var rec Record
	if obj.Version == 0 || json.Unmarshal(obj.Value, &rec) != nil {
		return rec, true
	}
	if obj.Version != les.seen {
		les.seen = obj.Version
		les.seenAt = les.clk.Now()
	}
	if rec.Instance == les.instance {
		return rec, true
	}
	les.held = false
	if les.failed {
		// The holder could not renew in an outage either. It gets the time to renew first, since a new
		// holder would have to wait for the orders of the old one.
		les.failed = false
		les.notBefore = les.clk.Now().Add(les.duration / 4)
	}
	if les.clk.Now().Before(les.notBefore) {
		return rec, false
	}
	return rec, rec.Holder == "" || les.clk.Since(les.seenAt) > max(rec.Duration, les.duration)
}

func (les *Lease) write(ctx context.Context, expected uint64, rec Record) error {
	val, err := json.Marshal(rec)
	if err != nil {
		return errors.Trace(err)
	}
	before := les.clk.Now()
	ver, err := les.pst.Put(ctx, objects.KindLease, les.zone, expected, val)
	les.mu.Lock()
	defer les.mu.Unlock()
	les.own, les.ownVersion = rec, ver
	if err != nil {
		les.ownVersion = 0
		// After an unknown outcome the next Acquire reads back who holds the lease.
		if errors.Is(err, objects.ErrConflict) {
			les.held = false
		}
		return errors.Trace(err)
	}
	les.held = true
	les.heldFrom = before
	les.epoch = rec.Epoch
	return nil
}

// Release gives the lease up so that another daemon can take it at once.
func (les *Lease) Release(ctx context.Context) error {
	les.calls.Lock()
	defer les.calls.Unlock()
	if !les.Held() {
		return nil
	}
	obj, err := les.pst.Get(ctx, objects.KindLease, les.zone)
	if err != nil {
		return errors.Trace(err)
	}
	var rec Record
	if err := json.Unmarshal(obj.Value, &rec); err != nil || rec.Instance != les.instance {
		return nil
	}
	les.mu.Lock()
	les.held = false
	les.ownVersion = 0
	les.mu.Unlock()
	rec.Holder = ""
	rec.Instance = ""
	val, err := json.Marshal(rec)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = les.pst.Put(ctx, objects.KindLease, les.zone, obj.Version, val)
	return errors.Trace(err)
}
