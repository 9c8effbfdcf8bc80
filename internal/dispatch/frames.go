package dispatch

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/stream"
)

const (
	// maxResumes is how often in a row a broken stream is reopened without progress.
	maxResumes = 3
	// stallTimeout is the time without a frame after which a stream is closed unless there is a fresh report of its
	// group.
	stallTimeout = time.Second
	// stallCheckInterval is the time between two checks of a stream for a stall.
	stallCheckInterval = 250 * time.Millisecond
)

// frameRelay describes the transfer of the frames of one attempt into a history.
type frameRelay struct {
	token   stream.ResumeToken
	stream  *backend.Stream
	group   group.Group
	history *history
	// nextSequence is the sequence number of the next frame to transfer.
	nextSequence int
	// incarnations are those of the engines of the group when the stream was opened.
	incarnations map[string]uint64
	// first is a frame that was read from the stream before, nil if none was.
	first *backend.Frame
	// begin is called before each frame, and returns false if the frame is not for the caller any more. It may be nil.
	begin func() bool
}

func (rly *frameRelay) next() (backend.Frame, error) {
	if frm := rly.first; frm != nil {
		rly.first = nil
		return *frm, nil
	}
	return rly.stream.Next()
}

// relayFrames copies frames into the history and reopens the stream when it breaks, as long as that makes progress.
func (dsp *Dispatcher) relayFrames(ctx context.Context, rly *frameRelay) error {
	text := rly.token.Encode(dsp.config.TokenKey)
	asm := stream.New(rly.token.RequestID, rly.token.Attempt, rly.nextSequence)
	defer func() {
		rly.nextSequence = asm.Next()
		dsp.requestCounters.countDropped(asm.Drops())
	}()
	for resumes := 0; resumes <= maxResumes; resumes++ {
		before := asm.Next()
		err := dsp.copyFrames(ctx, rly, asm, text)
		rly.stream.Close()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			dsp.cancelUnlessAdopted(ctx, rly.token)
			return errors.Trace(ctx.Err())
		}
		if errors.Is(err, errOvertaken) {
			dsp.cancelStream(rly.token)
			return err
		}
		if dsp.lacksFreshReport(rly.group) {
			return errors.Annotate(errReplica, "a member has no fresh report")
		}
		if asm.Next() > before {
			resumes = 0
		}
		dsp.requestCounters.resumed.Inc(1)
		rly.stream, err = dsp.deps.Resume(ctx, rly.token.Address, rly.token.RequestID, rly.token.Attempt, asm.Next())
		if err != nil {
			return errors.Annotate(errReplica, err.Error())
		}
	}
	rly.stream.Close()
	return errors.Annotate(errReplica, "the stream broke repeatedly without progress")
}

// copyFrames reads frames until the last one. It closes a stalled stream whose group lacks a fresh report.
func (dsp *Dispatcher) copyFrames(ctx context.Context, rly *frameRelay, asm *stream.Assembler, token string) error {
	progress := make(chan struct{}, 1)
	done := make(chan struct{})
	defer close(done)
	go dsp.watchStall(rly.stream, rly.group, progress, done)
	for {
		frm, err := rly.next()
		if err != nil {
			return errors.Annotate(errReplica, err.Error())
		}
		select {
		case progress <- struct{}{}:
		default:
		}
		ok, err := asm.Accept(frm)
		if err != nil {
			return errors.Annotate(errReplica, err.Error())
		}
		if !ok {
			continue
		}
		if rly.begin != nil && !rly.begin() {
			return errors.Trace(errOvertaken)
		}
		rly.history.add(Event{
			Token:    token,
			Attempt:  frm.Attempt,
			Sequence: frm.Sequence,
			Text:     frm.Text,
			Finish:   frm.Finish,
		})
		if frm.Finish != "" {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Trace(ctx.Err())
		}
	}
}

func (dsp *Dispatcher) watchStall(str *backend.Stream, grp group.Group, progress, done <-chan struct{}) {
	last := dsp.clock.Now()
	for {
		select {
		case <-done:
			return
		case <-progress:
			last = dsp.clock.Now()
		case <-dsp.clock.After(stallCheckInterval):
			if dsp.clock.Since(last) > stallTimeout && dsp.lacksFreshReport(grp) {
				str.Close()
				return
			}
		}
	}
}

// lacksFreshReport reports whether a member of a stream's group has no fresh report. It is false for a stream that was
// resumed by its token, since the group of such a stream is unknown.
func (dsp *Dispatcher) lacksFreshReport(grp group.Group) bool {
	if len(grp.Members) == 0 {
		return false
	}
	_, ok := dsp.reportTable.GroupConfirmed(grp, dsp.clock.Now())
	return !ok
}

// cancelUnlessAdopted cancels the stream of a terminated run, unless another daemon reads it.
func (dsp *Dispatcher) cancelUnlessAdopted(ctx context.Context, tok stream.ResumeToken) {
	if !errors.Is(context.Cause(ctx), errAdopted) {
		dsp.cancelStream(tok)
	}
}

func (dsp *Dispatcher) cancelStream(tok stream.ResumeToken) {
	dsp.requestCounters.cancelled.Inc(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := dsp.deps.Cancel(ctx, tok.Address, tok.RequestID, tok.Attempt); err != nil {
			dsp.logger.Debug("cannot cancel stream", zap.String("request", tok.RequestID), zap.Error(err))
		}
	}()
}
