package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/backend"
)

// harness runs one engine under test. Crashes of the engine are counted and do not end the process.
type harness struct {
	*qt.C
	engine  *Engine
	client  *backend.Client
	address string
	crashes atomic.Int32
}

func start(tst *testing.T, cfg Config, ord backend.Order) *harness {
	hrn := &harness{
		C:      qt.New(tst),
		client: backend.New(http.DefaultClient),
	}
	cfg.VM = "vm-0"
	if cfg.BaseStepTime == 0 {
		cfg.BaseStepTime = time.Millisecond
	}
	cfg.Retention = time.Minute
	hrn.engine = New(cfg, func() { hrn.crashes.Add(1) })
	tst.Cleanup(hrn.engine.Close)
	hrn.address = serve(tst, hrn.engine.Handler())
	hrn.Assert(hrn.order(ord), qt.IsNil)
	return hrn
}

func serve(tst *testing.T, hnd http.Handler) string {
	srv := httptest.NewServer(hnd)
	tst.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return strings.TrimPrefix(srv.URL, "http://")
}

func (hrn *harness) order(ord backend.Order) error {
	ord.NotAfter = time.Now().Add(time.Second)
	return hrn.client.Order(context.Background(), hrn.address, ord)
}

func (hrn *harness) generate(idn string, tokens, priority int) (*backend.Stream, error) {
	return hrn.client.Generate(context.Background(), hrn.address, backend.StreamRequest{
		RequestID: idn,
		Prompt:    "a prompt of " + idn,
		MaxTokens: tokens,
		Priority:  priority,
	})
}

func (hrn *harness) report() backend.Report {
	rep, err := hrn.client.Report(context.Background(), hrn.address)
	hrn.Assert(err, qt.IsNil)
	return rep
}

// eventually waits until a condition holds.
func (hrn *harness) eventually(what string, cond func() bool) {
	for due := time.Now().Add(5 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(due) {
			hrn.Fatalf("%s: not within 5 s", what)
		}
	}
}

func text(str *backend.Stream) (string, error) {
	txt := ""
	for {
		frm, err := str.Next()
		if err != nil || frm.Finish != "" {
			return txt, err
		}
		txt += frm.Text
	}
}

var alone = backend.Order{
	Fencing: 1,
	Group:   "group-1",
	Members: []string{"vm-0"},
}

// TestColdLimit guards against a stand-in that accepts more requests while cold than its stated limit, which would
// hide that daemons send it too many.
func TestColdLimit(tst *testing.T) {
	hrn := start(tst, Config{ColdLimit: 2, WarmAfter: 2}, alone)
	var strs []*backend.Stream
	for idx := range 2 {
		str, err := hrn.generate(fmt.Sprint(idx), 20, 0)
		hrn.Assert(err, qt.IsNil)
		strs = append(strs, str)
	}
	hrn.Assert(hrn.report().State, qt.Equals, backend.StateCold)
	hrn.Assert(hrn.crashes.Load(), qt.Equals, int32(0))
	_, err := hrn.generate("over", 20, 0)
	hrn.Assert(err, qt.ErrorIs, backend.ErrRejected)
	hrn.Assert(hrn.crashes.Load(), qt.Equals, int32(1))
	hrn.Assert(hrn.engine.Counts().ColdMost, qt.Equals, 3)
	for idx, str := range strs {
		txt, err := text(str)
		hrn.Assert(err, qt.IsNil)
		hrn.Assert(txt, qt.Equals, strings.Join(GenerateTokens("a prompt of "+fmt.Sprint(idx), 20), ""))
	}
	hrn.Assert(hrn.report().State, qt.Equals, backend.StateReady)
	for idx := range 6 {
		_, err := hrn.generate(fmt.Sprint("warm-", idx), 20, 0)
		hrn.Assert(err, qt.IsNil)
	}
	hrn.Assert(hrn.crashes.Load(), qt.Equals, int32(1))
}

// TestBatchPlaceIsFree guards against a last frame or the response to a cancel that is sent before the place of the request
// is free. An engine that receives exactly as many requests as its cold limit allows would then crash.
func TestBatchPlaceIsFree(tst *testing.T) {
	hrn := start(tst, Config{ColdLimit: 1, WarmAfter: 1000}, alone)
	for idx := range 30 {
		idn := fmt.Sprint(idx)
		str, err := hrn.generate(idn, 2, 0)
		hrn.Assert(err, qt.IsNil)
		if idx%2 == 0 {
			_, err = text(str)
			hrn.Assert(err, qt.IsNil)
		} else {
			hrn.Assert(hrn.client.Cancel(context.Background(), hrn.address, idn, 0), qt.IsNil)
		}
	}
	hrn.Assert(hrn.crashes.Load(), qt.Equals, int32(0))
}

// TestTurnCold guards against an engine that loses its requests when it turns cold, or that crashes before a daemon
// can know that it is cold.
func TestTurnCold(tst *testing.T) {
	hrn := start(tst, Config{ColdLimit: 1, WarmAfter: 0, ColdGracePeriod: 50 * time.Millisecond}, alone)
	str, err := hrn.generate("warmer", 1, 0)
	hrn.Assert(err, qt.IsNil)
	_, err = text(str)
	hrn.Assert(err, qt.IsNil)
	hrn.engine.cfg.WarmAfter = 1000
	old, err := hrn.generate("old", 30, 0)
	hrn.Assert(err, qt.IsNil)
	hrn.engine.faults.Set(Faults{TurnCold: true})
	hrn.Assert(hrn.report().State, qt.Equals, backend.StateCold)
	_, err = hrn.generate("first", 500, 0)
	hrn.Assert(err, qt.IsNil)
	_, err = hrn.generate("refused", 500, 0)
	hrn.Assert(err, qt.ErrorIs, backend.ErrRejected)
	hrn.Assert(hrn.crashes.Load(), qt.Equals, int32(0))
	_, err = text(old)
	hrn.Assert(err, qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	_, err = hrn.generate("over", 500, 0)
	hrn.Assert(err, qt.ErrorIs, backend.ErrRejected)
	hrn.Assert(hrn.crashes.Load(), qt.Equals, int32(1))
}

// TestPriorityAndGrowth guards against a queue that ignores priorities and a step time that does not grow with the
// batch.
func TestPriorityAndGrowth(tst *testing.T) {
	hrn := start(tst, Config{ColdLimit: 100, MaxBatch: 1, StepTimePerRequest: time.Second}, alone)
	first, err := hrn.generate("first", 20, 0)
	hrn.Assert(err, qt.IsNil)
	low, err := hrn.generate("low", 1, 1)
	hrn.Assert(err, qt.IsNil)
	high, err := hrn.generate("high", 50, 9)
	hrn.Assert(err, qt.IsNil)
	_, err = text(first)
	hrn.Assert(err, qt.IsNil)
	_, err = high.Next()
	hrn.Assert(err, qt.IsNil)
	_, err = text(low)
	hrn.Assert(err, qt.IsNil)
	hst := hrn.engine.streams["high.0"]
	hrn.Assert(hst.ended(), qt.IsTrue, qt.Commentf("the request of low priority ran before the one of high priority"))

	hrn.engine.mu.Lock()
	defer hrn.engine.mu.Unlock()
	hrn.engine.batch = []*stream{newStream("x", backend.StreamRequest{MaxTokens: 3}, false), newStream("y", backend.StreamRequest{MaxTokens: 3}, false)}
	hrn.engine.decoding = true
	hrn.engine.mu.Unlock()
	dur, _ := hrn.engine.decodeStep()
	hrn.engine.mu.Lock()
	hrn.Assert(dur >= time.Second, qt.IsTrue, qt.Commentf("%v", dur))
}

// TestCache guards against cache events that are visible at once, have no gaps, or lack an eviction.
func TestCache(tst *testing.T) {
	ckr := qt.New(tst)
	cch := newCache(2)
	now := time.Now()
	due := now.Add(time.Second)
	ckr.Assert(cch.insert([]uint64{1, 2}, due, 4), qt.Equals, 0)
	ckr.Assert(cch.insert([]uint64{1, 2}, due, 4), qt.Equals, 2)
	ckr.Assert(cch.insert([]uint64{1, 3}, due, 4), qt.Equals, 1)
	ckr.Assert(cch.insert([]uint64{2}, due, 4), qt.Equals, 0)
	ckr.Assert(cch.eventsSince(0, now), qt.HasLen, 0)
	ckr.Assert(cch.eventsSince(2, due), qt.DeepEquals, []backend.CacheEvent{
		{Sequence: 3, Prefix: 3},
		{Sequence: 5, Prefix: 2},
		{Sequence: 6, Prefix: 1, Evicted: true},
	})
}

// TestLaggedLoad guards against reports of the current load, which would make routing look better than it can be with
// stale reports.
func TestLaggedLoad(tst *testing.T) {
	hrn := start(tst, Config{ColdLimit: 9, ReportLag: 100 * time.Millisecond}, alone)
	_, err := hrn.generate("one", 5000, 0)
	hrn.Assert(err, qt.IsNil)
	hrn.Assert(hrn.report().Running+hrn.report().Queued, qt.Equals, 0)
	hrn.eventually("the report shows the request", func() bool { return hrn.report().Running == 1 })
}

// TestMemberLoss guards against a rank 0 that serves while another member is missing or in another group.
func TestMemberLoss(tst *testing.T) {
	var stretch, group atomic.Value
	stretch.Store(time.Millisecond)
	group.Store("")
	member := serve(tst, http.HandlerFunc(func(rsw http.ResponseWriter, _ *http.Request) {
		respondJSON(rsw, backend.Report{
			Group:    group.Load().(string),
			Fencing:  1,
			StepTime: stretch.Load().(time.Duration),
		})
	}))
	platform := serve(tst, http.HandlerFunc(func(rsw http.ResponseWriter, _ *http.Request) {
		respondJSON(rsw, map[string]string{"vm-1": member})
	}))
	ord := alone
	ord.Members = []string{"vm-0", "vm-1"}
	hrn := start(tst, Config{
		Platform:            platform,
		MemberCheckInterval: 5 * time.Millisecond,
		ColdLimit:           9,
	}, ord)
	time.Sleep(20 * time.Millisecond)
	hrn.Assert(hrn.report().State, qt.Equals, backend.StateLoading)
	_, err := hrn.generate("early", 1, 0)
	hrn.Assert(err, qt.ErrorIs, backend.ErrRejected)

	group.Store("group-1")
	hrn.eventually("the group forms", func() bool { return hrn.report().State == backend.StateCold })
	stretch.Store(7 * time.Millisecond)
	hrn.eventually("the straggler slows the group", func() bool { return hrn.report().StepTime == 7*time.Millisecond })
	str, err := hrn.generate("lost", 5000, 0)
	hrn.Assert(err, qt.IsNil)
	group.Store("another")
	_, err = text(str)
	hrn.Assert(err, qt.ErrorIs, backend.ErrBroken)
	hrn.Assert(hrn.report().State, qt.Equals, backend.StateLoading)
	hrn.Assert(hrn.engine.Counts().MembersLost, qt.Equals, 1)
}

// TestOrders guards against a stand-in that accepts an old fencing token without the IgnoreFencing fault, or rejects
// it with the fault.
func TestOrders(tst *testing.T) {
	for _, tcs := range []struct {
		name    string
		fencing uint64
		ignore  bool
		err     error
		group   string
	}{
		{"newer", 6, false, nil, "group-2"},
		{"older", 4, false, backend.ErrStaleOrder, "group-1"},
		{"older, ignored", 4, true, nil, "group-2"},
	} {
		tst.Run(tcs.name, func(tst *testing.T) {
			ord := alone
			ord.Fencing = 5
			hrn := start(tst, Config{ColdLimit: 1}, ord)
			hrn.engine.faults.Set(Faults{IgnoreFencing: tcs.ignore})
			ord.Fencing, ord.Group = tcs.fencing, "group-2"
			hrn.Assert(hrn.order(ord), qt.ErrorIs, tcs.err)
			hrn.Assert(hrn.report().Group, qt.Equals, tcs.group)
		})
	}
}
