package relay

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/logging"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/suspicion"
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

// stallWatch sends a request to further backend servers while its response is stalled, and gives the response up once one of them has
// begun to answer. Silence alone is no reason to give up a response: it may go on, as after a pause of all servers, and a server that was
// only chosen may decline, break off or be silent, too. A stream that only queues at a busy backend server is not stalled.
type stallWatch struct {
	run *run
	// ctx is that of the request.
	ctx context.Context
	// send is the one whose response is watched, and timeout the time without progress after which it counts as stalled.
	send    *send
	timeout time.Duration
	// sharedStreams is set if bytes of any stream of a server count as progress.
	sharedStreams bool
	// request is what replacements are chosen for. runs and sends are those of the request when the watch began, the watched send included.
	request placement.Request
	runs    int
	sends   int
	// onStall is called with the time of the stall, while the lock is held.
	onStall func(now time.Time)

	mu    sync.Mutex
	timer *time.Timer
	// dueAt is when the next check is due, and late is set if the latest one came late.
	dueAt        time.Time
	late         bool
	lastProgress time.Time
	// begun is set once bytes of the response have arrived, failed once the watched send has failed, and ended once nothing is watched
	// any more.
	begun  bool
	failed bool
	ended  bool
	// delivering is set while the caller receives a part of the response. Nothing is read meanwhile.
	delivering bool
	// reported is set once the stall is reported, and waiting once it is known that nothing can replace the response.
	reported bool
	waiting  bool
	// givenUp is set once the response was given up for a replacement.
	givenUp bool
	// inProgress are the sends that may replace the watched one, replacement is the one that has begun first, and results holds what
	// became of the others. settled is signalled when a send has begun or failed.
	inProgress  []*send
	replacement *send
	results     besideResults
	settled     *sync.Cond
}

// besideResults is what became of the sends beside a stalled one.
type besideResults struct {
	// started counts all of them, arrivals those that may have reached a backend server, and runs those that one may have run.
	started  int
	arrivals int
	runs     int
	// failed and declining hold the IDs of the backend servers, as in run.
	failed      []string
	declining   []string
	serverError *bufferedResponse
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
func (run *run) watchStall(ctx context.Context, snd *send) *stallWatch {
	wch := &stallWatch{
		run:           run,
		ctx:           ctx,
		send:          snd,
		timeout:       run.stallTimeout(snd.pick.UsualTime),
		sharedStreams: run.service.Engine != nil,
		runs:          run.runs,
		sends:         run.sends,
		lastProgress:  run.relay.clock.Now(),
	}
	wch.settled = sync.NewCond(&wch.mu)
	if !run.route.Repeatable() {
		return wch
	}
	if !snd.begun {
		wch.runs++
	}
	wch.onStall = wch.sendElsewhere
	wch.request = run.placementRequest()
	wch.request.MaxUsefulForecast = nil
	wch.mu.Lock()
	defer wch.mu.Unlock()
	if wch.maySend() {
		wch.timer = time.AfterFunc(wch.timeout, wch.check)
		wch.dueAt = run.relay.clock.Now().Add(wch.timeout)
	}
	return wch
}

// maySend reports whether the request may be sent to one more backend server. The caller holds the lock.
func (wch *stallWatch) maySend() bool {
	runs := wch.runs + wch.results.runs + len(wch.inProgress)
	return runs < wch.run.maxAttempts() && wch.sends+wch.results.started < wch.run.maxSends()
}

// check looks for a stall.
func (wch *stallWatch) check() {
	wch.mu.Lock()
	defer wch.mu.Unlock()
	if wch.ended || wch.replacement != nil {
		return
	}
	now := wch.run.relay.clock.Now()
	if left := wch.timeout - wch.silence(now); left > 0 || wch.delivering {
		wch.arm(now, max(left, stallCheckInterval))
		return
	}
	// If the daemon itself stood still, bytes may have arrived that it has not read yet.
	wch.late = !wch.late && now.Sub(wch.dueAt) > stallCheckInterval
	if wch.late {
		wch.arm(now, stallCheckInterval)
		return
	}
	wch.onStall(now)
}

// arm sets the time of the next check to that after the time wait. The caller holds the lock.
func (wch *stallWatch) arm(now time.Time, wait time.Duration) {
	wch.dueAt = now.Add(wait)
	wch.timer.Reset(wait)
}

// sendElsewhere sends a stalled request to one more backend server, if it may. The caller holds the lock.
func (wch *stallWatch) sendElsewhere(now time.Time) {
	if !wch.maySend() {
		return
	}
	wch.arm(now, stallCheckInterval)
	pick, err := wch.choose(now)
	if err != nil {
		wch.waitOn(now, err)
		return
	}
	wch.reportStall(now)
	wch.results.started++
	snd := wch.run.newSend(wch.ctx, pick, wch.sends+wch.results.started)
	wch.inProgress = append(wch.inProgress, snd)
	wch.run.relay.requestMetrics.retries.Inc(1)
	go wch.begin(snd)
}

// choose returns the choice of another backend server, to which the request may be sent once more.
func (wch *stallWatch) choose(now time.Time) (placement.Pick, error) {
	rly := wch.run.relay
	// A stream of which the caller has received a part has run soundly before.
	if !wch.run.committed && rly.deps.BlockedFor(wch.run.identity(), now) > 0 {
		return placement.Pick{}, errors.New("the request may crash backend servers")
	}
	request := wch.request
	request.StartWithin = wch.run.deadline.Sub(now)
	request.Avoid = slices.Concat(request.Avoid, wch.results.failed, wch.results.declining, []string{wch.send.pick.Server.ID})
	for _, snd := range wch.inProgress {
		request.Avoid = append(request.Avoid, snd.pick.Server.ID)
	}
	return rly.chooseForRetry(request, now)
}

// reportStall records the stall of the watched response, once. The caller holds the lock.
func (wch *stallWatch) reportStall(now time.Time) {
	if wch.reported {
		return
	}
	wch.reported = true
	rly, srv := wch.run.relay, wch.send.pick.Server
	rly.logger.Info("sending a stalled request to another backend server, too", zap.String("request", wch.run.requestHeaders.RequestID),
		zap.String("server", srv.ID), zap.Bool("begun", wch.begun),
		zap.Duration("connectionSilentFor", now.Sub(wch.lastProgress)),
		zap.Duration("serverSilentFor", wch.silenceOf(wch.send, wch.lastProgress, now)))
	rly.deps.SuspectPath(srv.Address)
	if wch.sharedStreams {
		rly.outliers.Eject(srv.ID, now)
		rly.deps.ReportFailure(srv, suspicion.Stalled, now)
	} else if rly.outliers.RecordFailure(srv.ID, now) {
		// For a plain service, one lost response says nothing about other requests to the server.
		rly.deps.ReportFailure(srv, suspicion.Stalled, now)
	}
}

// waitOn waits on for a stalled response that cannot be replaced yet because of cause. The caller holds the lock.
func (wch *stallWatch) waitOn(now time.Time, cause error) {
	// Backend servers that were at capacity may accept requests again.
	wch.results.declining = nil
	if wch.waiting {
		return
	}
	wch.waiting = true
	rly, srv := wch.run.relay, wch.send.pick.Server
	rly.requestMetrics.stalledWaiting.Inc(1)
	rly.logger.Info("waiting on for a response without progress, which cannot be replaced", zap.String("request", wch.run.requestHeaders.RequestID),
		zap.String("server", srv.ID), zap.Bool("begun", wch.begun),
		zap.Duration("silentFor", wch.silenceOf(wch.send, wch.lastProgress, now)), logging.Error(cause))
	// If the path is what failed, another one can be found.
	rly.deps.SuspectPath(srv.Address)
}

// begin begins a send that may replace the watched one, and closes it if it does not.
func (wch *stallWatch) begin(snd *send) {
	out, err := snd.begin()
	if wch.settle(snd, out, err) {
		return
	}
	snd.close()
}

// settle records what became of a send that may replace the watched one. It reports whether it does.
func (wch *stallWatch) settle(snd *send, out outcome, err error) bool {
	wch.mu.Lock()
	defer wch.mu.Unlock()
	defer wch.settled.Broadcast()
	wch.inProgress = slices.DeleteFunc(wch.inProgress, func(other *send) bool { return other == snd })
	if snd.arrived {
		wch.results.arrivals++
	} else {
		wch.run.relay.deps.ReturnRetry(wch.run.service.Name, wch.run.relay.clock.Now())
	}
	if snd.mayHaveRun {
		wch.results.runs++
	}
	if err == nil && len(snd.part) == 0 && snd.response.CloseDelimited() {
		// A server that breaks off ends the connection, too.
		out, err = unknown, errors.New("the connection ended without a part of the response")
	}
	switch {
	case wch.ended || snd.ctx.Err() != nil:
		return false
	case err == nil:
		wch.replaceBy(snd)
		return true
	case out == notRun:
		wch.results.declining = append(wch.results.declining, snd.pick.Server.ID)
	default:
		wch.results.failed = append(wch.results.failed, snd.pick.Server.ID)
	}
	if snd.serverError != nil {
		wch.results.serverError = snd.serverError
	}
	wch.run.logFailedSend(snd, out, err, snd.resumesStream, snd.lastEventID)
	// The next server is tried at once.
	wch.arm(wch.run.relay.clock.Now(), 0)
	return false
}

// replaceBy gives the watched response up for that of snd. The caller holds the lock.
func (wch *stallWatch) replaceBy(snd *send) {
	wch.replacement = snd
	wch.cancelInProgress()
	if wch.failed {
		return
	}
	rly, now := wch.run.relay, wch.run.relay.clock.Now()
	wch.givenUp = true
	rly.requestMetrics.stalledStreams.Inc(1)
	rly.logger.Info("gave up a response without progress", zap.String("request", wch.run.requestHeaders.RequestID),
		zap.String("server", wch.send.pick.Server.ID), zap.String("for", snd.pick.Server.ID), zap.Bool("firstEventSent", snd.resumesStream),
		zap.Duration("silentFor", now.Sub(wch.lastProgress)))
	wch.send.cancel()
}

func (wch *stallWatch) cancelInProgress() {
	for _, snd := range wch.inProgress {
		snd.cancel()
	}
}

// recordProgress records that bytes of the response arrived at now. It reports whether they are for the caller: they are not if the
// response has been given up.
func (wch *stallWatch) recordProgress(now time.Time) bool {
	wch.mu.Lock()
	defer wch.mu.Unlock()
	if wch.replacement != nil {
		return false
	}
	wch.lastProgress = now
	wch.begun = true
	wch.reported = false
	wch.cancelInProgress()
	return true
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
	if wch.send.pick.SetReading != nil {
		wch.send.pick.SetReading(!on)
	}
	wch.lastProgress = wch.run.relay.clock.Now()
}

// silence returns the time since the last progress of the watched response, or of a send beside it if that is later. The caller holds
// the lock.
func (wch *stallWatch) silence(now time.Time) time.Duration {
	silence := time.Duration(math.MaxInt64)
	if !wch.failed {
		silence = wch.silenceOf(wch.send, wch.lastProgress, now)
	}
	for _, snd := range wch.inProgress {
		silence = min(silence, wch.silenceOf(snd, snd.sentAt, now))
	}
	return silence
}

// silenceOf returns the time since the last progress of a send, or of its backend server on any connection of this daemon if streams
// are shared.
func (wch *stallWatch) silenceOf(snd *send, last, now time.Time) time.Duration {
	silence := now.Sub(last)
	if !wch.sharedStreams {
		return silence
	}
	if last := wch.run.relay.outliers.LastProgress(snd.pick.Server.ID); !last.IsZero() {
		silence = min(silence, now.Sub(last))
	}
	return silence
}

// gaveUp reports whether the response was given up for a replacement.
func (wch *stallWatch) gaveUp() bool {
	wch.mu.Lock()
	defer wch.mu.Unlock()
	return wch.givenUp
}

// stop ends the watch, since the response is complete or nothing can replace it any more. It reports whether the response had not been
// given up before.
func (wch *stallWatch) stop() bool {
	wch.mu.Lock()
	defer wch.mu.Unlock()
	wch.end()
	return wch.replacement == nil
}

// end ends the watch and the sends in progress. The caller holds the lock.
func (wch *stallWatch) end() {
	wch.ended = true
	if wch.timer != nil {
		wch.timer.Stop()
	}
	wch.cancelInProgress()
}

// await waits, after the watched send has failed, until one of the sends beside it has begun or all have failed. It returns the one
// that has begun, which the caller must close, and what became of the others.
func (wch *stallWatch) await() (*send, besideResults) {
	wch.mu.Lock()
	defer wch.mu.Unlock()
	wch.failed = true
	for wch.replacement == nil && len(wch.inProgress) > 0 {
		wch.settled.Wait()
	}
	wch.end()
	snd, rst := wch.replacement, wch.results
	wch.replacement = nil
	// Those that are being cancelled may run.
	rst.arrivals += len(wch.inProgress)
	rst.runs += len(wch.inProgress)
	return snd, rst
}

// abandon ends the watch and closes a replacement that await has not returned. It may be called again.
func (wch *stallWatch) abandon() {
	wch.mu.Lock()
	defer wch.mu.Unlock()
	wch.end()
	if wch.replacement != nil {
		wch.replacement.close()
		wch.replacement = nil
	}
}
