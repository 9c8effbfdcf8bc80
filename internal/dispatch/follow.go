package dispatch

import (
	"context"

	"github.com/juju/errors"
)

// follow passes the events of a run to emit, starting at index idx, until the run ends.
func (dsp *Dispatcher) follow(ctx context.Context, run *run, idx int, emit func(Event) error) error {
	run.addReader()
	reached := false
	defer func() { run.removeReader(reached, idx > 0) }()
	for ; ; idx++ {
		evt, ok, err := run.eventHistory.next(ctx, idx)
		if !ok {
			// An error of the run itself is delivered now; an error of ctx means that the caller disconnected.
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

func (run *run) addReader() {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.readers++
	run.follows++
}

// removeReader decrements the number of readers. A run without readers waits ResumeWindow for its caller if the caller
// can reconnect: it needs an event with a resume token, or it is a daemon that can request the run by its ID.
func (run *run) removeReader(reached, begun bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.readers--
	if run.readers > 0 || run.removed {
		return
	}
	if reached || (!run.resumableFromStart && (!run.request.Streamed || !begun)) {
		run.terminate(errAbandoned)
		return
	}
	follows := run.follows
	run.dispatcher.clock.AfterFunc(run.dispatcher.config.ResumeWindow, func() {
		run.mu.Lock()
		defer run.mu.Unlock()
		if run.follows == follows && !run.removed {
			run.terminate(errAbandoned)
		}
	})
}

// terminate cancels a run and removes it from the table; run.mu must be held.
func (run *run) terminate(cause error) {
	run.removed = true
	run.cancel(cause)
	run.dispatcher.remove(run)
}

// stop terminates a run that another daemon has adopted or that no caller waits for.
func (run *run) stop(cause error) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if !run.removed {
		run.terminate(cause)
	}
}

// Attach handles the attachment of another daemon, at which the caller resumed its stream, to a request in progress
// here. For Follow it calls accept once the position is found, then passes the events after it to emit. It fails with
// ErrUnknownRequest if the request or the position is not known here.
func (dsp *Dispatcher) Attach(ctx context.Context, attachment Attachment, accept func() error, emit func(Event) error) error {
	run := dsp.find(attachment.RequestID)
	if run == nil {
		return errors.Trace(ErrUnknownRequest)
	}
	switch attachment.Action {
	case Adopt:
		run.stop(errAdopted)
		return nil
	case Abandon:
		run.stop(errAbandoned)
		return nil
	}
	idx, ok := run.eventHistory.after(attachment.Attempt, attachment.Sequence)
	if !ok {
		return errors.Trace(ErrUnknownRequest)
	}
	if err := accept(); err != nil {
		return errors.Trace(err)
	}
	return dsp.follow(ctx, run, idx, emit)
}
