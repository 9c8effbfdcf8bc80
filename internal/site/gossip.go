package site

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	mrand "math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/demand"
	"github.com/cumintally/cumintally/internal/hub"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/loadview"
	"github.com/cumintally/cumintally/internal/logging"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/promptcrash"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/rejections"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/storefeed"
	"github.com/cumintally/cumintally/internal/suspicion"
)

const (
	// frameKindGossip is the kind of the frames that carry a gossip message.
	frameKindGossip = "Word"
	// keyObjectName is the name of the object that holds the shared key of the daemons.
	keyObjectName = "peers"
	// keySize is the size of that key in bytes: it matches the 256-bit hash that the key is used with.
	keySize = 32
	// sendTimeout bounds the sending of a frame to a peer that does not read.
	sendTimeout = 300 * time.Millisecond
	// urgentRoundsPerInterval bounds the rounds with news of crashes and failures between two rounds of messages: requests at the same
	// crash are reported together, and in an outage most sends fail.
	urgentRoundsPerInterval = 5
	// minPeerBackoff is the backoff after the first failed send to a peer. It is about the time that a starting daemon
	// needs until it listens. Each further failure doubles the backoff, up to maxPeerBackoff.
	minPeerBackoff = 100 * time.Millisecond
	maxPeerBackoff = time.Second
	// keyRetryInterval is the time between two attempts to load the key. A daemon that has not found a key for
	// keyCreateDelay creates one, even if it is not the first by name: reads of the store may be some seconds stale.
	keyRetryInterval = 400 * time.Millisecond
	keyCreateDelay   = 4 * time.Second
	// totalsInterval is the time between two log lines with the totals of the messages that were sent.
	totalsInterval = 5 * time.Second
)

// gossipMessage is what a daemon periodically sends to other daemons: its load, and recent facts that all daemons need.
// Among these are requests that broke connections: such a request may crash each backend server that runs it, and its
// retry may arrive at any daemon.
type gossipMessage struct {
	_ struct{} `cbor:",toarray"`

	Load loadview.Announcement
	// ZoneLoad is the load of all daemons of the sender's zone; hubs send it to the hubs of other zones. SiteLoad is the
	// load of the whole site; hubs send it to the daemons of their zone. IncludedSequence is the sequence number of the
	// receiver's own announcement that SiteLoad includes.
	ZoneLoad         *loadview.Sum
	SiteLoad         *loadview.Sum
	IncludedSequence uint64
	Crashes          []quarantine.Crash
	// Stopping are the backend server processes that have announced that they are about to stop.
	Stopping []serverregistry.Process
	// Rejections are the marks of requests that were rejected; their callers are expected to retry.
	Rejections []rejections.Mark
	// CopyState describes the sender's copies of the store's objects, and Update the changes that the receiver lacks.
	CopyState storefeed.CopyState
	Update    storefeed.Update
	// LeaseVersion is the version of the lease's last record as its holder reported it, 0 if that is unknown, and
	// SinceRenewal the time since that renewal.
	LeaseVersion uint64
	SinceRenewal time.Duration
}

// gossip exchanges load and recent facts with the other daemons.
type gossip struct {
	set *settings.Settings
	stc *storeCache
	pst objects.Store
	msh *peer.Mesh
	viw *loadview.View
	plm *placement.Placement
	mtr *demand.Meter
	cex *crashExchange
	sus *suspicion.Tracker
	rej *rejections.Tracker
	sel *hub.Selector
	fdr *storefeed.Feeder
	les *lease.Lease
	clk clockwork.Clock
	log *zap.Logger

	// transmit sends the body of a frame to the daemon at an address. linkNumber returns the number of the link to it, 0 if
	// there is none.
	transmit   func(ctx context.Context, address, kind string, body any) error
	linkNumber func(address string) uint64

	instance uint64
	// isFeeder and isHub are the last known roles of this daemon, kept to log changes; only the goroutine of run uses
	// them.
	isFeeder bool
	isHub    bool

	mu sync.Mutex
	// key is the shared key of the daemons, empty while it is not known.
	key []byte
	// backoffs holds the peers that cannot be reached, and sending those to which a frame is in flight.
	backoffs map[string]peerBackoff
	sending  map[string]bool
	// progress holds which facts each peer has been sent.
	progress map[string]peerProgress

	stopping *broadcastBuffer[serverregistry.Process]

	// rounds counts the rounds of messages, and urgentRounds those that news of a crash caused.
	rounds       metrics.Counter
	urgentRounds metrics.Counter
}

// peerProgress holds the numbers of the latest facts that a peer has been sent over one link. What was in flight on a link
// that broke may be lost, so that a new link starts with all facts.
type peerProgress struct {
	link     uint64
	stopping uint64
	requests uint64
	crashes  crashProgress
	reports  uint64
}

// peerBackoff is the backoff of a peer that cannot be reached.
type peerBackoff struct {
	until time.Time
	delay time.Duration
}

func newMesh(set *settings.Settings, met metrics.Registry, log *zap.Logger) *peer.Mesh {
	ide := peer.Identity{
		Name:             set.Entry.Name,
		AvailabilityZone: set.Entry.AvailabilityZone,
		Address:          cmp.Or(set.Listen.AdvertisePeers, set.Listen.Peers),
	}
	msh := peer.New(ide, []byte(set.Peers.Key), met, log)
	msh.Dial = Dial
	return msh
}

func newGossip(
	set *settings.Settings,
	stc *storeCache,
	pst objects.Store,
	msh *peer.Mesh,
	viw *loadview.View,
	plm *placement.Placement,
	mtr *demand.Meter,
	cex *crashExchange,
	sus *suspicion.Tracker,
	rej *rejections.Tracker,
	les *lease.Lease,
	met metrics.Registry,
	clk clockwork.Clock,
	log *zap.Logger,
) *gossip {
	instance := mrand.Uint64()
	gsp := &gossip{
		set: set,
		stc: stc,
		pst: pst,
		msh: msh,
		viw: viw,
		plm: plm,
		mtr: mtr,
		cex: cex,
		sus: sus,
		rej: rej,
		sel: hub.New(set.Entry.Name, set.Entry.AvailabilityZone, clk),
		fdr: storefeed.New(set.Entry.Name, instance, clk),
		les: les,
		clk: clk,
		log: log.Named("peers"),

		transmit:   msh.Send,
		linkNumber: msh.LinkNumber,

		instance: instance,
		backoffs: map[string]peerBackoff{},
		sending:  map[string]bool{},
		progress: map[string]peerProgress{},
		stopping: newBroadcastBuffer[serverregistry.Process](clk),

		rounds:       metrics.GetOrRegisterCounter("PeerRounds", met),
		urgentRounds: metrics.GetOrRegisterCounter("PeerUrgentRounds", met),
	}
	msh.Handle(frameKindGossip, func(_ context.Context, from peer.Identity, body []byte) (any, error) {
		var msg gossipMessage
		if err := peer.Decode(body, &msg); err != nil {
			return nil, errors.Trace(err)
		}
		gsp.receive(from, msg)
		return nil, nil
	})
	return gsp
}

// receive processes the message of another daemon.
func (gsp *gossip) receive(from peer.Identity, msg gossipMessage) {
	now := gsp.clk.Now()
	gsp.sel.RecordReceived(from.Name)
	if msg.LeaseVersion > 0 {
		gsp.les.RecordAnnouncement(msg.LeaseVersion, now.Add(-msg.SinceRenewal))
	}
	for _, crs := range msg.Crashes {
		gsp.cex.receiveWhole(crs)
	}
	for _, prc := range msg.Stopping {
		if gsp.stc.markStopping(prc, from.Name) && gsp.stc.forwards.Load() {
			gsp.stopping.add(prc, 0)
		}
	}
	// On a large site the hubs forward what they receive.
	gsp.rej.Receive(msg.Rejections, gsp.stc.hasHubs() && gsp.stc.hubRank.Load() >= 0, now)
	gsp.fdr.Receive(from.Name, msg.CopyState)
	gsp.fdr.Apply(msg.Update, gsp.stc.fedFollowers())
	if from.AvailabilityZone != gsp.set.Entry.AvailabilityZone && gsp.stc.hasHubs() {
		if msg.ZoneLoad != nil {
			gsp.viw.ReceiveZoneSum(from.Name, from.AvailabilityZone, *msg.ZoneLoad, now)
		}
		return
	}
	gsp.viw.ReceiveAnnouncement(from.Name, msg.Load, now)
	if msg.SiteLoad != nil {
		gsp.viw.ReceiveSiteSum(from.Name, *msg.SiteLoad, msg.IncludedSequence, now)
	}
}

// sharedKey is the stored value of the object that holds the shared key of the daemons.
type sharedKey struct {
	Key []byte
}

// run loads the shared key and then sends gossip messages at intervals until ctx ends.
func (gsp *gossip) run(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-gsp.stc.daemonsListed:
	}
	start := gsp.clk.Now()
	for ctx.Err() == nil {
		err := gsp.loadKey(ctx, gsp.clk.Since(start))
		if err == nil {
			break
		}
		gsp.log.Warn("cannot load the shared key of the daemons yet; will retry", logging.Error(err))
		sleep(ctx, gsp.clk, keyRetryInterval)
	}
	var keeper sync.WaitGroup
	keeper.Go(func() { gsp.keepKey(ctx) })
	keeper.Go(func() { gsp.logTotals(ctx) })
	defer keeper.Wait()
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		gsp.rounds.Inc(1)
		gsp.waitForRound(ctx, gsp.sendRound(ctx, sequence))
	}
}

// logTotals logs the totals of the messages that this daemon sent since its start, at intervals until ctx ends.
func (gsp *gossip) logTotals(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, gsp.clk, totalsInterval)
		gsp.log.Info("messages sent to the other daemons", zap.Int64("rounds", gsp.rounds.Count()), zap.Int64("urgentRounds", gsp.urgentRounds.Count()),
			zap.Int64("bytes", gsp.msh.BytesSent(frameKindGossip)), zap.Int64("crashBytes", gsp.msh.BytesSent(frameKindCrashes)),
			zap.Int64("suspicionBytes", gsp.msh.BytesSent(frameKindSuspicions)))
	}
}

// waitForRound waits for the interval between two rounds. It sends news of crashes to the recipients of the last round
// meanwhile.
func (gsp *gossip) waitForRound(ctx context.Context, recipients []hub.Recipient) {
	interval := loadview.Interval(gsp.stc.daemonCount())
	end := gsp.clk.After(interval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case <-gsp.cex.urgent:
			gsp.urgentRounds.Inc(1)
			for _, rcp := range recipients {
				gsp.send(ctx, rcp.Daemon, nil, nil)
			}
			sleep(ctx, gsp.clk, interval/urgentRoundsPerInterval)
		}
	}
}

// sendRound sends one message to each daemon that the current plan lists, and returns these.
func (gsp *gossip) sendRound(ctx context.Context, sequence uint64) []hub.Recipient {
	pln := gsp.sel.Plan(gsp.stc.registeredDaemons())
	gsp.updateRank(pln)
	msg := gsp.buildMessage(sequence)
	blocked := gsp.cex.takeBlocked()
	direct := gsp.stc.readsStore()
	isFeeder := gsp.updateFeeder(pln, msg)
	var zone, site *loadview.Sum
	for _, rcp := range pln.Recipients {
		own := msg
		switch rcp.Relation {
		case hub.RemoteHub:
			if zone == nil {
				sum := gsp.viw.ZoneSum(msg.Load, gsp.clk.Now())
				zone = &sum
			}
			own.ZoneLoad = zone
		case hub.Member:
			if site == nil {
				sum := gsp.viw.SiteSum(msg.Load, gsp.clk.Now())
				site = &sum
			}
			own.SiteLoad = site
			own.IncludedSequence = gsp.viw.Sequence(rcp.Name)
		}
		// A daemon that gets changes directly from the store sends them to all recipients. Otherwise only the feeding hub
		// sends changes, and only to the daemons of its zone.
		if direct || (isFeeder && rcp.Relation == hub.Member) {
			own.Update = gsp.fdr.UpdateFor(rcp.Name, gsp.stc.fedFollowers())
		}
		gsp.send(ctx, rcp.Daemon, &own, blocked)
	}
	return pln.Recipients
}

// updateRank stores the rank of this daemon and whether it forwards, and logs when it becomes a hub or ceases to be one.
func (gsp *gossip) updateRank(pln hub.Plan) {
	gsp.stc.hubRank.Store(int64(pln.Rank))
	hasMembers := slices.ContainsFunc(pln.Recipients, func(rcp hub.Recipient) bool { return rcp.Relation == hub.Member })
	gsp.stc.forwards.Store(gsp.stc.hasHubs() && (pln.IsHub || hasMembers))
	if pln.IsHub != gsp.isHub {
		gsp.isHub = pln.IsHub
		gsp.log.Info("hub role of this daemon changed", zap.Bool("hub", pln.IsHub), zap.Int("rank", pln.Rank), zap.Strings("hubs", pln.Hubs))
	}
}

// buildMessage returns the part of the message that is the same for all recipients.
func (gsp *gossip) buildMessage(sequence uint64) gossipMessage {
	msg := gossipMessage{
		Load: loadview.Announcement{
			Instance: gsp.instance,
			Sequence: sequence,
			Loads:    gsp.plm.Loads(),
			Demand:   gsp.mtr.Rates(gsp.clk.Now()),
		},
	}
	msg.Rejections = gsp.rej.TakeUnsent()
	gsp.viw.RecordOwn(msg.Load)
	if ver, renewed, ok := gsp.les.LastRenewal(); ok {
		msg.LeaseVersion = ver
		msg.SinceRenewal = gsp.clk.Since(renewed)
	} else if ver, renewed, ok := gsp.les.AnnouncedRenewal(); ok && gsp.stc.hasHubs() {
		msg.LeaseVersion = ver
		msg.SinceRenewal = gsp.clk.Since(renewed)
	}
	msg.CopyState = gsp.fdr.State(gsp.stc.isCurrent(), gsp.stc.fedFollowers())
	return msg
}

// updateFeeder reports whether this daemon, whose message is msg, feeds its availability zone with changes of the
// store. It logs when that changes.
func (gsp *gossip) updateFeeder(pln hub.Plan, msg gossipMessage) bool {
	isFeeder := gsp.stc.hasHubs() && pln.IsHub && gsp.fdr.FeedsZone(msg.CopyState, pln.Hubs)
	if isFeeder != gsp.isFeeder {
		gsp.isFeeder = isFeeder
		gsp.log.Info("feeder role of this daemon in its availability zone changed",
			zap.Bool("feeds", isFeeder), zap.Duration("age", gsp.stc.serverFollower().Age()), zap.Uint64("lease", msg.LeaseVersion))
	}
	return isFeeder
}

// broadcastStopping includes a backend server process that announced its stop in the next messages to the other daemons.
func (gsp *gossip) broadcastStopping(prc serverregistry.Process) {
	if gsp.stc.markStopping(prc, prc.ID) && !gsp.stopping.add(prc, 0) {
		gsp.log.Warn("too many backend servers are about to stop; this one is not announced to the other daemons", zap.String("server", prc.ID))
	}
}

// loadKey reads the shared key from the store. If there is none, the daemon that is first by name creates it; the
// others create one only after keyCreateDelay.
func (gsp *gossip) loadKey(ctx context.Context, waited time.Duration) error {
	if gsp.set.Peers.Key != "" {
		return nil
	}
	obj, err := gsp.pst.GetStale(ctx, objects.KindSecret, keyObjectName)
	if errors.Is(err, objects.ErrNotFound) {
		if waited < keyCreateDelay && !gsp.stc.isFirstByName() {
			return errors.Trace(err)
		}
		obj, err = gsp.createKey(ctx)
	}
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(gsp.useKey(obj))
}

// useKey decodes the shared key of the daemons and uses it from now on.
func (gsp *gossip) useKey(obj objects.Object) error {
	var key sharedKey
	if err := json.Unmarshal(obj.Value, &key); err != nil {
		return errors.Annotate(err, "cannot decode the shared key of the daemons")
	}
	if len(key.Key) < keySize {
		return errors.Errorf("the shared key of the daemons is too short: %d bytes", len(key.Key))
	}
	gsp.mu.Lock()
	gsp.key = key.Key
	gsp.mu.Unlock()
	gsp.msh.SetKey(key.Key)
	return nil
}

// keepKey writes the shared key again whenever the store was restored from a copy that lacks it, or uses the one that another
// daemon wrote first, until ctx ends.
func (gsp *gossip) keepKey(ctx context.Context) {
	if gsp.set.Peers.Key != "" {
		return
	}
	for era := gsp.pst.CurrentEra(); ctx.Err() == nil; {
		next, ok := gsp.stc.awaitEraAfter(ctx, era)
		if !ok {
			return
		}
		if err := gsp.restoreKey(ctx); err != nil {
			gsp.log.Warn("cannot store the shared key of the daemons again; will retry", logging.Error(err))
			sleep(ctx, gsp.clk, keyRetryInterval)
			continue
		}
		era = next
	}
}

// restoreKey uses the stored key, or stores the known one if there is none.
func (gsp *gossip) restoreKey(ctx context.Context) error {
	obj, err := gsp.pst.Get(ctx, objects.KindSecret, keyObjectName)
	if errors.Is(err, objects.ErrNotFound) {
		gsp.mu.Lock()
		key := gsp.key
		gsp.mu.Unlock()
		obj, err = gsp.storeKey(ctx, key)
	}
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(gsp.useKey(obj))
}

// createKey writes a new key to the store unless one exists, and returns the stored one.
func (gsp *gossip) createKey(ctx context.Context) (objects.Object, error) {
	key := make([]byte, keySize)
	if _, err := rand.Read(key); err != nil {
		return objects.Object{}, errors.Trace(err)
	}
	return gsp.storeKey(ctx, key)
}

// storeKey stores key as the shared key of the daemons unless there is one, and returns the object that is stored then.
func (gsp *gossip) storeKey(ctx context.Context, key []byte) (objects.Object, error) {
	val, err := json.Marshal(sharedKey{
		Key: key,
	})
	if err != nil {
		return objects.Object{}, errors.Trace(err)
	}
	if _, err := gsp.pst.Put(ctx, objects.KindSecret, keyObjectName, 0, val); err != nil && !errors.Is(err, objects.ErrConflict) {
		return objects.Object{}, errors.Trace(err)
	}
	obj, err := gsp.pst.Get(ctx, objects.KindSecret, keyObjectName)
	return obj, errors.Trace(err)
}

// send starts sending to one peer a message, unless it is nil, and the facts that the peer has not been sent. Over a new link, or
// if blocked is not empty, it also sends all that is blocked. It does nothing while the previous frames are being sent or the peer
// is in backoff.
func (gsp *gossip) send(ctx context.Context, dmn hub.Daemon, msg *gossipMessage, blocked []promptcrash.Combination) {
	now := gsp.clk.Now()
	gsp.mu.Lock()
	defer gsp.mu.Unlock()
	if gsp.sending[dmn.Name] || now.Before(gsp.backoffs[dmn.Name].until) {
		return
	}
	prg := gsp.progress[dmn.Name]
	if link := gsp.linkNumber(dmn.Address); link != prg.link {
		prg = peerProgress{
			link: link,
		}
		blocked = gsp.cex.trk.Blocked(now)
	}
	if msg != nil {
		gsp.addFacts(msg, &prg)
	}
	var crashes crashMessage
	crashes, prg.crashes = gsp.cex.message(prg.crashes, blocked)
	var suspicions suspicionMessage
	suspicions.Reports, prg.reports = gsp.sus.Unsent(prg.reports, now)
	if msg == nil && crashes.empty() && len(suspicions.Reports) == 0 {
		return
	}
	gsp.sending[dmn.Name] = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		err := gsp.transmitAll(ctx, dmn.Address, msg, crashes, suspicions)
		gsp.mu.Lock()
		defer gsp.mu.Unlock()
		gsp.sending[dmn.Name] = false
		last, failing := gsp.backoffs[dmn.Name]
		if err == nil {
			if prg.link == 0 {
				prg.link = gsp.linkNumber(dmn.Address)
			}
			gsp.progress[dmn.Name] = prg
			if msg != nil {
				gsp.fdr.RecordSent(dmn.Name, msg.Update)
			}
			if failing {
				delete(gsp.backoffs, dmn.Name)
				gsp.log.Info("a peer can be reached again", zap.String("peer", dmn.Name))
			}
			return
		}
		delay := min(max(minPeerBackoff, 2*last.delay), maxPeerBackoff)
		gsp.backoffs[dmn.Name] = peerBackoff{
			until: gsp.clk.Now().Add(delay),
			delay: delay,
		}
		if !failing {
			gsp.log.Info("cannot reach a peer; backing off", zap.String("peer", dmn.Name), logging.Error(err))
		}
	}()
}

// transmitAll sends a message, unless it is nil, and messages about failures of servers and about crashes, unless they are
// empty.
func (gsp *gossip) transmitAll(ctx context.Context, adr string, msg *gossipMessage, crashes crashMessage, suspicions suspicionMessage) error {
	if len(suspicions.Reports) > 0 {
		if err := gsp.transmit(ctx, adr, frameKindSuspicions, suspicions); err != nil {
			return errors.Trace(err)
		}
	}
	if msg != nil {
		if err := gsp.transmit(ctx, adr, frameKindGossip, *msg); err != nil {
			return errors.Trace(err)
		}
	}
	if crashes.empty() {
		return nil
	}
	return errors.Trace(gsp.transmit(ctx, adr, frameKindCrashes, crashes))
}

// addFacts adds to a message the facts that its recipient has not been sent, and advances its progress.
func (gsp *gossip) addFacts(msg *gossipMessage, prg *peerProgress) {
	prg.requests = gsp.cex.requests.forEachAfter(prg.requests, func(crs quarantine.Crash, age time.Duration) {
		crs.Age = age
		msg.Crashes = append(msg.Crashes, crs)
	})
	prg.stopping = gsp.stopping.forEachAfter(prg.stopping, func(prc serverregistry.Process, _ time.Duration) {
		msg.Stopping = append(msg.Stopping, prc)
	})
}
