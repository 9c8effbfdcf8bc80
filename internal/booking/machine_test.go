package booking

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"
)

// heldReservation is a reservation that a daemon has neither finished nor released.
type heldReservation struct {
	daemon int
	key    int
	rsv    Reservation
}

// keyModel is the expected state of a key.
type keyModel struct {
	sent    int
	content string
	body    string
	expired bool
}

// ledgerMachine is a state machine that applies actions and faults to ledgers and to a model of each key.
type ledgerMachine struct {
	fst  *faultyStore
	clk  *acceleratedClock
	dms  *daemons
	keys []keyModel
	held []heldReservation
	// leftoversPossible means that the store may hold a record of a request that was rejected or whose daemon crashed.
	leftoversPossible bool
}

func newLedgerMachine() *ledgerMachine {
	fst, pst := newFaultyStore()
	clk := newAcceleratedClock()
	return &ledgerMachine{
		fst:  fst,
		clk:  clk,
		dms:  newDaemons(3, testConfig(2, 0), pst, clk),
		keys: make([]keyModel, 3),
	}
}

func (mch *ledgerMachine) reserve(trt *rapid.T, daemon, key int, content string) (Reservation, error) {
	rsv, err := mch.dms.ledger(daemon).Reserve(context.Background(), "scope", fmt.Sprint(key), []byte(content))
	mod := &mch.keys[key]
	switch {
	case err == nil && rsv.Result == nil:
		for _, hld := range mch.held {
			if hld.key == key {
				trt.Fatalf("key %d is reserved twice", key)
			}
		}
		if mod.sent > 0 || mod.expired {
			trt.Fatalf("key %d is reserved after it was sent", key)
		}
	case err == nil:
		if mod.body == "" || string(rsv.Result.Body) != mod.body {
			trt.Fatalf("key %d has result %q, want %q", key, rsv.Result.Body, mod.body)
		}
		if content != mod.content || mod.expired {
			trt.Fatalf("key %d returns its result for different content or after its expiry", key)
		}
	case errors.Is(err, ErrExpired):
		if !mod.expired && !mch.leftoversPossible {
			trt.Fatalf("key %d expired early", key)
		}
	case errors.Is(err, ErrUnavailable):
		mch.leftoversPossible = true
	case errors.Is(err, ErrContentMismatch), errors.Is(err, ErrInProgress):
		if mod.sent == 0 && !mch.leftoversPossible && !mch.holds(key) {
			trt.Fatalf("key %d is free, but %v", key, err)
		}
	default:
		trt.Fatalf("key %d: %v", key, err)
	}
	return rsv, err
}

func (mch *ledgerMachine) holds(key int) bool {
	for _, hld := range mch.held {
		if hld.key == key {
			return true
		}
	}
	return false
}

func (mch *ledgerMachine) takeHeld(trt *rapid.T) heldReservation {
	if len(mch.held) == 0 {
		trt.Skip("no reservation is held")
	}
	idx := rapid.IntRange(0, len(mch.held)-1).Draw(trt, "held")
	hld := mch.held[idx]
	mch.held = append(mch.held[:idx:idx], mch.held[idx+1:]...)
	return hld
}

func (mch *ledgerMachine) actions() map[string]func(*rapid.T) {
	daemon := rapid.IntRange(0, 2)
	return map[string]func(*rapid.T){
		"reserve": func(trt *rapid.T) {
			dmn := daemon.Draw(trt, "daemon")
			key := rapid.IntRange(0, len(mch.keys)-1).Draw(trt, "key")
			content := rapid.SampledFrom([]string{"content-1", "content-2"}).Draw(trt, "content")
			rsv, err := mch.reserve(trt, dmn, key, content)
			if err == nil && rsv.Result == nil {
				mch.keys[key].content = content
				mch.held = append(mch.held, heldReservation{daemon: dmn, key: key, rsv: rsv})
			}
		},
		"send and finish": func(trt *rapid.T) {
			hld := mch.takeHeld(trt)
			mod := &mch.keys[hld.key]
			mod.sent++
			mod.body = fmt.Sprintf("result of %d", hld.key)
			mch.dms.ledger(hld.daemon).Finish(hld.rsv, 201, "text/plain", []byte(mod.body))
		},
		"send and crash": func(trt *rapid.T) {
			hld := mch.takeHeld(trt)
			mch.keys[hld.key].sent++
			mch.crash(hld.daemon)
		},
		"release": func(trt *rapid.T) {
			hld := mch.takeHeld(trt)
			mch.dms.ledger(hld.daemon).Release(hld.rsv)
		},
		"lose writes": func(trt *rapid.T) {
			flts := rapid.SliceOfN(rapid.IntRange(0, int(putFaultCount)-1), 1, 2).Draw(trt, "faults")
			for _, flt := range flts {
				mch.fst.inject(0, putFault(flt))
			}
			mch.leftoversPossible = true
		},
		"lose reads": func(trt *rapid.T) {
			mch.fst.inject(rapid.IntRange(1, 2).Draw(trt, "reads"))
			mch.leftoversPossible = true
		},
		"deliver late writes": func(*rapid.T) { mch.fst.deliver() },
		"change owner":        func(trt *rapid.T) { mch.dms.owner.Store(int64(rapid.IntRange(0, 3).Draw(trt, "owner"))) },
		"lose a peer's reply": func(*rapid.T) { mch.dms.loseReplies.Store(1) },
		"restart":             func(trt *rapid.T) { mch.crash(daemon.Draw(trt, "daemon")) },
		"a day passes":        func(*rapid.T) { mch.passDay() },
	}
}

// crash restarts a daemon; its reservations stay in the store without a result.
func (mch *ledgerMachine) crash(daemon int) {
	mch.dms.restart(daemon)
	var rest []heldReservation
	for _, hld := range mch.held {
		if hld.daemon == daemon {
			mch.leftoversPossible = true
			continue
		}
		rest = append(rest, hld)
	}
	mch.held = rest
}

// passDay advances the clock beyond the retention time of results. Reservations that daemons still hold expire
// too.
func (mch *ledgerMachine) passDay() {
	mch.clk.advancedBy.Add(int64(25 * time.Hour))
	for idx := range mch.keys {
		mch.keys[idx].expired = mch.keys[idx].expired || mch.keys[idx].sent > 0 || mch.holds(idx)
	}
}

// TestLedgerMachine guards against a key that two requests hold, against a result that is lost or returned for
// different content, and against a key that can be reserved again after its call was sent. Writes, reads and peer
// replies are lost, owners change, daemons restart and records expire in random order.
func TestLedgerMachine(t *testing.T) {
	rapid.Check(t, func(trt *rapid.T) {
		mch := newLedgerMachine()
		acts := mch.actions()
		acts[""] = func(trt *rapid.T) {
			for key, mod := range mch.keys {
				if mod.sent > 1 {
					trt.Fatalf("key %d was sent %d times", key, mod.sent)
				}
			}
		}
		trt.Repeat(acts)
		mch.fst.clearFaults()
		for key, mod := range mch.keys {
			if mod.sent == 0 {
				continue
			}
			rsv, err := mch.reserve(trt, 0, key, mod.content)
			if err == nil && rsv.Result == nil {
				trt.Fatalf("key %d is free after it was sent", key)
			}
		}
	})
}
