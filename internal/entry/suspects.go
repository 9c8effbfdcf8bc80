package entry

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/zone"
)

const (
	// kindSuspect is the kind of the calls that exchange crashes and request the slots of suspects.
	kindSuspect = "Suspect"
	// kindPlace is the kind of the calls that place a copy of a request; one is made for each request.
	kindPlace = "Place"
	// suspectTimeout bounds a call about suspects. It is short, since a request waits for the call.
	suspectTimeout = 300 * time.Millisecond
	// membershipInterval is the time between two checks whether the zone's live daemons have changed.
	membershipInterval = 250 * time.Millisecond
	// crashExchangeInterval is the longest time between two exchanges of known crashes with a random peer.
	crashExchangeInterval = 5 * time.Second
	// slotRenewInterval is the time between two renewals of a slot. Two renewals in a row may be lost before
	// the slot expires.
	slotRenewInterval = quarantine.SlotTime / 3
)

// suspects shares known crashes with the daemons of the zone, so that a request that was in progress at a
// crash is treated as a suspect by all of them. The slots under which suspects run are granted by the
// daemon that owns the slot's key by rendezvous hashing.
type suspects struct {
	mesh       *peer.Mesh
	membership *zone.Membership
	quarantine *quarantine.Quarantine
	clock      clockwork.Clock
	logger     *zap.Logger

	mu        sync.Mutex
	alive     string
	changedAt time.Time
}

// suspectRequest reports crashes that the sender knows, and may contain a request for a slot.
type suspectRequest struct {
	Crashes []quarantine.Crash
	Slot    *slotRequest
}

// slotRequest acquires, renews or releases the slot with a key for a holder.
type slotRequest struct {
	Key     string
	Holder  string
	Renew   bool
	Release bool
}

// suspectResponse contains the crashes that the responding daemon knows or, if the request was for a slot, whether
// the slot was granted.
type suspectResponse struct {
	Crashes []quarantine.Crash
	Granted bool
}

func newSuspects(msh *peer.Mesh, mbs *zone.Membership, qua *quarantine.Quarantine, clk clockwork.Clock, log *zap.Logger) *suspects {
	sus := &suspects{
		mesh:       msh,
		membership: mbs,
		quarantine: qua,
		clock:      clk,
		logger:     log.Named("suspects"),
		changedAt:  clk.Now(),
	}
	msh.Handle(kindSuspect, sus.handleSuspect)
	msh.Handle(kindPlace, sus.handlePlace)
	return sus
}

// placeRequest asks for the placement of a copy of a request. It is encoded without field names to keep it
// small, since one is sent for each request.
type placeRequest struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint quarantine.Fingerprint
	Group       string
	From        string
	Holder      string
}

// placementIDSize is the number of leading characters of a fingerprint and of a request ID that a
// placeRequest carries.
const placementIDSize = 16

// placeCopy asks the owner of the fingerprint on which group a copy of a request may run. If the owner does
// not answer, it returns the chosen group: requests do not wait for a daemon that is lost.
func (sus *suspects) placeCopy(ctx context.Context, fpr quarantine.Fingerprint, group, from, holder string) string {
	own := sus.membership.Owner(string(fpr))
	req := placeRequest{
		Fingerprint: fpr[:min(len(fpr), placementIDSize)],
		Group:       group,
		From:        from,
		Holder:      holder[:min(len(holder), placementIDSize)],
	}
	if own.Name == "" || own.Name == sus.mesh.Self().Name {
		return sus.quarantine.PlaceCopy(req.Fingerprint, req.Group, req.From, req.Holder, sus.clock.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	var name string
	if err := sus.mesh.Call(ctx, own.Address, kindPlace, req, &name); err != nil || name == "" {
		return group
	}
	return name
}

func (sus *suspects) handlePlace(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var req placeRequest
	if err := peer.Decode(body, &req); err != nil {
		return nil, err
	}
	return sus.quarantine.PlaceCopy(req.Fingerprint, req.Group, req.From, req.Holder, sus.clock.Now()), nil
}

func (sus *suspects) handleSuspect(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var req suspectRequest
	if err := peer.Decode(body, &req); err != nil {
		return nil, err
	}
	sus.recordCrashes(req.Crashes)
	if req.Slot != nil {
		return suspectResponse{
			Granted: sus.grantSlot(*req.Slot),
		}, nil
	}
	return suspectResponse{
		Crashes: sus.quarantine.Crashes(sus.clock.Now()),
	}, nil
}

func (sus *suspects) recordCrashes(crss []quarantine.Crash) {
	for _, crs := range crss {
		if sus.quarantine.RecordCrash(crs, sus.clock.Now()) {
			sus.logger.Warn("recorded a request in progress at a crash", zap.String("fingerprint", string(crs.Fingerprint)), zap.String("event", crs.Event))
		}
	}
}

// grantSlot acquires, renews or releases a slot that this daemon owns. After a change of the zone's live
// daemons only renewals are granted until the slots that the former owner granted have expired.
func (sus *suspects) grantSlot(req slotRequest) bool {
	now := sus.clock.Now()
	if req.Release {
		sus.quarantine.ReleaseSlot(req.Key, req.Holder)
		return true
	}
	sus.mu.Lock()
	settled := now.Sub(sus.changedAt) >= quarantine.SlotTime
	sus.mu.Unlock()
	if sus.membership.Owner(req.Key).Name != sus.mesh.Self().Name || (!settled && !req.Renew) {
		return false
	}
	return sus.quarantine.AcquireSlot(req.Key, req.Holder, now)
}

// requestSlot sends a slot request to the owner of its key and reports whether it was granted.
func (sus *suspects) requestSlot(ctx context.Context, req slotRequest) bool {
	own := sus.membership.Owner(req.Key)
	if own.Name == sus.mesh.Self().Name {
		return sus.grantSlot(req)
	}
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	var rsp suspectResponse
	err := sus.mesh.Call(ctx, own.Address, kindSuspect, suspectRequest{
		Slot: &req,
	}, &rsp)
	return err == nil && rsp.Granted
}

func (sus *suspects) tryAcquireSlot(ctx context.Context, key, holder string) (func(), bool) {
	req := slotRequest{
		Key:    key,
		Holder: holder,
	}
	if !sus.requestSlot(ctx, req) {
		return nil, false
	}
	renew, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		req := req
		req.Renew = true
		for {
			select {
			case <-renew.Done():
				return
			case <-sus.clock.After(slotRenewInterval):
				sus.requestSlot(renew, req)
			}
		}
	}()
	return func() {
		cancel()
		req.Release = true
		sus.requestSlot(context.WithoutCancel(ctx), req)
	}, true
}

// announce reports a crash to the other daemons of the zone before the caller gets its response. If the
// caller then sends the same request again through any daemon, it runs as a suspect.
func (sus *suspects) announce(ctx context.Context, crs quarantine.Crash) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), suspectTimeout)
	defer cancel()
	var wgr sync.WaitGroup
	for _, ide := range sus.otherDaemons() {
		wgr.Go(func() {
			err := sus.mesh.Call(ctx, ide.Address, kindSuspect, suspectRequest{
				Crashes: []quarantine.Crash{crs},
			}, nil)
			if err != nil {
				sus.logger.Warn("cannot report a crash to a peer", zap.String("peer", ide.Name), zap.Error(err))
			}
		})
	}
	wgr.Wait()
}

func (sus *suspects) otherDaemons() []peer.Identity {
	var ids []peer.Identity
	for _, ide := range sus.membership.Alive() {
		if ide.Name != sus.mesh.Self().Name {
			ids = append(ids, ide)
		}
	}
	return ids
}

// run detects changes of the zone's live daemons and exchanges known crashes with peers. The exchange
// delivers crashes to daemons that were unreachable when a crash was announced or have started since.
func (sus *suspects) run(ctx context.Context) {
	exchanged := sus.clock.Now()
	for ctx.Err() == nil {
		now := sus.clock.Now()
		if sus.updateMembership(now) || now.Sub(exchanged) >= crashExchangeInterval {
			exchanged = now
			sus.exchangeCrashes(ctx)
		}
		select {
		case <-ctx.Done():
		case <-sus.clock.After(membershipInterval):
		}
	}
}

// updateMembership records the zone's live daemons and reports whether they have changed.
func (sus *suspects) updateMembership(now time.Time) bool {
	var names []string
	for _, ide := range sus.membership.Alive() {
		names = append(names, ide.Name)
	}
	alive := strings.Join(names, " ")
	sus.mu.Lock()
	defer sus.mu.Unlock()
	if alive == sus.alive {
		return false
	}
	sus.alive = alive
	sus.changedAt = now
	return true
}

func (sus *suspects) exchangeCrashes(ctx context.Context) {
	ids := sus.otherDaemons()
	if len(ids) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	var rsp suspectResponse
	err := sus.mesh.Call(ctx, ids[rand.IntN(len(ids))].Address, kindSuspect, suspectRequest{
		Crashes: sus.quarantine.Crashes(sus.clock.Now()),
	}, &rsp)
	if err == nil {
		sus.recordCrashes(rsp.Crashes)
	}
}
