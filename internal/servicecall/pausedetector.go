package servicecall

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

const (
	// heartbeatInterval is the time between two heartbeats of this process.
	heartbeatInterval = 200 * time.Millisecond
	// pauseThreshold is the time without a heartbeat that counts as a pause. It is well above the delays of a busy
	// machine and well below the 3 s after which a leaving backend server must receive no new calls.
	pauseThreshold = 1200 * time.Millisecond
	// blockTime is the time after a pause during which no call is sent: the list of VMs is from before the pause
	// until the daemons of the zone have sent a new one.
	blockTime = 2 * time.Second
)

// pauseDetector detects that this process was paused, for example by a live migration of its VM.
type pauseDetector struct {
	clk clockwork.Clock

	mu sync.Mutex
	// lastHeartbeat is the time of the last heartbeat. It is zero until run starts.
	lastHeartbeat time.Time
	blockedUntil  time.Time
}

// run records heartbeats until ctx ends.
func (det *pauseDetector) run(ctx context.Context) {
	det.mu.Lock()
	det.lastHeartbeat = det.clk.Now()
	det.mu.Unlock()
	for ctx.Err() == nil {
		_ = det.check()
		select {
		case <-ctx.Done():
		case <-det.clk.After(heartbeatInterval):
		}
	}
}

// check records a heartbeat. It fails during blockTime after a pause.
func (det *pauseDetector) check() error {
	now := det.clk.Now()
	det.mu.Lock()
	defer det.mu.Unlock()
	if det.lastHeartbeat.IsZero() {
		return nil
	}
	if now.Sub(det.lastHeartbeat) > pauseThreshold {
		det.blockedUntil = now.Add(blockTime)
	}
	det.lastHeartbeat = now
	if now.Before(det.blockedUntil) {
		return errors.New("this process was paused and its list of VMs may be outdated")
	}
	return nil
}
