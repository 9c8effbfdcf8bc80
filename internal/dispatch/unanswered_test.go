package dispatch_test

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/dispatch"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/vmreport"
)

const (
	// slowEngine is the address of the engine whose stream stalls, spareEngine that of the other one.
	slowEngine  = "127.0.0.1:1"
	spareEngine = "127.0.0.1:2"
	// reportMaxAge is the age up to which reports are fresh.
	reportMaxAge = 300 * time.Millisecond
	// silence is how long the slow engine sends nothing, which is longer than a stall.
	silence = 2500 * time.Millisecond
)

// slowStream is an engine that sends two frames of its text, nothing for silence, and then the rest.
type slowStream struct {
	wakesAt time.Time

	mu      sync.Mutex
	resumes int
	cancels []int
}

// open returns a stream from sequence number from that ends with ctx.
func (slw *slowStream) open(ctx context.Context, attempt, from int) *backend.Stream {
	rdr, wrt := io.Pipe()
	context.AfterFunc(ctx, func() { _ = rdr.Close() })
	go func() {
		for seq := from; seq < 4; seq++ {
			if seq == 2 {
				time.Sleep(time.Until(slw.wakesAt))
			}
			frm := backend.Frame{
				RequestID: "request-1",
				Attempt:   attempt,
				Sequence:  seq,
				Text:      string(rune('a' + seq)),
			}
			if seq == 3 {
				frm.Finish = "stop"
			}
			if writeFrame(wrt, frm) != nil {
				return
			}
		}
		_ = wrt.Close()
	}()
	return backend.NewStream(rdr)
}

func writeFrame(wrt io.Writer, frm backend.Frame) error {
	data, err := json.Marshal(frm)
	if err != nil {
		return err
	}
	_, err = io.WriteString(wrt, "data: "+string(data)+"\n\n")
	return err
}

func brokenStream() *backend.Stream {
	return backend.NewStream(io.NopCloser(strings.NewReader("")))
}

// silentStream returns a stream without frames that ends with ctx.
func silentStream(ctx context.Context) *backend.Stream {
	rdr, _ := io.Pipe()
	context.AfterFunc(ctx, func() { _ = rdr.Close() })
	return backend.NewStream(rdr)
}

// newSlowFixture returns a fixture whose first group has a stream that stalls and a report that becomes outdated, although the engine
// runs. Its first unreachable resumes fail.
func newSlowFixture(c *qt.C, unreachable int) (*fixture, *slowStream) {
	fix := newFixture(c)
	fix.tab = vmreport.New(reportMaxAge)
	fix.tab.Record(vmreport.Entry{
		Report: backend.Report{
			VM:      "vm-1",
			Group:   "groups/0",
			Fencing: 1,
			State:   backend.StateReady,
		},
		AsOf: time.Now(),
	})
	slw := &slowStream{
		wakesAt: time.Now().Add(silence),
	}
	fix.dps.FetchReport = func(context.Context, string) (backend.Report, error) { return backend.Report{}, nil }
	fix.dps.Generate = func(ctx context.Context, _ string, srq backend.StreamRequest) (*backend.Stream, error) {
		return slw.open(ctx, srq.Attempt, 0), nil
	}
	fix.dps.Resume = func(ctx context.Context, address, _ string, attempt, from int) (*backend.Stream, error) {
		if address != slowEngine {
			return nil, backend.ErrStreamNotFound
		}
		slw.mu.Lock()
		defer slw.mu.Unlock()
		slw.resumes++
		if slw.resumes <= unreachable {
			return nil, backend.ErrNotSent
		}
		return slw.open(ctx, attempt, from), nil
	}
	fix.dps.Cancel = func(_ context.Context, address, _ string, attempt int) error {
		slw.mu.Lock()
		defer slw.mu.Unlock()
		if address == slowEngine {
			slw.cancels = append(slw.cancels, attempt)
		}
		return nil
	}
	return fix, slw
}

// addSpare adds a second group that generate serves.
func (fix *fixture) addSpare(c *qt.C, generate func(ctx context.Context, srq backend.StreamRequest) (*backend.Stream, error)) {
	fix.allocate(c, 2, fix.grp, group.Group{
		Name:    "groups/1",
		Model:   "model-1",
		Fencing: 2,
		Members: []group.Member{
			{
				VM:      "vm-2",
				Address: spareEngine,
			},
		},
	})
	fix.tab.Record(vmreport.Entry{
		Report: backend.Report{
			VM:      "vm-2",
			Group:   "groups/1",
			Fencing: 2,
			State:   backend.StateReady,
		},
		AsOf: time.Now().Add(time.Hour),
	})
	first := fix.dps.Generate
	fix.dps.Generate = func(ctx context.Context, address string, srq backend.StreamRequest) (*backend.Stream, error) {
		if address == spareEngine {
			return generate(ctx, srq)
		}
		return first(ctx, address, srq)
	}
}

func (fix *fixture) dispatcher() *dispatch.Dispatcher {
	cfg := dispatch.Config{
		AvailabilityZone: "zone-1",
		TokenKey:         []byte("key"),
	}
	return dispatch.New(cfg, fix.dps, fix.inv, fix.tab, quarantine.New(), metrics.NewRegistry(), clockwork.NewRealClock(), zap.NewNop())
}

// generate runs a request and returns the text of its events.
func (fix *fixture) generate() (string, error) {
	return generate(fix.dispatcher())
}

func generate(dsp *dispatch.Dispatcher) (string, error) {
	text := ""
	err := dsp.Generate(context.Background(), dispatch.Request{
		RequestID: "request-1",
		Model:     "model-1",
		Streamed:  true,
		Deadline:  time.Now().Add(20 * time.Second),
	}, func(evt dispatch.Event) error {
		text += evt.Text
		return nil
	})
	return text, err
}

// Guards against a stream that is cancelled at a replica that still runs, for another replica that does not answer.
func TestStalledStreamOutlastsUselessReplacement(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		replace func(c *qt.C, fix *fixture)
	}{
		{
			name: "no retry left",
			replace: func(c *qt.C, fix *fixture) {
				fix.dps.TakeRetry = func(string, string) bool { return false }
				fix.addSpare(c, func(context.Context, backend.StreamRequest) (*backend.Stream, error) { return nil, backend.ErrBroken })
			},
		},
		{
			name:    "no other group",
			replace: func(*qt.C, *fixture) {},
		},
		{
			name: "other zone declines",
			replace: func(_ *qt.C, fix *fixture) {
				fix.dps.OtherZones = func() []string { return []string{"127.0.0.1:3"} }
				fix.dps.Forward = func(context.Context, string, dispatch.Request, func(dispatch.Event) error) error {
					return refusal.Unavailable("full", time.Second)
				}
			},
		},
		{
			name: "other zone is silent",
			replace: func(_ *qt.C, fix *fixture) {
				fix.dps.OtherZones = func() []string { return []string{"127.0.0.1:3"} }
				fix.dps.Forward = func(ctx context.Context, _ string, _ dispatch.Request, _ func(dispatch.Event) error) error {
					<-ctx.Done()
					return dispatch.ErrConnectionLost
				}
				fix.dps.Attach = func(context.Context, string, dispatch.Attachment, func(dispatch.Event) error) error { return nil }
			},
		},
		{
			name: "other group declines",
			replace: func(c *qt.C, fix *fixture) {
				fix.addSpare(c, func(context.Context, backend.StreamRequest) (*backend.Stream, error) { return nil, backend.ErrRejected })
			},
		},
		{
			name: "other group breaks off",
			replace: func(c *qt.C, fix *fixture) {
				fix.addSpare(c, func(context.Context, backend.StreamRequest) (*backend.Stream, error) { return brokenStream(), nil })
			},
		},
		{
			name: "other group is silent",
			replace: func(c *qt.C, fix *fixture) {
				fix.addSpare(c, func(ctx context.Context, _ backend.StreamRequest) (*backend.Stream, error) {
					return silentStream(ctx), nil
				})
			},
		},
	}
	for _, cas := range cases {
		for name, unreachable := range map[string]int{"silent": 0, "unreachable at first": 2} {
			t.Run(cas.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				fix, slw := newSlowFixture(c, unreachable)
				fix.dps.TakeRetry = func(string, string) bool { return true }
				cas.replace(c, fix)
				text, err := fix.generate()
				c.Assert(err, qt.IsNil)
				c.Assert(text, qt.Equals, "abcd")
				slw.mu.Lock()
				defer slw.mu.Unlock()
				c.Assert(slw.cancels, qt.HasLen, 0)
			})
		}
	}
}

// restOfText returns the stream of a replica that continues the text after the first two frames.
func restOfText(_ context.Context, srq backend.StreamRequest) (*backend.Stream, error) {
	rdr, wrt := io.Pipe()
	go func() {
		for seq, text := range []string{"c", "d"} {
			_ = writeFrame(wrt, backend.Frame{
				RequestID: srq.RequestID,
				Attempt:   srq.Attempt,
				Sequence:  seq,
				Text:      text,
				Finish:    map[int]string{1: "stop"}[seq],
			})
		}
	}()
	return backend.NewStream(rdr), nil
}

// Guards against a stalled stream that goes on at its replica, or holds a permit, after another replica has continued its text.
func TestReplacedStreamIsCancelledOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	fix, slw := newSlowFixture(c, 1000)
	slw.wakesAt = time.Now().Add(time.Hour)
	var held atomic.Int64
	fix.dps.TakeRetry = func(string, string) bool { return true }
	fix.dps.Acquire = func(context.Context, dispatch.Request, dispatch.Candidate) (func(), error) {
		held.Add(1)
		return func() { held.Add(-1) }, nil
	}
	fix.addSpare(c, restOfText)
	text, err := fix.generate()
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, "abcd")
	for end := time.Now().Add(5 * time.Second); held.Load() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(held.Load(), qt.Equals, int64(0))
	time.Sleep(100 * time.Millisecond)
	slw.mu.Lock()
	defer slw.mu.Unlock()
	c.Assert(slw.cancels, qt.DeepEquals, []int{0})
}

// Guards against frames of two replicas in one response, when a stalled stream goes on in the moment in which another replica answers.
func TestOnlyOneReplicaContinuesTheText(t *testing.T) {
	t.Parallel()
	const runs = 16
	for idx := range runs {
		t.Run(strconv.Itoa(idx), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			fix, slw := newSlowFixture(c, 0)
			answersAt := time.Now().Add(silence)
			slw.wakesAt = answersAt.Add(time.Duration(idx-runs/2) * 250 * time.Microsecond)
			fix.dps.TakeRetry = func(string, string) bool { return true }
			fix.addSpare(c, func(ctx context.Context, srq backend.StreamRequest) (*backend.Stream, error) {
				time.Sleep(time.Until(answersAt))
				return restOfText(ctx, srq)
			})
			text, err := fix.generate()
			c.Assert(err, qt.IsNil)
			c.Assert(text, qt.Equals, "abcd")
		})
	}
}

// Guards against a daemon that stops while a stalled stream waits to be resumed.
func TestDrainWaitsForStalledStream(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	fix, slw := newSlowFixture(c, 2)
	fix.dps.TakeRetry = func(string, string) bool { return true }
	dsp := fix.dispatcher()
	drained := make(chan struct{})
	time.AfterFunc(silence/2, func() {
		defer close(drained)
		dsp.Drain(context.Background())
		c.Check(time.Now().Before(slw.wakesAt), qt.IsFalse)
	})
	text, err := generate(dsp)
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, "abcd")
	<-drained
}
