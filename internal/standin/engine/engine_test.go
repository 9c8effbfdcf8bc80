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

// bench is one engine under test, whose crashes are counted instead of ending the process.
type bench struct {
	*qt.C
	eng     *Engine
	cli     *backend.Client
	adr     string
	crashes atomic.Int32
}

func start(tst *testing.T, cfg Config, ord backend.Order) *bench {
	bnc := &bench{
		C:   qt.New(tst),
		cli: backend.New(http.DefaultClient),
	}
	cfg.VM = "vm-0"
	if cfg.BaseStepTime == 0 {
		cfg.BaseStepTime = time.Millisecond
	}
	cfg.Retention = time.Minute
	bnc.eng = New(cfg, func() { bnc.crashes.Add(1) })
	tst.Cleanup(bnc.eng.Close)
	bnc.adr = serve(tst, bnc.eng.Handler())
	bnc.Assert(bnc.order(ord), qt.IsNil)
	return bnc
}

func serve(tst *testing.T, hnd http.Handler) string {
	srv := httptest.NewServer(hnd)
	tst.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return strings.TrimPrefix(srv.URL, "http://")
}

func (bnc *bench) order(ord backend.Order) error {
	ord.NotAfter = time.Now().Add(time.Second)
	return bnc.cli.Order(context.Background(), bnc.adr, ord)
}

func (bnc *bench) generate(idn string, tokens, priority int) (*backend.Stream, error) {
	return bnc.cli.Generate(context.Background(), bnc.adr, backend.StreamRequest{
		RequestID: idn,
		Prompt:    "a prompt of " + idn,
		MaxTokens: tokens,
		Priority:  priority,
	})
}

func (bnc *bench) report() backend.Report {
	rep, err := bnc.cli.Report(context.Background(), bnc.adr)
	bnc.Assert(err, qt.IsNil)
	return rep
}

// eventually waits until a condition holds.
func (bnc *bench) eventually(what string, cond func() bool) {
	for due := time.Now().Add(5 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(due) {
			bnc.Fatalf("%s: not within 5 s", what)
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

// TestColdLimit guards against a stand-in that bears more while cold than it states, which would hide
// excess load sent to it.
func TestColdLimit(tst *testing.T) {
	bnc := start(tst, Config{ColdLimit: 2, WarmAfter: 2}, alone)
	var strs []*backend.Stream
	for idx := range 2 {
		str, err := bnc.generate(fmt.Sprint(idx), 20, 0)
		bnc.Assert(err, qt.IsNil)
		strs = append(strs, str)
	}
	bnc.Assert(bnc.report().State, qt.Equals, backend.StateCold)
	bnc.Assert(bnc.crashes.Load(), qt.Equals, int32(0))
	_, err := bnc.generate("over", 20, 0)
	bnc.Assert(err, qt.ErrorIs, backend.ErrRejected)
	bnc.Assert(bnc.crashes.Load(), qt.Equals, int32(1))
	bnc.Assert(bnc.eng.Counts().ColdMost, qt.Equals, 3)
	for idx, str := range strs {
		txt, err := text(str)
		bnc.Assert(err, qt.IsNil)
		bnc.Assert(txt, qt.Equals, strings.Join(GenerateTokens("a prompt of "+fmt.Sprint(idx), 20), ""))
	}
	bnc.Assert(bnc.report().State, qt.Equals, backend.StateReady)
	for idx := range 6 {
		_, err := bnc.generate(fmt.Sprint("warm-", idx), 20, 0)
		bnc.Assert(err, qt.IsNil)
	}
	bnc.Assert(bnc.crashes.Load(), qt.Equals, int32(1))
}

// TestPlaceIsFree guards against a last frame or a cancel that comes before the place is free, which
// would make an engine fall over that is sent exactly what it bears.
func TestPlaceIsFree(tst *testing.T) {
	bnc := start(tst, Config{ColdLimit: 1, WarmAfter: 1000}, alone)
	for idx := range 30 {
		idn := fmt.Sprint(idx)
		str, err := bnc.generate(idn, 2, 0)
		bnc.Assert(err, qt.IsNil)
		if idx%2 == 0 {
			_, err = text(str)
			bnc.Assert(err, qt.IsNil)
		} else {
			bnc.Assert(bnc.cli.Cancel(context.Background(), bnc.adr, idn, 0), qt.IsNil)
		}
	}
	bnc.Assert(bnc.crashes.Load(), qt.Equals, int32(0))
}

// TestTurnCold guards against an engine that loses its requests when it turns cold, or that falls over
// before anybody can know.
func TestTurnCold(tst *testing.T) {
	bnc := start(tst, Config{ColdLimit: 1, WarmAfter: 0, ColdGracePeriod: 50 * time.Millisecond}, alone)
	str, err := bnc.generate("warmer", 1, 0)
	bnc.Assert(err, qt.IsNil)
	_, err = text(str)
	bnc.Assert(err, qt.IsNil)
	bnc.eng.cfg.WarmAfter = 1000
	old, err := bnc.generate("old", 30, 0)
	bnc.Assert(err, qt.IsNil)
	bnc.eng.flt.Set(Faults{TurnCold: true})
	bnc.Assert(bnc.report().State, qt.Equals, backend.StateCold)
	_, err = bnc.generate("first", 500, 0)
	bnc.Assert(err, qt.IsNil)
	_, err = bnc.generate("refused", 500, 0)
	bnc.Assert(err, qt.ErrorIs, backend.ErrRejected)
	bnc.Assert(bnc.crashes.Load(), qt.Equals, int32(0))
	_, err = text(old)
	bnc.Assert(err, qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	_, err = bnc.generate("over", 500, 0)
	bnc.Assert(err, qt.ErrorIs, backend.ErrRejected)
	bnc.Assert(bnc.crashes.Load(), qt.Equals, int32(1))
}

// TestPriorityAndGrowth guards against a queue that ignores priorities and a step time that does not
// grow with the batch.
func TestPriorityAndGrowth(tst *testing.T) {
	bnc := start(tst, Config{ColdLimit: 100, MaxBatch: 1, StepTimePerRequest: time.Second}, alone)
	first, err := bnc.generate("first", 20, 0)
	bnc.Assert(err, qt.IsNil)
	low, err := bnc.generate("low", 1, 1)
	bnc.Assert(err, qt.IsNil)
	high, err := bnc.generate("high", 50, 9)
	bnc.Assert(err, qt.IsNil)
	_, err = text(first)
	bnc.Assert(err, qt.IsNil)
	_, err = high.Next()
	bnc.Assert(err, qt.IsNil)
	_, err = text(low)
	bnc.Assert(err, qt.IsNil)
	hst := bnc.eng.streams["high.0"]
	bnc.Assert(hst.ended(), qt.IsTrue, qt.Commentf("the low priority ran before the high one"))

	bnc.eng.mu.Lock()
	defer bnc.eng.mu.Unlock()
	bnc.eng.batch = []*stream{newStream("x", backend.StreamRequest{MaxTokens: 3}, false), newStream("y", backend.StreamRequest{MaxTokens: 3}, false)}
	bnc.eng.stepping = true
	bnc.eng.mu.Unlock()
	dur, _ := bnc.eng.step()
	bnc.eng.mu.Lock()
	bnc.Assert(dur >= time.Second, qt.IsTrue, qt.Commentf("%v", dur))
}

// TestCache guards against cache events that come at once, without gaps, or are missing an eviction.
func TestCache(tst *testing.T) {
	ckr := qt.New(tst)
	cch := newCache(2)
	now := time.Now()
	due := now.Add(time.Second)
	ckr.Assert(cch.use([]uint64{1, 2}, due, 4), qt.Equals, 0)
	ckr.Assert(cch.use([]uint64{1, 2}, due, 4), qt.Equals, 2)
	ckr.Assert(cch.use([]uint64{1, 3}, due, 4), qt.Equals, 1)
	ckr.Assert(cch.use([]uint64{2}, due, 4), qt.Equals, 0)
	ckr.Assert(cch.since(0, now), qt.HasLen, 0)
	ckr.Assert(cch.since(2, due), qt.DeepEquals, []backend.CacheEvent{
		{Sequence: 3, Prefix: 3},
		{Sequence: 5, Prefix: 2},
		{Sequence: 6, Prefix: 1, Evicted: true},
	})
}

// TestLaggedLoad guards against load figures that are fresh, which would make routing look better than
// it can be.
func TestLaggedLoad(tst *testing.T) {
	bnc := start(tst, Config{ColdLimit: 9, ReportLag: 100 * time.Millisecond}, alone)
	_, err := bnc.generate("one", 5000, 0)
	bnc.Assert(err, qt.IsNil)
	bnc.Assert(bnc.report().Running+bnc.report().Queued, qt.Equals, 0)
	bnc.eventually("the report shows the request", func() bool { return bnc.report().Running == 1 })
}

// TestMemberLoss guards against a rank 0 that serves while another member is gone or in another group.
func TestMemberLoss(tst *testing.T) {
	var stretch, group atomic.Value
	stretch.Store(time.Millisecond)
	group.Store("")
	member := serve(tst, http.HandlerFunc(func(rsw http.ResponseWriter, _ *http.Request) {
		answer(rsw, backend.Report{
			Group:    group.Load().(string),
			Fencing:  1,
			StepTime: stretch.Load().(time.Duration),
		})
	}))
	platform := serve(tst, http.HandlerFunc(func(rsw http.ResponseWriter, _ *http.Request) {
		answer(rsw, map[string]string{"vm-1": member})
	}))
	ord := alone
	ord.Members = []string{"vm-0", "vm-1"}
	bnc := start(tst, Config{
		Platform:            platform,
		MemberCheckInterval: 5 * time.Millisecond,
		ColdLimit:           9,
	}, ord)
	time.Sleep(20 * time.Millisecond)
	bnc.Assert(bnc.report().State, qt.Equals, backend.StateLoading)
	_, err := bnc.generate("early", 1, 0)
	bnc.Assert(err, qt.ErrorIs, backend.ErrRejected)

	group.Store("group-1")
	bnc.eventually("the group forms", func() bool { return bnc.report().State == backend.StateCold })
	stretch.Store(7 * time.Millisecond)
	bnc.eventually("the straggler slows the group", func() bool { return bnc.report().StepTime == 7*time.Millisecond })
	str, err := bnc.generate("lost", 5000, 0)
	bnc.Assert(err, qt.IsNil)
	group.Store("another")
	_, err = text(str)
	bnc.Assert(err, qt.ErrorIs, backend.ErrBroken)
	bnc.Assert(bnc.report().State, qt.Equals, backend.StateLoading)
	bnc.Assert(bnc.eng.Counts().MembersLost, qt.Equals, 1)
}

// TestOrders guards against a stand-in that mixes up engines that check fencing numbers and those that
// ignore them.
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
			bnc := start(tst, Config{ColdLimit: 1}, ord)
			bnc.eng.flt.Set(Faults{IgnoreFencing: tcs.ignore})
			ord.Fencing, ord.Group = tcs.fencing, "group-2"
			bnc.Assert(bnc.order(ord), qt.ErrorIs, tcs.err)
			bnc.Assert(bnc.report().Group, qt.Equals, tcs.group)
		})
	}
}
