package relay

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/logging"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/serverregistry"
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
	// stallCheckInterval is the time between two checks of a stalled response, and the minimum while other streams of the server
	// make progress.
	stallCheckInterval = 150 * time.Millisecond
)

// stallWatch gives up a response of which nothing arrives, once the request can be sent to another backend server instead. Silence
// alone is no reason to give up a response: it may go on, as after a pause of all servers, and without a replacement nothing is
// better. A stream that only queues at a busy backend server is not given up.
type stallWatch struct {
	relay *Relay
	// request is the ID of the request.
	request string
	server  *serverregistry.Server
	timeout time.Duration
	// sharedStreams is set if bytes of any stream of the server count as progress.
	sharedStreams bool
	// replace returns the choice of another backend server, to which the request may be sent once more.
	replace func(begun bool) (placement.Pick, error)
	cancel  context.CancelFunc

	mu           sync.Mutex
	timer        *time.Timer
	lastProgress time.Time
	// begun is set once bytes of the response have arrived, and ended once it is no longer watched.
	begun bool
	ended bool
	// delivering is set while the caller receives a part of the response. Nothing is read meanwhile.
	delivering bool
	// waiting is set once the response was found stalled and could not be replaced.
	waiting     bool
	replacement *placement.Pick
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
		relay:        run.relay,
		request:      run.requestHeaders.RequestID,
		server:       pick.Server,
		cancel:       cancel,
		lastProgress: run.relay.clock.Now(),

		sharedStreams: run.service.Engine != nil,
	}
	if !run.route.Repeatable() || run.runs+1 >= run.maxAttempts() || run.sends >= run.maxSends() {
		return wch
	}
	wch.replace = run.replacer(pick.Server.ID)
	wch.timeout = run.stallTimeout(pick.UsualTime)
	wch.mu.Lock()
	defer wch.mu.Unlock()
	wch.timer = time.AfterFunc(wch.timeout, wch.check)
	return wch
}

// replacer returns the function by which a stallWatch replaces the backend server called server. It runs beside the attempt, and
// uses nothing of the run that changes meanwhile.
func (run *run) replacer(server string) func(begun bool) (placement.Pick, error) {
	rly, identity, deadline := run.relay, run.identity(), run.deadline
	request := run.placementRequest()
	request.Avoid = append(request.Avoid, server)
	request.MaxUsefulForecast = nil
	return func(begun bool) (placement.Pick, error) {
		now := rly.clock.Now()
		if !begun && rly.deps.BlockedFor(identity, now) > 0 {
			return placement.Pick{}, errors.New("the request may crash backend servers")
		}
		request.StartWithin = deadline.Sub(now)
		return rly.chooseForRetry(request, now)
	}
}

// check gives up the response if it is stalled and has a replacement.
func (wch *stallWatch) check() {
	wch.mu.Lock()
	defer wch.mu.Unlock()
	if wch.ended {
		return
	}
	now := wch.relay.clock.Now()
	silence := wch.connectionSilence(now)
	if wch.sharedStreams {
		silence = wch.serverSilence(now)
	}
	if left := wch.timeout - silence; left > 0 || wch.delivering {
		wch.timer.Reset(max(left, stallCheckInterval))
		return
	}
	pick, err := wch.replace(wch.begun)
	if err != nil {
		wch.waitOn(silence, err)
		return
	}
	wch.replacement = &pick
	wch.cancel()
}

// waitOn lets a stalled response go on that cannot be replaced yet because of cause. The caller holds the lock.
func (wch *stallWatch) waitOn(silence time.Duration, cause error) {
	if !wch.waiting {
		wch.waiting = true
		wch.relay.requestMetrics.stalledWaiting.Inc(1)
		wch.relay.logger.Info("waiting on for a response without progress, which cannot be replaced", zap.String("request", wch.request),
			zap.String("server", wch.server.ID), zap.Bool("begun", wch.begun), zap.Duration("silentFor", silence), logging.Error(cause))
		// If the path is what failed, another one can be found.
		wch.relay.deps.SuspectPath(wch.server.Address)
	}
	wch.timer.Reset(stallCheckInterval)
}

// recordProgress records that bytes of the response arrived at now.
func (wch *stallWatch) recordProgress(now time.Time) {
	wch.relay.outliers.RecordProgress(wch.server.ID, now)
	wch.mu.Lock()
	defer wch.mu.Unlock()
	wch.lastProgress = now
	wch.begun = true
}

// deliver calls write, which may wait for a slow caller. That time does not count as silence.
func (wch *stallWatch) deliver(write func() error) error {
	wch.setDelivering(true)
	defer wch.setDelivering(false)
	return write()
}

func (wch *stallWatch) setDelivering(on bool) {
	wch.mu.Lock()
	defer wch.mu.Unlock()
	wch.delivering = on
	wch.lastProgress = wch.relay.clock.Now()
}

// connectionSilence returns the time since the last progress of the watched response. The caller holds the lock.
func (wch *stallWatch) connectionSilence(now time.Time) time.Duration {
	return now.Sub(wch.lastProgress)
}

// serverSilence returns the time since the last progress of the backend server on any connection of this daemon, or of the watched
// response if it had none. The caller holds the lock.
func (wch *stallWatch) serverSilence(now time.Time) time.Duration {
	silence := wch.connectionSilence(now)
	if last := wch.relay.outliers.LastProgress(wch.server.ID); !last.IsZero() {
		silence = min(silence, now.Sub(last))
	}
	return silence
}

// silences returns connectionSilence and serverSilence.
func (wch *stallWatch) silences(now time.Time) (connection, server time.Duration) {
	wch.mu.Lock()
	defer wch.mu.Unlock()
	return wch.connectionSilence(now), wch.serverSilence(now)
}

// gaveUp reports whether the response was given up for a replacement.
func (wch *stallWatch) gaveUp() bool {
	wch.mu.Lock()
	defer wch.mu.Unlock()
	return wch.replacement != nil
}

// stop ends the watch, since the response is complete, broken, or nothing can replace it any more. It returns the replacement for which
// the response was given up before, nil if it was not. It may be called again.
func (wch *stallWatch) stop() *placement.Pick {
	wch.mu.Lock()
	defer wch.mu.Unlock()
	wch.ended = true
	if wch.timer != nil {
		wch.timer.Stop()
	}
	return wch.replacement
}
