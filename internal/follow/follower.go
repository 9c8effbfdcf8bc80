package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/logging"
	"github.com/cumintally/cumintally/internal/objects"
)

const (
	// leastPause and mostPause bound the pause after a failed call, which is drawn up to half longer. A call that hangs until
	// its timeout of a second and the longest pause after it leave half a second of the three within which daemons must
	// know a change after an outage.
	leastPause = 100 * time.Millisecond
	mostPause  = 800 * time.Millisecond
	// keptPosition is the time without the store after which the position of a watch is taken to be too old.
	keptPosition = 1600 * time.Millisecond
	// ownInterval is the time in which a daemon that is fed notices that it has to watch the store itself: a part of
	// the time in which a new holder of the lease acts.
	ownInterval = 100 * time.Millisecond
	// firstFeed is the time after a stale list in which another daemon brings it up to date.
	firstFeed = time.Second
	// confirmShare is the part of Trust for which the store holds the watch of a daemon that feeds others: what remains
	// covers the way over two hubs and a daemon that takes over.
	confirmShare = 0.35
	// answerTime is the part of a watch's deadline in which the store answers; it holds the call for the rest.
	answerTime = 500 * time.Millisecond
)

// Config is what to follow.
type Config struct {
	Kind string
	// Gather returns the pause after changes came, so that a burst of changes costs few calls.
	Gather func() time.Duration
	// Trust is the time for which a copy that another daemon feeds counts as current since the store confirmed it.
	Trust time.Duration
	// Fed reports whether the daemons feed each other.
	Fed func() bool
	// Patience returns the age at which this daemon asks the store although it is fed; 0 makes it watch all the time.
	Patience func() time.Duration
	// Stale reports whether the first list may be seconds old; the feed or a watch brings what it lacks.
	Stale func() bool
}

// Follower follows one kind.
type Follower struct {
	cfg  Config
	pst  objects.Store
	take func(objs []objects.Object, whole bool)
	clk  clockwork.Clock
	log  *zap.Logger
	// gap tells the loop that the feed has left out changes.
	gap chan struct{}

	mu sync.Mutex
	// revision is the one up to which the copy is complete, 0 before the first list.
	revision uint64
	history  history
	// heard is when the store last confirmed the copy, through whichever daemon, and direct when it did so to this one.
	heard  time.Time
	direct time.Time
	// fed is when the store last confirmed the copy through another daemon.
	fed time.Time
	// listedAt is when the copy was last listed.
	listedAt time.Time
	// lost is when the store first failed since it last answered, back when it answered after that.
	lost time.Time
	back time.Time
}

// New returns a follower that hands the objects to take: a whole list or changes.
func New(cfg Config, pst objects.Store, take func(objs []objects.Object, whole bool), clk clockwork.Clock, log *zap.Logger) *Follower {
	return &Follower{
		cfg:  cfg,
		pst:  pst,
		take: take,
		clk:  clk,
		log:  log.Named("follow"),
		gap:  make(chan struct{}, 1),
	}
}

// Run follows the kind until ctx ends.
func (fol *Follower) Run(ctx context.Context) {
	pause := leastPause
	current := false
	for ctx.Err() == nil {
		if fol.awaitFeed(ctx) {
			// The feed went on from the own position.
			current = true
			continue
		}
		err := fol.ask(ctx, current)
		if err == nil {
			current = true
			pause = leastPause
			continue
		}
		lost := fol.failed(ctx, err)
		// A watch that was cut can go on where it was, unless its position may be too old.
		current = current && errors.Is(err, objects.ErrUnavailable) && lost <= keptPosition
		fol.sleep(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
		pause = min(2*pause, mostPause)
	}
}

// ask lists the kind or, from a position that is current, watches it.
func (fol *Follower) ask(ctx context.Context, current bool) error {
	if !current {
		return fol.list(ctx)
	}
	since := fol.Revision()
	objs, next, err := fol.watch(ctx, since)
	if err != nil {
		return errors.Trace(err)
	}
	fol.watched(since, next, objs)
	if len(objs) > 0 {
		fol.sleep(ctx, fol.cfg.Gather())
	}
	return nil
}

func (fol *Follower) list(ctx context.Context) error {
	stale := fol.Revision() == 0 && fol.cfg.Stale()
	list := fol.pst.List
	if stale {
		list = fol.pst.ListStale
	}
	objs, rev, err := list(ctx, fol.cfg.Kind)
	if err != nil {
		return errors.Trace(err)
	}
	fol.listed(objs, rev, stale)
	return nil
}

func (fol *Follower) watch(ctx context.Context, since uint64) ([]objects.Object, uint64, error) {
	if fol.cfg.Fed() {
		// A daemon that feeds others needs confirmations well younger than Trust, also while nothing changes.
		short, cancel := context.WithTimeout(ctx, time.Duration(float64(fol.cfg.Trust)*confirmShare)+answerTime)
		defer cancel()
		ctx = short
	}
	return fol.pst.Watch(ctx, fol.cfg.Kind, since)
}

// awaitFeed waits while another daemon keeps the copy current; it reports false at once if none does.
func (fol *Follower) awaitFeed(ctx context.Context) bool {
	if !fol.cfg.Fed() {
		return false
	}
	patience := fol.cfg.Patience()
	if patience <= 0 {
		return false
	}
	fol.mu.Lock()
	left := patience - fol.clk.Since(fol.fed)
	if fol.heard.IsZero() {
		left = firstFeed - fol.clk.Since(fol.listedAt)
	}
	known := fol.revision > 0
	fol.mu.Unlock()
	if left <= 0 || !known {
		return false
	}
	select {
	case <-ctx.Done():
	case <-fol.gap:
		return false
	case <-fol.clk.After(min(left, ownInterval)):
	}
	return true
}

// Feed takes changes that another daemon sent at the time sent or later; a batch that begins after the own position is
// left to the store.
func (fol *Follower) Feed(bat Batch, sent time.Time) {
	if !fol.cfg.Fed() {
		return
	}
	fol.mu.Lock()
	defer fol.mu.Unlock()
	now := fol.clk.Now()
	heard := sent.Add(-bat.Age)
	if fol.revision == 0 || now.Sub(heard) >= fol.cfg.Trust {
		return
	}
	if bat.Since > fol.revision {
		fol.log.Info("missed changes that another daemon passed on, asks the store",
			zap.String("kind", bat.Kind), zap.Uint64("revision", fol.revision), zap.Uint64("since", bat.Since))
		select {
		case fol.gap <- struct{}{}:
		default:
		}
		return
	}
	objs, err := unpack(bat.Packed)
	if err != nil {
		fol.log.Warn("cannot read changes that another daemon passed on", zap.String("kind", bat.Kind), logging.Error(err))
		return
	}
	fol.advance(bat.Since, bat.Revision, objs)
	if bat.Revision >= fol.revision {
		fol.confirmed(heard)
		if heard.After(fol.fed) {
			fol.fed = heard
		}
	}
}

// Changes returns what another daemon lacks that is at revision rev, and false while this copy is not current.
func (fol *Follower) Changes(rev uint64) (Batch, bool) {
	fol.mu.Lock()
	defer fol.mu.Unlock()
	age := fol.clk.Since(fol.heard)
	if fol.heard.IsZero() || age >= fol.cfg.Trust {
		return Batch{}, false
	}
	bat := Batch{
		Kind:     fol.cfg.Kind,
		Since:    rev,
		Revision: fol.revision,
		Age:      age,
	}
	var ok bool
	if bat.Packed, ok = fol.history.packed(rev); !ok || rev > fol.revision {
		// The receiver notices the gap and asks the store.
		bat.Since = fol.revision
		bat.Packed = nil
	}
	return bat, true
}

// listed replaces the copy; a stale one is not confirmed by the store.
func (fol *Follower) listed(objs []objects.Object, rev uint64, stale bool) {
	fol.mu.Lock()
	defer fol.mu.Unlock()
	fol.take(objs, true)
	fol.revision = rev
	fol.history = history{}
	fol.history.add(step{
		since:    rev,
		revision: rev,
	})
	fol.listedAt = fol.clk.Now()
	if !stale {
		fol.confirmedDirectly()
	}
}

// watched applies the answer to a watch, unless the feed was faster: the next watch goes on from there.
func (fol *Follower) watched(since, next uint64, objs []objects.Object) {
	fol.mu.Lock()
	defer fol.mu.Unlock()
	fol.confirmedDirectly()
	if fol.revision == since {
		fol.advance(since, next, objs)
	}
}

func (fol *Follower) advance(since, next uint64, objs []objects.Object) {
	if next <= fol.revision {
		return
	}
	if len(objs) > 0 {
		fol.take(objs, false)
	}
	fol.history.add(step{
		since:    min(since, fol.revision),
		revision: next,
		objs:     objs,
	})
	fol.revision = next
}

func (fol *Follower) sleep(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-fol.clk.After(span):
	}
}

func (fol *Follower) confirmedDirectly() {
	fol.direct = fol.clk.Now()
	fol.confirmed(fol.direct)
}

// confirmed notes that the copy was current at the time heard.
func (fol *Follower) confirmed(heard time.Time) {
	if heard.Before(fol.heard) {
		return
	}
	if now := fol.clk.Now(); !fol.lost.IsZero() && !heard.Before(fol.lost) {
		fol.log.Info("the store answers again", zap.String("kind", fol.cfg.Kind), zap.Duration("after", now.Sub(fol.lost)))
		fol.lost = time.Time{}
		fol.back = now
	}
	fol.heard = heard
}

// failed notes a failure of the store and returns for how long it has failed.
func (fol *Follower) failed(ctx context.Context, err error) time.Duration {
	fol.mu.Lock()
	defer fol.mu.Unlock()
	if ctx.Err() != nil {
		return 0
	}
	if fol.lost.IsZero() {
		fol.lost = fol.clk.Now()
		fol.log.Warn("the store does not answer; the last copy stays in use",
			zap.String("kind", fol.cfg.Kind), zap.Time("lastAnswer", fol.heard), logging.Error(err))
	}
	return fol.clk.Since(fol.lost)
}

// Heard returns when the store last confirmed the copy, zero if it never did.
func (fol *Follower) Heard() time.Time {
	fol.mu.Lock()
	defer fol.mu.Unlock()
	return fol.heard
}

// Kind returns the kind that is followed.
func (fol *Follower) Kind() string {
	return fol.cfg.Kind
}

// Revision returns the store's revision up to which the copy is complete, 0 before the first list.
func (fol *Follower) Revision() uint64 {
	fol.mu.Lock()
	defer fol.mu.Unlock()
	return fol.revision
}

// Current returns the age of the copy: the time since the store confirmed it through whichever daemon.
func (fol *Follower) Current() time.Duration {
	fol.mu.Lock()
	defer fol.mu.Unlock()
	return fol.clk.Since(fol.heard)
}

// Direct returns when the store last confirmed the copy to this daemon itself, zero if it never did.
func (fol *Follower) Direct() time.Time {
	fol.mu.Lock()
	defer fol.mu.Unlock()
	return fol.direct
}

// Settled reports whether the store has answered for at least span without a failure.
func (fol *Follower) Settled(span time.Duration) bool {
	fol.mu.Lock()
	defer fol.mu.Unlock()
	return !fol.heard.IsZero() && fol.lost.IsZero() && (fol.back.IsZero() || fol.clk.Since(fol.back) >= span)
}
