package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cumintally/cumintally/internal/atomictime"
	"github.com/cumintally/cumintally/internal/placement"
)

const (
	// streamStallTimeout is the time without a byte on any stream from a backend server after which its group counts
	// as stalled. It is several times the longest usual pause between events and well below the two seconds after
	// which callers abandon a stream.
	streamStallTimeout = 900 * time.Millisecond
	// callStallTimeout replaces streamStallTimeout for calls to plain services whose usual time is not known yet. After it
	// the response is probably lost, and a call that may be retried still has time for a retry.
	callStallTimeout = 600 * time.Millisecond
	// callStallShare is the share of the objective after which a call is retried, so that the retry can be on time, and
	// callStallFactor the multiple of the usual time of calls before which it is not: in an overload all calls take long,
	// and retries would add to it.
	callStallShare  = 0.65
	callStallFactor = 3
	// stallCheckInterval is the minimum time between two checks while other streams of the server make progress.
	stallCheckInterval = 150 * time.Millisecond
)

// stallWatch cancels the read of a stream whose backend server sends nothing on any stream of this daemon. A stream
// that only queues at a busy backend server is not cancelled.
type stallWatch struct {
	relay   *Relay
	server  string
	timeout time.Duration
	// sharedStreams is set if bytes of any stream of the server count as progress.
	sharedStreams bool
	cancel        context.CancelFunc
	timer         *time.Timer
	lastProgress  atomictime.Time
	fired         atomic.Bool
}

// stallTimeout returns the time without a byte after which a request counts as stalled.
func (run *run) stallTimeout(usualTime time.Duration) time.Duration {
	switch {
	case run.service.Engine != nil:
		return streamStallTimeout
	case usualTime == 0 || run.route.Objective == 0:
		return callStallTimeout
	default:
		return max(time.Duration(callStallShare*float64(run.route.Objective)), callStallFactor*usualTime)
	}
}

// watchStall starts a watch for a request that can be retried; for any other request the watch never fires.
func (run *run) watchStall(pick placement.Pick, cancel context.CancelFunc) *stallWatch {
	wch := &stallWatch{
		relay:  run.relay,
		server: pick.Server.ID,
		cancel: cancel,

		sharedStreams: run.service.Engine != nil,
	}
	if !run.route.Repeatable() || run.runs+1 >= max(1, run.route.MaxAttempts) {
		return wch
	}
	wch.timeout = run.stallTimeout(pick.UsualTime)
	wch.lastProgress.Store(run.relay.clock.Now())
	wch.timer = time.AfterFunc(wch.timeout, wch.check)
	return wch
}

func (wch *stallWatch) check() {
	last := wch.lastProgress.Load()
	if prg := wch.relay.outliers.LastProgress(wch.server); wch.sharedStreams && prg.After(last) {
		last = prg
	}
	if left := wch.timeout - wch.relay.clock.Since(last); left > 0 {
		wch.timer.Reset(max(left, stallCheckInterval))
		return
	}
	wch.fired.Store(true)
	wch.cancel()
}

// recordProgress records that bytes of the stream arrived at now.
func (wch *stallWatch) recordProgress(now time.Time) {
	wch.lastProgress.Store(now)
	wch.relay.outliers.RecordProgress(wch.server, now)
}

// connectionSilence returns the time since the last progress of the watched response.
func (wch *stallWatch) connectionSilence(now time.Time) time.Duration {
	return now.Sub(wch.lastProgress.Load())
}

// serverSilence returns the time since the last progress of the backend server on any connection of this daemon, or of the watched
// response if it had none.
func (wch *stallWatch) serverSilence(now time.Time) time.Duration {
	silence := wch.connectionSilence(now)
	if last := wch.relay.outliers.LastProgress(wch.server); !last.IsZero() {
		silence = min(silence, now.Sub(last))
	}
	return silence
}

func (wch *stallWatch) stalled() bool {
	return wch.fired.Load()
}

func (wch *stallWatch) stop() {
	if wch.timer != nil {
		wch.timer.Stop()
	}
}
