package servicecall

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

const (
	// tickInterval is the time between two signs of life of this process.
	tickInterval = 200 * time.Millisecond
	// pauseBound is the time without a sign of life that counts as a pause. It is well above the delays of
	// a busy machine and small against the 3 s after which a leaving backend server must get no new calls.
	pauseBound = 1200 * time.Millisecond
	// settleTime is the time after a pause in which no call is sent: the list of VMs is from before the
	// pause until the zone's daemons have passed on a new one.
	settleTime = 2 * time.Second
)

// wakefulness notices that this process was paused, as a VM is in a live migration.
type wakefulness struct {
	clk clockwork.Clock

	mu sync.Mutex
	// last is the last sign of life; zero says that run has not started.
	last  time.Time
	until time.Time
}

// run gives signs of life until ctx ends.
func (wak *wakefulness) run(ctx context.Context) {
	wak.mu.Lock()
	wak.last = wak.clk.Now()
	wak.mu.Unlock()
	for ctx.Err() == nil {
		_ = wak.check()
		select {
		case <-ctx.Done():
		case <-wak.clk.After(tickInterval):
		}
	}
}

// check fails for some time after a pause.
func (wak *wakefulness) check() error {
	now := wak.clk.Now()
	wak.mu.Lock()
	defer wak.mu.Unlock()
	if wak.last.IsZero() {
		return nil
	}
	if now.Sub(wak.last) > pauseBound {
		wak.until = now.Add(settleTime)
	}
	wak.last = now
	if now.Before(wak.until) {
		return errors.New("this process was paused and its list of VMs may be old")
	}
	return nil
}
