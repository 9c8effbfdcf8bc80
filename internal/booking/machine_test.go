package booking

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"
)

// held is a reservation that a daemon has and has not yet given up.
type held struct {
	daemon int
	key    int
	rsv    Reservation
}

// keyModel is what the test knows of a key.
type keyModel struct {
	sent    int
	content string
	body    string
	expired bool
}

// machine drives ledgers with faults beside a model of each key.
type machine struct {
	fst  *faultyStore
	clk  *quickClock
	dms  *daemons
	keys []keyModel
	held []held
	// disturbed says that a record may be left over from a request that was rejected.
	disturbed bool
}

func newMachine() *machine {
	fst, pst := newFaultyStore()
	clk := newQuickClock()
	return &machine{
		fst:  fst,
		clk:  clk,
		dms:  newDaemons(3, testConfig(2, 0), pst, clk),
		keys: make([]keyModel, 3),
	}
}

func (mch *machine) reserve(trt *rapid.T, daemon, key int, content string) (Reservation, error) {
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
			trt.Fatalf("key %d gives its result to other content or after its time", key)
		}
	case errors.Is(err, ErrExpired):
		if !mod.expired && !mch.disturbed {
			trt.Fatalf("key %d expired early", key)
		}
	case errors.Is(err, ErrUnavailable):
		mch.disturbed = true
	case errors.Is(err, ErrMismatch), errors.Is(err, ErrInProgress):
		if mod.sent == 0 && !mch.disturbed && !mch.holds(key) {
			trt.Fatalf("key %d is free, but %v", key, err)
		}
	default:
		trt.Fatalf("key %d: %v", key, err)
	}
	return rsv, err
}

func (mch *machine) holds(key int) bool {
	for _, hld := range mch.held {
		if hld.key == key {
			return true
		}
	}
	return false
}

func (mch *machine) take(trt *rapid.T) held {
	if len(mch.held) == 0 {
		trt.Skip("nothing is held")
	}
	idx := rapid.IntRange(0, len(mch.held)-1).Draw(trt, "held")
	hld := mch.held[idx]
	mch.held = append(mch.held[:idx:idx], mch.held[idx+1:]...)
	return hld
}

func (mch *machine) actions() map[string]func(*rapid.T) {
	daemon := rapid.IntRange(0, 2)
	return map[string]func(*rapid.T){
		"reserve": func(trt *rapid.T) {
			dmn := daemon.Draw(trt, "daemon")
			key := rapid.IntRange(0, len(mch.keys)-1).Draw(trt, "key")
			content := rapid.SampledFrom([]string{"content-1", "content-2"}).Draw(trt, "content")
			rsv, err := mch.reserve(trt, dmn, key, content)
			if err == nil && rsv.Result == nil {
				mch.keys[key].content = content
				mch.held = append(mch.held, held{daemon: dmn, key: key, rsv: rsv})
			}
		},
		"send and finish": func(trt *rapid.T) {
			hld := mch.take(trt)
			mod := &mch.keys[hld.key]
			mod.sent++
			mod.body = fmt.Sprintf("result of %d", hld.key)
			mch.dms.ledger(hld.daemon).Finish(hld.rsv, 201, "text/plain", []byte(mod.body))
		},
		"send and crash": func(trt *rapid.T) {
			hld := mch.take(trt)
			mch.keys[hld.key].sent++
			mch.crash(hld.daemon)
		},
		"release": func(trt *rapid.T) {
			hld := mch.take(trt)
			mch.dms.ledger(hld.daemon).Release(hld.rsv)
		},
		"lose writes": func(trt *rapid.T) {
			flts := rapid.SliceOfN(rapid.IntRange(0, int(putFaults)-1), 1, 2).Draw(trt, "faults")
			for _, flt := range flts {
				mch.fst.inject(0, putFault(flt))
			}
			mch.disturbed = true
		},
		"lose reads": func(trt *rapid.T) {
			mch.fst.inject(rapid.IntRange(1, 2).Draw(trt, "reads"))
			mch.disturbed = true
		},
		"deliver late writes": func(*rapid.T) { mch.fst.deliver() },
		"change owner":        func(trt *rapid.T) { mch.dms.owner.Store(int64(rapid.IntRange(0, 3).Draw(trt, "owner"))) },
		"lose a peer's reply": func(*rapid.T) { mch.dms.loseReplies.Store(1) },
		"restart":             func(trt *rapid.T) { mch.crash(daemon.Draw(trt, "daemon")) },
		"a day passes":        func(*rapid.T) { mch.passDay() },
	}
}

// crash restarts a daemon; its reservations stay behind without result.
func (mch *machine) crash(daemon int) {
	mch.dms.restart(daemon)
	var rest []held
	for _, hld := range mch.held {
		if hld.daemon == daemon {
			mch.disturbed = true
			continue
		}
		rest = append(rest, hld)
	}
	mch.held = rest
}

// passDay ends the time for which results are kept. Reservations that daemons still hold expire too.
func (mch *machine) passDay() {
	mch.clk.ahead.Add(int64(25 * time.Hour))
	for idx := range mch.keys {
		mch.keys[idx].expired = mch.keys[idx].expired || mch.keys[idx].sent > 0 || mch.holds(idx)
	}
}

// TestLedgerMachine guards against a key that two requests hold, against a result that is lost or given
// to other content, and against a key that becomes free again after its call was sent.
func TestLedgerMachine(t *testing.T) {
	rapid.Check(t, func(trt *rapid.T) {
		mch := newMachine()
		acts := mch.actions()
		acts[""] = func(trt *rapid.T) {
			for key, mod := range mch.keys {
				if mod.sent > 1 {
					trt.Fatalf("key %d was sent %d times", key, mod.sent)
				}
			}
		}
		trt.Repeat(acts)
		mch.fst.heal()
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
