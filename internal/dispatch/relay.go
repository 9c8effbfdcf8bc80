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
	// maxResumes is the number of times in a row that a broken stream is opened again without progress.
	maxResumes = 3
	// stallTime is the time without a frame after which a stream depends on fresh evidence of its group.
	stallTime = time.Second
	// stallInterval is the time between two checks of a silent stream.
	stallInterval = 250 * time.Millisecond
)

// relay moves the frames of one attempt into a history.
type relay struct {
	token   stream.Token
	stream  *backend.Stream
	group   group.Group
	history *history
	// next is the sequence number of the first frame wanted.
	next int
}

// relay copies frames and opens the stream again when it breaks, as long as that makes progress.
func (dsp *Dispatcher) relay(ctx context.Context, rly relay) error {
	text := rly.token.Encode(dsp.cfg.TokenKey)
	asm := stream.New(rly.token.RequestID, rly.token.Attempt, rly.next)
	defer func() { dsp.cnt.dropped(asm.Drops()) }()
	for resumes := 0; resumes <= maxResumes; resumes++ {
		before := asm.Next()
		err := dsp.copyFrames(ctx, rly, asm, text)
		rly.stream.Close()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			dsp.endStream(ctx, rly.token)
			return errors.Trace(ctx.Err())
		}
		if dsp.stalled(rly.group) {
			return errors.Annotate(errReplica, "a member is missing")
		}
		if asm.Next() > before {
			resumes = 0
		}
		dsp.cnt.resumed.Inc(1)
		rly.stream, err = dsp.sea.Resume(ctx, rly.token.Address, rly.token.RequestID, rly.token.Attempt, asm.Next())
		if err != nil {
			return errors.Annotate(errReplica, err.Error())
		}
	}
	rly.stream.Close()
	return errors.Annotate(errReplica, "the stream breaks without progress")
}

// copyFrames reads frames until the last one; it closes a silent stream whose group is no longer complete.
func (dsp *Dispatcher) copyFrames(ctx context.Context, rly relay, asm *stream.Assembler, token string) error {
	progress := make(chan struct{}, 1)
	done := make(chan struct{})
	defer close(done)
	go dsp.watchStall(rly, progress, done)
	for {
		frm, err := rly.stream.Next()
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

func (dsp *Dispatcher) watchStall(rly relay, progress, done <-chan struct{}) {
	last := dsp.clk.Now()
	for {
		select {
		case <-done:
			return
		case <-progress:
			last = dsp.clk.Now()
		case <-dsp.clk.After(stallInterval):
			if dsp.clk.Since(last) > stallTime && dsp.stalled(rly.group) {
				rly.stream.Close()
				return
			}
		}
	}
}

// stalled reports whether the evidence of a stream's group is lost; a stream read by its token has no known group.
func (dsp *Dispatcher) stalled(grp group.Group) bool {
	if len(grp.Members) == 0 {
		return false
	}
	_, ok := dsp.tab.Complete(grp, dsp.clk.Now())
	return !ok
}

// endStream cancels the stream of a run that was ended, unless another daemon reads it.
func (dsp *Dispatcher) endStream(ctx context.Context, tok stream.Token) {
	if !errors.Is(context.Cause(ctx), errAdopted) {
		dsp.cancelStream(tok)
	}
}

func (dsp *Dispatcher) cancelStream(tok stream.Token) {
	dsp.cnt.cancelled.Inc(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := dsp.sea.Cancel(ctx, tok.Address, tok.RequestID, tok.Attempt); err != nil {
			dsp.log.Debug("cannot cancel a stream", zap.String("request", tok.RequestID), zap.Error(err))
		}
	}()
}
