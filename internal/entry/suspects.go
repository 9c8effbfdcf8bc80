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
	// kindSuspect is the kind of the calls about requests that crash backend servers.
	kindSuspect = "Suspect"
	// kindPlace is the kind of the calls that place a copy of a request, one for each request.
	kindPlace = "Place"
	// suspectTimeout bounds a call about suspects; a request waits for it.
	suspectTimeout = 300 * time.Millisecond
	// memberInterval is the time between two looks at the zone's daemons.
	memberInterval = 250 * time.Millisecond
	// crashInterval is the time between two exchanges of known crashes with one other daemon.
	crashInterval = 5 * time.Second
	// renewInterval lets two renewals of a slot get lost before it expires.
	renewInterval = quarantine.SlotTime / 3
)

// suspects shares the knowledge of crashes with the daemons of the zone. The slots of suspects are
// granted by the daemon that owns the slot's key by rendezvous hashing.
type suspects struct {
	msh *peer.Mesh
	mbs *zone.Membership
	qua *quarantine.Quarantine
	clk clockwork.Clock
	log *zap.Logger

	mu        sync.Mutex
	alive     string
	changedAt time.Time
}

type suspectCall struct {
	Crashes []quarantine.Crash
	Slot    *slotCall
}

type slotCall struct {
	Key     string
	Holder  string
	Renew   bool
	Release bool
}

type suspectAnswer struct {
	Crashes []quarantine.Crash
	Granted bool
}

func newSuspects(msh *peer.Mesh, mbs *zone.Membership, qua *quarantine.Quarantine, clk clockwork.Clock, log *zap.Logger) *suspects {
	sus := &suspects{
		msh:       msh,
		mbs:       mbs,
		qua:       qua,
		clk:       clk,
		log:       log.Named("suspects"),
		changedAt: clk.Now(),
	}
	msh.Handle(kindSuspect, sus.answer)
	msh.Handle(kindPlace, sus.answerPlace)
	return sus
}

// placeCall is sent for each request, so it has no field names.
type placeCall struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint quarantine.Fingerprint
	Group       string
	From        string
	Holder      string
}

// placeSize is the number of characters of a fingerprint and of a request id that a placement is made with.
const placeSize = 16

// place asks the owner of the fingerprint where a copy of a request may run. Without an answer the chosen
// group stands: requests do not wait for a daemon that is lost.
func (sus *suspects) place(ctx context.Context, fpr quarantine.Fingerprint, group, from, holder string) string {
	own := sus.mbs.Owner(string(fpr))
	cal := placeCall{
		Fingerprint: fpr[:min(len(fpr), placeSize)],
		Group:       group,
		From:        from,
		Holder:      holder[:min(len(holder), placeSize)],
	}
	if own.Name == "" || own.Name == sus.msh.Self().Name {
		return sus.qua.Place(cal.Fingerprint, cal.Group, cal.From, cal.Holder, sus.clk.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	var name string
	if err := sus.msh.Call(ctx, own.Address, kindPlace, cal, &name); err != nil || name == "" {
		return group
	}
	return name
}

func (sus *suspects) answerPlace(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var cal placeCall
	if err := peer.Decode(body, &cal); err != nil {
		return nil, err
	}
	return sus.qua.Place(cal.Fingerprint, cal.Group, cal.From, cal.Holder, sus.clk.Now()), nil
}

func (sus *suspects) answer(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var cal suspectCall
	if err := peer.Decode(body, &cal); err != nil {
		return nil, err
	}
	sus.record(cal.Crashes)
	if cal.Slot != nil {
		return suspectAnswer{
			Granted: sus.grant(*cal.Slot),
		}, nil
	}
	return suspectAnswer{
		Crashes: sus.qua.Crashes(sus.clk.Now()),
	}, nil
}

func (sus *suspects) record(crss []quarantine.Crash) {
	for _, crs := range crss {
		if sus.qua.Record(crs, sus.clk.Now()) {
			sus.log.Warn("learnt of a request at a crash", zap.String("fingerprint", string(crs.Fingerprint)), zap.String("event", crs.Event))
		}
	}
}

// grant answers as the owner of a slot. After a change of the zone's daemons only renewals are granted
// until the slots that the former owner granted have expired.
func (sus *suspects) grant(cal slotCall) bool {
	now := sus.clk.Now()
	if cal.Release {
		sus.qua.Release(cal.Key, cal.Holder)
		return true
	}
	sus.mu.Lock()
	settled := now.Sub(sus.changedAt) >= quarantine.SlotTime
	sus.mu.Unlock()
	if sus.mbs.Owner(cal.Key).Name != sus.msh.Self().Name || (!settled && !cal.Renew) {
		return false
	}
	return sus.qua.Hold(cal.Key, cal.Holder, now)
}

// ask sends a slot call to the owner of its key.
func (sus *suspects) ask(ctx context.Context, cal slotCall) bool {
	own := sus.mbs.Owner(cal.Key)
	if own.Name == sus.msh.Self().Name {
		return sus.grant(cal)
	}
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	var ans suspectAnswer
	err := sus.msh.Call(ctx, own.Address, kindSuspect, suspectCall{
		Slot: &cal,
	}, &ans)
	return err == nil && ans.Granted
}

func (sus *suspects) tryHold(ctx context.Context, key, holder string) (func(), bool) {
	cal := slotCall{
		Key:    key,
		Holder: holder,
	}
	if !sus.ask(ctx, cal) {
		return nil, false
	}
	renew, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		cal := cal
		cal.Renew = true
		for {
			select {
			case <-renew.Done():
				return
			case <-sus.clk.After(renewInterval):
				sus.ask(renew, cal)
			}
		}
	}()
	return func() {
		cancel()
		cal.Release = true
		sus.ask(context.WithoutCancel(ctx), cal)
	}, true
}

// announce tells the daemons of the zone about a crash before the caller learns of it, so that the same
// request, sent again through any of them, runs as a suspect.
func (sus *suspects) announce(ctx context.Context, crs quarantine.Crash) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), suspectTimeout)
	defer cancel()
	var wgr sync.WaitGroup
	for _, ide := range sus.others() {
		wgr.Go(func() {
			err := sus.msh.Call(ctx, ide.Address, kindSuspect, suspectCall{
				Crashes: []quarantine.Crash{crs},
			}, nil)
			if err != nil {
				sus.log.Warn("cannot announce a crash", zap.String("peer", ide.Name), zap.Error(err))
			}
		})
	}
	wgr.Wait()
}

func (sus *suspects) others() []peer.Identity {
	var ids []peer.Identity
	for _, ide := range sus.mbs.Alive() {
		if ide.Name != sus.msh.Self().Name {
			ids = append(ids, ide)
		}
	}
	return ids
}

// run watches the zone's daemons and exchanges known crashes, which brings them to daemons that were
// out of reach at the announcement or have started since.
func (sus *suspects) run(ctx context.Context) {
	exchanged := sus.clk.Now()
	for ctx.Err() == nil {
		now := sus.clk.Now()
		if sus.look(now) || now.Sub(exchanged) >= crashInterval {
			exchanged = now
			sus.exchange(ctx)
		}
		select {
		case <-ctx.Done():
		case <-sus.clk.After(memberInterval):
		}
	}
}

// look reports whether the zone's daemons have changed.
func (sus *suspects) look(now time.Time) bool {
	var names []string
	for _, ide := range sus.mbs.Alive() {
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

func (sus *suspects) exchange(ctx context.Context) {
	ids := sus.others()
	if len(ids) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	var ans suspectAnswer
	err := sus.msh.Call(ctx, ids[rand.IntN(len(ids))].Address, kindSuspect, suspectCall{
		Crashes: sus.qua.Crashes(sus.clk.Now()),
	}, &ans)
	if err == nil {
		sus.record(ans.Crashes)
	}
}
