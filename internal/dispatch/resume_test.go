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
