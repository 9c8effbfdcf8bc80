package relay

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// stallAfter is the time without a byte of any stream from a backend server after which its group is taken for
	// stalled: some times the longest usual pause between events, and well below the two seconds after which
	// callers give a stream up.
	stallAfter = 900 * time.Millisecond
	// silentCall takes its place for calls of plain services, whose answers come in some tens of milliseconds: after
	// it the answer has probably been lost, and a call that may be repeated still has time for it.
	silentCall = 600 * time.Millisecond
	// stallCheck spaces looks at other streams while this one waits.
	stallCheck = 150 * time.Millisecond
)

// stallWatch ends the read of a stream whose backend server sends nothing on any stream of this daemon. A
// stream that only waits its turn at a busy backend server is left alone.
type stallWatch struct {
	rly    *Relay
	server string
	after  time.Duration
	cancel context.CancelFunc
	timer  *time.Timer
	last   atomic.Int64
	fired  atomic.Bool
}

// watchStall watches a request that can go on elsewhere; for all others it returns a watch that never fires.
func (run *run) watchStall(server string, cancel context.CancelFunc) *stallWatch {
	wch := &stallWatch{
		rly:    run.rly,
		server: server,
		cancel: cancel,
	}
	if !run.route.Repeatable() || run.runs+1 >= max(1, run.route.MaxAttempts) {
		return wch
	}
	wch.after = stallAfter
	if run.service.Engine == nil {
		wch.after = silentCall
	}
	wch.last.Store(run.rly.clk.Now().UnixNano())
	wch.timer = time.AfterFunc(wch.after, wch.check)
	return wch
}

func (wch *stallWatch) check() {
	last := time.Unix(0, wch.last.Load())
	if prg := wch.rly.brd.LastProgress(wch.server); wch.after == stallAfter && prg.After(last) {
		last = prg
	}
	if left := wch.after - wch.rly.clk.Since(last); left > 0 {
		wch.timer.Reset(max(left, stallCheck))
		return
	}
	wch.fired.Store(true)
	wch.cancel()
}

// progress notes bytes of the stream.
func (wch *stallWatch) progress(now time.Time) {
	wch.last.Store(now.UnixNano())
	wch.rly.brd.Progress(wch.server, now)
}

func (wch *stallWatch) stalled() bool {
	return wch.fired.Load()
}

func (wch *stallWatch) stop() {
	if wch.timer != nil {
		wch.timer.Stop()
	}
}
