package dispatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/dispatch"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/stream"
)

// Guards against the owner of a stream that lets go of it for a daemon that does not reach the engine.
func TestOwnerKeepsItsStreamUntilItIsReadElsewhere(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	fix := newFixture(c)
	var adopts atomic.Int64
	fix.dps.Attach = func(_ context.Context, _ string, att dispatch.Attachment, _ func(dispatch.Event) error) error {
		if att.Action == dispatch.Adopt {
			adopts.Add(1)
			return nil
		}
		return dispatch.ErrConnectionLost
	}
	fix.dps.Resume = func(context.Context, string, string, int, int) (*backend.Stream, error) {
		time.Sleep(200 * time.Millisecond)
		return nil, backend.ErrNotSent
	}
	cfg := dispatch.Config{
		AvailabilityZone: "zone-1",
		Self:             "127.0.0.1:8",
		TokenKey:         []byte("key"),
	}
	dsp := dispatch.New(cfg, fix.dps, fix.inv, fix.tab, quarantine.New(), metrics.NewRegistry(), clockwork.NewRealClock(), zap.NewNop())
	tok := stream.ResumeToken{
		RequestID: "request-1",
		Address:   slowEngine,
		Owner:     "127.0.0.1:9",
	}
	err := dsp.Resume(context.Background(), tok, 1, time.Now().Add(5*time.Second), func(dispatch.Event) error { return nil })
	c.Assert(err, qt.IsNotNil)
	c.Assert(adopts.Load(), qt.Equals, int64(0))
}

// Guards against a forwarded request that is abandoned at a daemon that runs it, when the path to that daemon is cut for a moment and no
// other replica can take the request.
func TestForwardedRequestOutlastsCutPath(t *testing.T) {
	t.Parallel()
	for name, before := range map[string]int{
		"before the first event": 0,
		"in the middle":          2,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			fix := newFixture(c)
			fix.allocate(c, 2)
			const owner = "127.0.0.1:9"
			key := []byte("key")
			event := func(seq int) dispatch.Event {
				tok := stream.ResumeToken{
					RequestID: "request-1",
					Address:   slowEngine,
					Owner:     owner,
				}
				return dispatch.Event{
					Token:    tok.Encode(key),
					Sequence: seq,
					Text:     string(rune('a' + seq)),
					Finish:   map[int]string{3: "stop"}[seq],
				}
			}
			var abandoned atomic.Int64
			var forwards atomic.Int64
			healed := time.Now().Add(1500 * time.Millisecond)
			fix.dps.OtherZones = func() []string { return []string{owner} }
			fix.dps.TakeRetry = func(string, string) bool { return true }
			fix.dps.Forward = func(_ context.Context, _ string, _ dispatch.Request, emit func(dispatch.Event) error) error {
				if forwards.Add(1) > 1 {
					return dispatch.ErrUnreachable
				}
				for seq := range before {
					if err := emit(event(seq)); err != nil {
						return err
					}
				}
				return dispatch.ErrConnectionLost
			}
			fix.dps.Attach = func(_ context.Context, _ string, att dispatch.Attachment, emit func(dispatch.Event) error) error {
				if att.Action == dispatch.Abandon {
					abandoned.Add(1)
					return nil
				}
				if time.Now().Before(healed) {
					return dispatch.ErrUnreachable
				}
				for seq := att.Sequence + 1; seq < 4; seq++ {
					if err := emit(event(seq)); err != nil {
						return err
					}
				}
				return nil
			}
			fix.dps.Resume = func(context.Context, string, string, int, int) (*backend.Stream, error) {
				return nil, backend.ErrNotSent
			}
			text, err := fix.generate()
			c.Assert(err, qt.IsNil)
			c.Assert(text, qt.Equals, "abcd")
			c.Assert(abandoned.Load(), qt.Equals, int64(0))
			c.Assert(forwards.Load(), qt.Equals, int64(1))
		})
	}
}
