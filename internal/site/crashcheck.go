package site

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/logging"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/relay"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

const (
	// crashProbeTimeout bounds the connection by which a backend server is checked, and crashProbeInterval is the least time between two
	// of them, since a server at its limit of connections has none to spare.
	crashProbeTimeout  = 500 * time.Millisecond
	crashProbeInterval = 50 * time.Millisecond
	// maxCrashWait is the time for which a request waits for the check before it is sent to another backend server.
	maxCrashWait = 120 * time.Millisecond
	// maxHeldCrashes bounds the memory for crashes that are held back.
	maxHeldCrashes = 1000
)

// crashChecks tells crashes of backend servers from connections that a server reset because it had too many. Both can look the same to a
// request on a new connection, on which nothing arrived. Such a crash counts once the server refuses a connection, its process is no
// longer registered or another one is under its ID. It is forgotten if the process is still registered when it would have expired.
type crashChecks struct {
	view  func() *serverregistry.View
	probe func(ctx context.Context, address string) error
	// count is called with each crash that counts, and when its connection broke.
	count func(crs relay.Crash, at time.Time)
	clk   clockwork.Clock
	log   *zap.Logger

	mu   sync.Mutex
	held map[crashKey]heldCrash
	// rounds holds the next probe of each address, and probedAt when the latest one began.
	rounds   map[string]*probeRound
	probedAt map[string]time.Time
}

type crashKey struct {
	event       string
	fingerprint quarantine.Fingerprint
}

// heldCrash is a crash that is held back.
type heldCrash struct {
	crash relay.Crash
	at    time.Time
}

// probeRound is one probe for all that asked for it before it began.
type probeRound struct {
	done chan struct{}
	err  error
}

func newCrashChecks(
	view func() *serverregistry.View,
	probe func(ctx context.Context, address string) error,
	count func(crs relay.Crash, at time.Time),
	clk clockwork.Clock,
	log *zap.Logger,
) *crashChecks {
	return &crashChecks{
		view:     view,
		probe:    probe,
		count:    count,
		clk:      clk,
		log:      log,
		held:     map[crashKey]heldCrash{},
		rounds:   map[string]*probeRound{},
		probedAt: map[string]time.Time{},
	}
}

// record counts a crash, or holds it back while the backend server may be alive. It waits for a short time until that is known.
func (chk *crashChecks) record(crs relay.Crash, now time.Time) {
	if !crs.Unanswered || chk.hasEnded(crs.Server) {
		chk.count(crs, now)
		return
	}
	key := crashKey{
		event:       crs.Event,
		fingerprint: crs.Request.Fingerprint,
	}
	chk.hold(key, heldCrash{
		crash: crs,
		at:    now,
	})
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		if err := chk.probeSoon(crs.Server.Address); err != nil {
			chk.log.Info("a backend server broke a new connection and refuses others", zap.String("event", crs.Event), logging.Error(err))
			chk.release(key)
			chk.count(crs, now)
			return
		}
		chk.log.Info("a backend server broke a new connection and accepts others", zap.String("event", crs.Event),
			zap.String("fingerprint", string(crs.Request.Fingerprint)))
	}()
	select {
	case <-checked:
	case <-chk.clk.After(maxCrashWait):
	}
}

// hasEnded reports whether the process of a backend server is no longer registered.
func (chk *crashChecks) hasEnded(srv *serverregistry.Server) bool {
	current, ok := chk.view().Server(srv.ID)
	return !ok || current.Process() != srv.Process()
}

func (chk *crashChecks) hold(key crashKey, crs heldCrash) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	if len(chk.held) < maxHeldCrashes {
		chk.held[key] = crs
	}
}

func (chk *crashChecks) release(key crashKey) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	delete(chk.held, key)
}

// review counts the crashes of processes that have ended, and forgets those of processes that are certainly alive. It is
// called when the registry has changed, and from time to time.
func (chk *crashChecks) review(now time.Time) {
	var ended []heldCrash
	chk.mu.Lock()
	for key, crs := range chk.held {
		switch {
		case chk.hasEnded(crs.crash.Server):
			ended = append(ended, crs)
			delete(chk.held, key)
		case now.Sub(crs.at) >= serverregistry.ExpiryTime:
			delete(chk.held, key)
		}
	}
	chk.mu.Unlock()
	for _, crs := range ended {
		chk.count(crs.crash, crs.at)
	}
}

// probeSoon connects to the backend server at address. Calls share a connection that is opened after all of them began.
func (chk *crashChecks) probeSoon(address string) error {
	chk.mu.Lock()
	rnd, ok := chk.rounds[address]
	if !ok {
		rnd = &probeRound{
			done: make(chan struct{}),
		}
		chk.rounds[address] = rnd
	}
	wait := crashProbeInterval - chk.clk.Since(chk.probedAt[address])
	chk.mu.Unlock()
	if ok {
		<-rnd.done
		return rnd.err
	}
	chk.clk.Sleep(wait)
	chk.mu.Lock()
	delete(chk.rounds, address)
	if len(chk.probedAt) >= maxHeldCrashes {
		clear(chk.probedAt)
	}
	chk.probedAt[address] = chk.clk.Now()
	chk.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	rnd.err = chk.probe(ctx, address)
	close(rnd.done)
	return rnd.err
}
