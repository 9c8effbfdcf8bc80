package site

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/logging"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/promptcrash"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/relay"
	"github.com/cumintally/cumintally/internal/serverpath"
)

const (
	// frameKindCrashes is the kind of the frames that carry a crashMessage. Daemons of versions without it ignore them.
	frameKindCrashes = "Crashes"
	// blockedObjectName is the name of the object that holds what is blocked.
	blockedObjectName = "blocked"
	// blockedInterval is the time between two checks whether the stored copy of what is blocked is current.
	blockedInterval = time.Second
	// blockedRepeatInterval is the time between two messages that repeat all that is blocked, for peers that lack some of it. A
	// new link starts with such a message.
	blockedRepeatInterval = 10 * time.Second
	// maxStoredRequests bounds the size of that object.
	maxStoredRequests = 1000
)

// crashMessage is what daemons tell each other about prompt parts that crash backend servers. It is encoded with field
// names, so that fields can be added.
type crashMessage struct {
	Crashes   []promptcrash.Crash
	Survivals []promptcrash.Survival
	Blocked   []promptcrash.Combination
}

func (msg *crashMessage) empty() bool {
	return len(msg.Crashes) == 0 && len(msg.Survivals) == 0 && len(msg.Blocked) == 0
}

// blockedRecord is the stored value of the object that holds what is blocked, so that daemons know it after all of them
// have started again. The ages in it are those at SavedAt, in Unix milliseconds.
type blockedRecord struct {
	SavedAt      int64
	Combinations []promptcrash.Combination
	// Requests holds, for each request that is quarantined as a whole, the crashes that suffice for it.
	Requests []quarantine.Crash
	// Crashes are the evidence on parts that are held.
	Crashes []promptcrash.Crash
}

// crashExchange collects the evidence on requests that crash backend servers, exchanges it with the other daemons and, while
// this daemon holds the lease, stores what is blocked.
type crashExchange struct {
	stc *storeCache
	pst objects.Store
	les *lease.Lease
	trk *promptcrash.Tracker
	qua *quarantine.Quarantine
	chk *crashChecks
	clk clockwork.Clock
	log *zap.Logger

	// urgent has an element if a crash is to be sent at once.
	urgent    chan struct{}
	crashes   *broadcastBuffer[promptcrash.Crash]
	survivals *broadcastBuffer[promptcrash.Survival]
	// requests holds the same crashes as evidence on whole requests, also on those without shared parts.
	requests *broadcastBuffer[quarantine.Crash]
	// found holds the combinations that have been blocked.
	found *broadcastBuffer[promptcrash.Combination]

	mu sync.Mutex
	// blockedSentAt is when the other daemons were last told all that is blocked.
	blockedSentAt time.Time
}

// crashProgress holds the numbers of the latest facts that a peer has been sent.
type crashProgress struct {
	crashes   uint64
	survivals uint64
	found     uint64
}

func newCrashExchange(
	stc *storeCache,
	pst objects.Store,
	les *lease.Lease,
	trk *promptcrash.Tracker,
	qua *quarantine.Quarantine,
	sel *serverpath.Selector,
	msh *peer.Mesh,
	clk clockwork.Clock,
	log *zap.Logger,
) *crashExchange {
	cex := &crashExchange{
		stc:       stc,
		pst:       pst,
		les:       les,
		trk:       trk,
		qua:       qua,
		clk:       clk,
		log:       log.Named("crashes"),
		urgent:    make(chan struct{}, 1),
		crashes:   newBroadcastBuffer[promptcrash.Crash](clk),
		survivals: newBroadcastBuffer[promptcrash.Survival](clk),
		requests:  newBroadcastBuffer[quarantine.Crash](clk),
		found:     newBroadcastBuffer[promptcrash.Combination](clk),
	}
	cex.chk = newCrashChecks(stc.registry.View, sel.Probe, cex.countCrash, clk, cex.log)
	stc.serversChanged = func() { cex.chk.review(clk.Now()) }
	trk.DaemonCount = stc.daemonCount
	trk.ReportBlocked = func(cmb promptcrash.Combination) {
		cex.log.Warn("prompt parts crash backend servers; requests with them are rejected",
			zap.String("model", cmb.Model), zap.Strings("promptParts", cmb.Parts))
		cex.tellBlocked(cmb)
	}
	msh.Handle(frameKindCrashes, func(_ context.Context, from peer.Identity, body []byte) (any, error) {
		var msg crashMessage
		if err := peer.Decode(body, &msg); err != nil {
			return nil, errors.Trace(err)
		}
		cex.receive(from, msg)
		return nil, nil
	})
	return cex
}

// blockedFor returns the time for which a request must not run, 0 if it may.
func (cex *crashExchange) blockedFor(idn relay.Identity, now time.Time) time.Duration {
	if cex.qua.CrashCount(idn.Fingerprint, now) >= crashesToQuarantine {
		return quarantine.Period
	}
	return cex.trk.Blocks(idn.Model, idn.SharedParts, now)
}

// recordCrash adds a crash that this daemon observed, once it is known to be one.
func (cex *crashExchange) recordCrash(crs relay.Crash, now time.Time) {
	cex.chk.record(crs, now)
}

// countCrash adds a crash that this daemon observed when the connection broke at the given time.
func (cex *crashExchange) countCrash(crs relay.Crash, brokeAt time.Time) {
	now := cex.clk.Now()
	age := max(0, now.Sub(brokeAt))
	whole := quarantine.Crash{
		Fingerprint: crs.Request.Fingerprint,
		Event:       crs.Event,
		Age:         age,
	}
	if cex.qua.RecordCrash(whole, now) {
		told := cex.requests.add(whole, age)
		cex.log.Info("a request broke the connection to a backend server", zap.String("fingerprint", string(whole.Fingerprint)),
			zap.String("event", whole.Event), zap.Bool("told", told))
	}
	observed := promptcrash.Crash{
		Model:   crs.Request.Model,
		Parts:   crs.Request.SharedParts,
		Request: string(crs.Request.Fingerprint),
		Event:   crs.Event,
		SentAge: now.Sub(crs.SentAt),
		Age:     age,
	}
	if cex.trk.RecordCrash(observed, now) {
		told := cex.crashes.add(observed, age)
		cex.sendSoon()
		cex.log.Info("a backend server crashed before a request wrote its response", zap.String("model", observed.Model),
			zap.Strings("promptParts", observed.Parts), zap.String("fingerprint", observed.Request), zap.String("event", observed.Event),
			zap.Duration("sentBefore", observed.SentAge), zap.Bool("told", told))
	}
}

// sendSoon makes the next message to the other daemons leave at once.
func (cex *crashExchange) sendSoon() {
	select {
	case cex.urgent <- struct{}{}:
	default:
	}
}

// tellBlocked tells the other daemons at once that a combination is blocked.
func (cex *crashExchange) tellBlocked(cmb promptcrash.Combination) {
	cex.found.add(cmb, cmb.Age)
	cex.sendSoon()
}

// recordSurvival adds the survival of a request that this daemon observed.
func (cex *crashExchange) recordSurvival(idn relay.Identity, now time.Time) {
	observed := promptcrash.Survival{
		Model: idn.Model,
		Parts: idn.SharedParts,
	}
	if cex.trk.RecordSurvival(observed, now) {
		cex.survivals.add(observed, 0)
	}
}

// receive processes the message of another daemon. A daemon that forwards passes on what is new to it.
func (cex *crashExchange) receive(from peer.Identity, msg crashMessage) {
	now := cex.clk.Now()
	forwards := cex.stc.forwards.Load()
	for _, crs := range msg.Crashes {
		cex.receiveWhole(quarantine.Crash{
			Fingerprint: quarantine.Fingerprint(crs.Request),
			Event:       crs.Event,
			Age:         crs.Age,
		})
		if !cex.trk.RecordCrash(crs, now) {
			continue
		}
		for _, srv := range cex.trk.OwnSurvivals(crs, now) {
			cex.survivals.add(srv, srv.Age)
		}
		if forwards {
			cex.crashes.add(crs, crs.Age)
			cex.sendSoon()
		}
	}
	for _, srv := range msg.Survivals {
		if cex.trk.ReceiveSurvival(srv, now) && forwards {
			cex.survivals.add(srv, srv.Age)
		}
	}
	for _, cmb := range msg.Blocked {
		if cex.trk.RecordBlocked(cmb, now) {
			cex.log.Warn("another daemon reports prompt parts that crash backend servers", zap.String("peer", from.Name),
				zap.String("model", cmb.Model), zap.Strings("promptParts", cmb.Parts), zap.Duration("age", cmb.Age))
			if forwards {
				cex.tellBlocked(cmb)
			}
		}
	}
}

// receiveWhole adds a crash that another daemon observed to the evidence on whole requests.
func (cex *crashExchange) receiveWhole(crs quarantine.Crash) {
	if crs.Fingerprint != "" && cex.qua.RecordCrash(crs, cex.clk.Now()) && cex.stc.forwards.Load() {
		cex.requests.add(crs, crs.Age)
	}
}

// message returns the next message to a daemon that has been sent the facts up to sent, and the progress after it. The
// message also lists blocked, all that is blocked, unless it is empty.
func (cex *crashExchange) message(sent crashProgress, blocked []promptcrash.Combination) (crashMessage, crashProgress) {
	var msg crashMessage
	var next crashProgress
	next.crashes = cex.crashes.forEachAfter(sent.crashes, func(crs promptcrash.Crash, age time.Duration) {
		crs.SentAge += age - crs.Age
		crs.Age = age
		msg.Crashes = append(msg.Crashes, crs)
	})
	next.survivals = cex.survivals.forEachAfter(sent.survivals, func(srv promptcrash.Survival, age time.Duration) {
		srv.Age = age
		msg.Survivals = append(msg.Survivals, srv)
	})
	next.found = cex.found.forEachAfter(sent.found, func(cmb promptcrash.Combination, age time.Duration) {
		cmb.Age = age
		msg.Blocked = append(msg.Blocked, cmb)
	})
	if len(blocked) > 0 {
		msg.Blocked = blocked
	}
	return msg, next
}

// takeBlocked returns all that is blocked if the other daemons are to be told again.
func (cex *crashExchange) takeBlocked() []promptcrash.Combination {
	now := cex.clk.Now()
	cex.mu.Lock()
	isDue := now.Sub(cex.blockedSentAt) >= blockedRepeatInterval
	if isDue {
		cex.blockedSentAt = now
	}
	cex.mu.Unlock()
	if !isDue {
		return nil
	}
	return cex.trk.Blocked(now)
}

// run loads what is blocked from the store, and stores it whenever it changes while this daemon holds the lease, until ctx
// ends.
func (cex *crashExchange) run(ctx context.Context) {
	stored, version := blockedRecord{}, uint64(0)
	loaded, loadedIn := false, uint64(0)
	for ; ctx.Err() == nil; sleep(ctx, cex.clk, blockedInterval) {
		cex.chk.review(cex.clk.Now())
		// A store that was restored from a copy may have lost what was stored.
		if era := cex.pst.CurrentEra(); !loaded || era != loadedIn {
			var err error
			if stored, version, err = cex.load(ctx); err != nil {
				cex.log.Warn("cannot load the blocked requests; will retry", logging.Error(err))
				continue
			}
			loaded, loadedIn = true, era
		}
		if !cex.les.Held() {
			continue
		}
		known := cex.record()
		if known.sameAs(stored) {
			continue
		}
		ver, err := cex.store(ctx, known, version)
		if err != nil {
			// Another daemon may have stored what this one does not know yet.
			loaded = false
			cex.log.Warn("cannot store the blocked requests; will retry", logging.Error(err))
			continue
		}
		stored, version = known, ver
	}
}

// load reads what is blocked from the store and adds it to what this daemon knows.
func (cex *crashExchange) load(ctx context.Context) (blockedRecord, uint64, error) {
	var rec blockedRecord
	obj, err := cex.pst.Get(ctx, objects.KindQuarantine, blockedObjectName)
	if errors.Is(err, objects.ErrNotFound) {
		return rec, 0, nil
	}
	if err != nil {
		return rec, 0, errors.Trace(err)
	}
	if err := json.Unmarshal(obj.Value, &rec); err != nil {
		return rec, 0, errors.Annotate(err, "decode the blocked requests")
	}
	now := cex.clk.Now()
	// The clocks of VMs differ.
	elapsed := max(0, now.Sub(time.UnixMilli(rec.SavedAt)))
	for _, cmb := range rec.Combinations {
		cmb.Age += elapsed
		cex.trk.RecordBlocked(cmb, now)
	}
	for _, crs := range rec.Requests {
		crs.Age += elapsed
		cex.qua.RecordCrash(crs, now)
	}
	for _, crs := range rec.Crashes {
		crs.Age += elapsed
		crs.SentAge += elapsed
		cex.trk.RestoreCrash(crs, now)
	}
	cex.log.Info("loaded the blocked requests", zap.Int("crashes", len(rec.Crashes)),
		zap.Int("combinations", len(rec.Combinations)), zap.Int("requests", len(rec.Requests)/crashesToQuarantine))
	return rec, obj.Version, nil
}

// store writes what is blocked, on condition that the object still has the given version.
func (cex *crashExchange) store(ctx context.Context, rec blockedRecord, version uint64) (uint64, error) {
	val, err := json.Marshal(rec)
	if err != nil {
		return 0, errors.Trace(err)
	}
	ver, err := cex.pst.Put(ctx, objects.KindQuarantine, blockedObjectName, version, val)
	if err != nil {
		return 0, errors.Trace(err)
	}
	cex.log.Info("stored the blocked requests", zap.Int("crashes", len(rec.Crashes)), zap.Uint64("version", ver),
		zap.Int("combinations", len(rec.Combinations)), zap.Int("requests", len(rec.Requests)/crashesToQuarantine))
	return ver, nil
}

// record returns what is blocked, in a fixed order.
func (cex *crashExchange) record() blockedRecord {
	now := cex.clk.Now()
	return blockedRecord{
		SavedAt:      now.UnixMilli(),
		Combinations: cex.trk.Blocked(now),
		Requests:     cex.quarantinedRequests(now),
		Crashes:      cex.trk.HeldEvidence(now),
	}
}

// quarantinedRequests returns crashesToQuarantine crashes of each request that is quarantined as a whole, in a fixed order, of
// at most maxStoredRequests requests.
func (cex *crashExchange) quarantinedRequests(now time.Time) []quarantine.Crash {
	crashes := cex.qua.Crashes(now)
	slices.SortFunc(crashes, func(lhs, rhs quarantine.Crash) int {
		return cmp.Or(cmp.Compare(lhs.Fingerprint, rhs.Fingerprint), cmp.Compare(lhs.Event, rhs.Event))
	})
	var all []quarantine.Crash
	for idx := range crashes {
		// A request is quarantined if the last of its first crashes is known.
		last := idx + crashesToQuarantine - 1
		isFirst := idx == 0 || crashes[idx-1].Fingerprint != crashes[idx].Fingerprint
		if isFirst && last < len(crashes) && crashes[last].Fingerprint == crashes[idx].Fingerprint {
			all = append(all, crashes[idx:last+1]...)
		}
	}
	return all[:min(len(all), maxStoredRequests*crashesToQuarantine)]
}

// sameAs reports whether two records block the same for the same reasons, whatever its age.
func (rec blockedRecord) sameAs(other blockedRecord) bool {
	return slices.EqualFunc(rec.Combinations, other.Combinations, func(lhs, rhs promptcrash.Combination) bool {
		return lhs.Model == rhs.Model && slices.Equal(lhs.Parts, rhs.Parts)
	}) && slices.EqualFunc(rec.Requests, other.Requests, func(lhs, rhs quarantine.Crash) bool {
		return lhs.Fingerprint == rhs.Fingerprint && lhs.Event == rhs.Event
	}) && slices.EqualFunc(rec.Crashes, other.Crashes, func(lhs, rhs promptcrash.Crash) bool {
		return lhs.Event == rhs.Event && lhs.Request == rhs.Request
	})
}
