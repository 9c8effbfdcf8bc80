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

// Record is the value of the object Lease/<name>. Its fields are encoded as JSON under their names.
type Record struct {
	Holder string
	// Instance identifies the holder's process: a process that was replaced under the same daemon name, and may
	// only be paused, does not share the lease of its successor.
	Instance string
	Epoch    uint64
	Duration time.Duration
	// Renewal changes with every write, so that other daemons see that the holder is alive.
	Renewal uint64
}

// Lease is one daemon's handle on a lease.
type Lease struct {
	name     string
	holder   string
	instance string
	duration time.Duration
	store    objects.Store
	clock    clockwork.Clock

	// callsMu serializes Acquire and Release: a renewal whose response arrives after a release would make this
	// daemon the holder again.
	callsMu sync.Mutex

	mu   sync.Mutex
	held bool
	// renewedAt is the time before the last successful write was sent; the lease counts from it. renewedEra is the era of
	// the store in which it was written.
	renewedAt  time.Time
	renewedEra uint64
	epoch      uint64
	// written and writtenVersion are the record that this daemon wrote last and its version, 0 if another
	// record may have been written since.
	written        Record
	writtenVersion uint64
	// observedVersion is the version of the record that was last read or announced, and observedAt the time since
	// which that version is known or, if it was announced, at which the holder wrote it.
	observedVersion uint64
	observedAt      time.Time
	// announcedVersion is the version that the holder last announced, and announcedAt the time at which it
	// wrote it.
	announcedVersion uint64
	announcedAt      time.Time
	// observedEra is the latest era of the store in which the record was read.
	observedEra uint64
	// lastReadFailed is set when the last read failed; takeoverNotBefore is the time from which another
	// daemon's lease may be acquired.
	lastReadFailed    bool
	takeoverNotBefore time.Time
}

// New returns a handle on the lease called name for the daemon called holder.
func New(name, holder string, duration time.Duration, store objects.Store, clock clockwork.Clock) *Lease {
	return &Lease{
		name:     name,
		holder:   holder,
		instance: uuid.NewString(),
		duration: duration,
		store:    store,
		clock:    clock,
	}
}

// Held reports whether this daemon holds the lease now. It counts only three quarters of the duration and keeps the
// rest in reserve. A lease ends when the store is restored from a copy, which may lack it.
func (les *Lease) Held() bool {
	les.mu.Lock()
	defer les.mu.Unlock()
	return les.inForce() && les.renewedEra == les.store.CurrentEra()
}

// inForce reports whether the last renewal still counts in the era in which it was written. The caller holds the lock.
func (les *Lease) inForce() bool {
	return les.held && les.clock.Since(les.renewedAt) < les.duration*3/4
}

// Epoch returns the epoch in which this daemon last held the lease. The epoch of the first holder is 1.
func (les *Lease) Epoch() uint64 {
	les.mu.Lock()
	defer les.mu.Unlock()
	return les.epoch
}

// Acquire acquires or renews the lease if that is allowed. It must be called more often than once per duration.
func (les *Lease) Acquire(ctx context.Context) error {
	les.callsMu.Lock()
	defer les.callsMu.Unlock()
	if les.renewedRecently() {
		return nil
	}
	if les.Held() {
		if own, ver := les.lastWritten(); ver > 0 {
			own.Renewal++
			err := les.write(ctx, ver, own)
			if objects.EraOf(ver) == les.store.CurrentEra() {
				return errors.Trace(err)
			}
			// The store was restored, as its response tells: the record is read at once, while the lease is in force.
		}
	}
	obj, err := les.store.Get(ctx, objects.KindLease, les.name)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		les.mu.Lock()
		les.lastReadFailed = true
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
		Epoch:    les.nextEpoch(rec, obj.Version),
		Duration: les.duration,
		Renewal:  rec.Renewal + 1,
	}
	return les.write(ctx, obj.Version, next)
}

// nextEpoch returns the epoch in which this daemon may write the lease over the record rec of the given version. It exceeds
// all epochs that other daemons have used. After a restore the record may lack the latest of them, but they are lower
// than any version of the new era.
func (les *Lease) nextEpoch(rec Record, version uint64) uint64 {
	les.mu.Lock()
	defer les.mu.Unlock()
	era := les.observedEra
	if rec.Instance == les.instance && les.renewedEra == era {
		return rec.Epoch
	}
	if era == 0 {
		return rec.Epoch + 1
	}
	return max(rec.Epoch, version, objects.VersionIn(era, 0)) + 1
}

// renewedRecently reports whether this daemon renewed the lease less than a quarter of the duration ago, so that no
// renewal is due.
func (les *Lease) renewedRecently() bool {
	held := les.Held()
	les.mu.Lock()
	defer les.mu.Unlock()
	return held && les.clock.Since(les.renewedAt) < les.duration/4
}

// lastWritten returns the record that this daemon wrote last and its version, 0 if it may be outdated.
func (les *Lease) lastWritten() (Record, uint64) {
	les.mu.Lock()
	defer les.mu.Unlock()
	return les.written, les.writtenVersion
}

// LastRenewal returns the version of the record that this daemon wrote last and the time from which the lease
// counts, and false while this daemon does not hold the lease.
func (les *Lease) LastRenewal() (uint64, time.Time, bool) {
	held := les.Held()
	les.mu.Lock()
	defer les.mu.Unlock()
	return les.writtenVersion, les.renewedAt, held && les.writtenVersion > 0
}

// RecordAnnouncement records an announcement that the holder wrote version at the time renewed.
func (les *Lease) RecordAnnouncement(version uint64, renewed time.Time) {
	les.mu.Lock()
	defer les.mu.Unlock()
	if version <= les.observedVersion {
		return
	}
	les.observedVersion = version
	les.observedAt = renewed
	les.announcedAt = renewed
	les.announcedVersion = version
}

// AnnouncedRenewal returns the version of the lease's record that the holder last announced and the time at which it
// was written, and false if no write within the duration was announced.
func (les *Lease) AnnouncedRenewal() (uint64, time.Time, bool) {
	les.mu.Lock()
	defer les.mu.Unlock()
	return les.announcedVersion, les.announcedAt, les.announcedVersion > 0 && les.clock.Since(les.announcedAt) < les.duration
}

// Duration returns the time for which a renewal is valid.
func (les *Lease) Duration() time.Duration {
	return les.duration
}

// observe records when the record last changed and reports whether this daemon may write it.
func (les *Lease) observe(obj objects.Object) (Record, bool) {
	les.mu.Lock()
	defer les.mu.Unlock()
	var rec Record
	unreadable := obj.Version == 0 || json.Unmarshal(obj.Value, &rec) != nil
	if obj.Version != les.observedVersion {
		les.observedVersion = obj.Version
		les.observedAt = les.clock.Now()
	}
	if era := les.store.CurrentEra(); era != les.observedEra {
		les.observedEra = era
		if les.inForce() {
			// The other daemons wait for the lease of the former era to end.
			return rec, true
		}
		les.takeoverNotBefore = les.clock.Now().Add(les.duration)
	}
	if unreadable {
		return rec, !les.clock.Now().Before(les.takeoverNotBefore)
	}
	if rec.Instance == les.instance {
		return rec, les.renewedEra == les.observedEra || !les.clock.Now().Before(les.takeoverNotBefore)
	}
	les.held = false
	if les.lastReadFailed {
		// The holder could not renew during the outage either. It gets a quarter of the duration to renew
		// first, since a new holder would have to wait until the orders of the old one have expired.
		les.lastReadFailed = false
		les.takeoverNotBefore = les.clock.Now().Add(les.duration / 4)
	}
	if les.clock.Now().Before(les.takeoverNotBefore) {
		return rec, false
	}
	return rec, rec.Holder == "" || les.clock.Since(les.observedAt) > max(rec.Duration, les.duration)
}

// write writes a record if the stored version is the expected one, and updates whether this daemon holds the lease.
func (les *Lease) write(ctx context.Context, expected uint64, rec Record) error {
	val, err := json.Marshal(rec)
	if err != nil {
		return errors.Trace(err)
	}
	before := les.clock.Now()
	ver, err := les.store.Put(ctx, objects.KindLease, les.name, expected, val)
	les.mu.Lock()
	defer les.mu.Unlock()
	les.written, les.writtenVersion = rec, ver
	if err != nil {
		les.writtenVersion = 0
		// After an unknown outcome the next Acquire reads the store to find out who holds the lease, and also after a
		// conflict with a store that was restored: no other daemon can have acquired the lease yet.
		if errors.Is(err, objects.ErrConflict) && les.renewedEra == les.store.CurrentEra() {
			les.held = false
		}
		return errors.Trace(err)
	}
	les.held = true
	les.renewedAt = before
	les.renewedEra = objects.EraOf(ver)
	les.epoch = rec.Epoch
	return nil
}

// Release releases the lease so that another daemon can acquire it at once.
func (les *Lease) Release(ctx context.Context) error {
	les.callsMu.Lock()
	defer les.callsMu.Unlock()
	if !les.Held() {
		return nil
	}
	obj, err := les.store.Get(ctx, objects.KindLease, les.name)
	if err != nil {
		return errors.Trace(err)
	}
	var rec Record
	if err := json.Unmarshal(obj.Value, &rec); err != nil || rec.Instance != les.instance {
		return nil
	}
	les.mu.Lock()
	les.held = false
	les.writtenVersion = 0
	les.mu.Unlock()
	rec.Holder = ""
	rec.Instance = ""
	val, err := json.Marshal(rec)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = les.store.Put(ctx, objects.KindLease, les.name, obj.Version, val)
	return errors.Trace(err)
}
