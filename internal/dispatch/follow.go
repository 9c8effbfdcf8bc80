package dispatch

import (
	"context"

	"github.com/juju/errors"
)

// follow hands the events of a run to emit, from an index on, until the run's end.
func (dsp *Dispatcher) follow(ctx context.Context, run *run, idx int, emit func(Event) error) error {
	run.enter()
	reached := false
	defer func() { run.leave(reached, idx > 0) }()
	for ; ; idx++ {
		evt, ok, err := run.his.next(ctx, idx)
		if !ok {
			// An error of the run itself is delivered now; an error of ctx means that the caller is gone.
			reached = ctx.Err() == nil
			return errors.Trace(err)
		}
		if err := emit(evt); err != nil {
			return errors.Trace(err)
		}
		if evt.Finish != "" {
			reached = true
			return nil
		}
	}
}

func (run *run) enter() {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.readers++
	run.visits++
}

// leave counts a reader out. A run without readers waits for its caller if that can come back, which
// takes an event with a resume token, or a daemon that asked for another zone.
func (run *run) leave(reached, begun bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.readers--
	if run.readers > 0 || run.removed {
		return
	}
	if reached || (!run.known && (!run.req.Streamed || !begun)) {
		run.drop(errAbandoned)
		return
	}
	visits := run.visits
	run.dsp.clk.AfterFunc(run.dsp.cfg.ResumeWindow, func() {
		run.mu.Lock()
		defer run.mu.Unlock()
		if run.visits == visits && !run.removed {
			run.drop(errAbandoned)
		}
	})
}

// drop ends a run and forgets it; run.mu is held.
func (run *run) drop(cause error) {
	run.removed = true
	run.cancel(cause)
	run.dsp.remove(run)
}

// endBy drops a run that another daemon adopts or that nobody asks for any more.
func (run *run) endBy(cause error) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if !run.removed {
		run.drop(cause)
	}
}

// Attach acts on a request in progress here for another daemon, on which the caller resumed it.
func (dsp *Dispatcher) Attach(ctx context.Context, att Attachment, accept func() error, emit func(Event) error) error {
	run := dsp.find(att.RequestID)
	if run == nil {
		return errors.Trace(ErrUnknownRun)
	}
	switch att.Action {
	case Adopt:
		run.endBy(errAdopted)
		return nil
	case Abandon:
		run.endBy(errAbandoned)
		return nil
	}
	idx, ok := run.his.after(att.Attempt, att.Sequence)
	if !ok {
		return errors.Trace(ErrUnknownRun)
	}
	if err := accept(); err != nil {
		return errors.Trace(err)
	}
	return dsp.follow(ctx, run, idx, emit)
}
