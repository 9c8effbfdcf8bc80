package router_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/router"
)

var start = time.Unix(1000, 0)

func newRouter(policy router.Policy, seed uint64) *router.Router {
	return router.New(router.Config{
		Policy:             policy,
		Prefill:            200 * time.Millisecond,
		Step:               20 * time.Millisecond,
		StepTimePerRequest: time.Millisecond,
		AdapterLoad:        time.Second,
		MaxScoredTokens:    64,
		ScoreTolerance:     0.02,
		HalfLife:           time.Minute,
		MaxPrefixes:        4096,
	}, rand.New(rand.NewPCG(seed, 0)))
}

func newViews(num int) []router.ReplicaView {
	views := make([]router.ReplicaView, num)
	for idx := range views {
		views[idx] = router.ReplicaView{
			ReplicaID:  fmt.Sprintf("recipes-1/%d", idx),
			HasAdapter: true,
			Running:    4,
			Limit:      32,
			StepTime:   20 * time.Millisecond,
		}
	}
	return views
}

// TestChooseAvoids guards against choosing a replica that is known to answer late.
func TestChooseAvoids(t *testing.T) {
	for name, worsen := range map[string]func(viw *router.ReplicaView){
		"straggler":       func(viw *router.ReplicaView) { viw.StepTime *= 4 },
		"full":            func(viw *router.ReplicaView) { viw.Running = viw.Limit; viw.Waiting = 8 },
		"engine queue":    func(viw *router.ReplicaView) { viw.EngineRunning = 16; viw.EngineQueued = 4 },
		"missing adapter": func(viw *router.ReplicaView) { viw.HasAdapter = false },
		"larger batch":    func(viw *router.ReplicaView) { viw.Running += 12 },
	} {
		t.Run(name, func(t *testing.T) {
			rtr := newRouter(router.PolicyScore, 1)
			views := newViews(3)
			worsen(&views[0])
			worsen(&views[2])
			for range 50 {
				qt.Assert(t, rtr.Choose(router.Request{MaxTokens: 32}, views, start), qt.Equals, 1)
			}
		})
	}
}

// TestChoosePrefersCache guards against computing a shared prompt prefix at every replica, and against hints that
// never expire.
func TestChoosePrefersCache(t *testing.T) {
	rtr := newRouter(router.PolicyScore, 2)
	views := newViews(8)
	req := router.Request{Prefixes: []uint64{11, 12, 13, 14}, MaxTokens: 16}
	rtr.RecordSent(views[5].ReplicaID, req.Prefixes, start)
	for range 50 {
		qt.Assert(t, rtr.Choose(req, views, start.Add(time.Second)), qt.Equals, 5)
	}
	rtr.RecordCacheEvent(views[5].ReplicaID, 11, true, start)
	other := rtr.Choose(req, views, start.Add(time.Second))
	for range 50 {
		qt.Assert(t, rtr.Choose(req, views, start.Add(time.Second)), qt.Equals, other, qt.Commentf("all agree on a home replica"))
	}
	views[other].Running = 30
	rtr.RecordSent(views[5].ReplicaID, req.Prefixes, start)
	chosen := map[int]bool{}
	for range 200 {
		chosen[rtr.Choose(req, views, start.Add(time.Hour))] = true
	}
	qt.Assert(t, len(chosen), qt.Equals, 7, qt.Commentf("an old hint no longer counts"))
}

// TestChooseSpreads guards against daemons with the same stale view that all choose the same replica.
func TestChooseSpreads(t *testing.T) {
	views := newViews(10)
	counts := make([]int, len(views))
	for seed := range 1000 {
		counts[newRouter(router.PolicyScore, uint64(seed)).Choose(router.Request{MaxTokens: 32}, views, start)]++
	}
	for _, num := range counts {
		qt.Assert(t, num > 50 && num < 150, qt.IsTrue, qt.Commentf("%v", counts))
	}
}

// TestDaemonsWithOneViewSpread guards against overloading the emptiest replicas between two announcements. At a site of
// 80 daemons, 60 of them place a request by the same view. Without an estimate of the requests that the view lacks, all
// of them choose the emptiest replicas. A single daemon with a fresh view must still choose the emptiest.
func TestDaemonsWithOneViewSpread(t *testing.T) {
	const daemons = 60
	place := func(unseen float64) []int {
		views := newViews(14)
		for idx := range views {
			views[idx].Running = 8 + idx%4
		}
		counts := make([]int, len(views))
		for seed := range daemons {
			rtr := router.New(router.Config{
				Policy:             router.PolicyScore,
				Prefill:            30 * time.Millisecond,
				Step:               6 * time.Millisecond,
				StepTimePerRequest: 240 * time.Microsecond,
				ScorePerRequest:    54 * time.Millisecond,
				MaxScoredTokens:    100,
				ScoreTolerance:     0.001,
			}, rand.New(rand.NewPCG(uint64(seed), 1)))
			counts[rtr.Choose(router.Request{
				MaxTokens:      100,
				UnseenRequests: unseen,
			}, views, start)]++
		}
		return counts
	}
	// An even share is 60/14 requests; no replica may receive three times as many.
	qt.Assert(t, slices.Max(place(daemons)) <= 3*daemons/14, qt.IsTrue, qt.Commentf("%v", place(daemons)))
	fresh := place(0)
	for idx, num := range fresh {
		qt.Assert(t, num > 0, qt.Equals, idx%4 == 0, qt.Commentf("%v", fresh))
	}
}

// TestChooseAllocatesNothing guards against heap allocations for every request.
func TestChooseAllocatesNothing(t *testing.T) {
	rtr := newRouter(router.PolicyScore, 3)
	views := newViews(690)
	req := router.Request{Prefixes: []uint64{1, 2, 3, 4}, MaxTokens: 32}
	rtr.RecordSent(views[7].ReplicaID, req.Prefixes, start)
	qt.Assert(t, testing.AllocsPerRun(100, func() { rtr.Choose(req, views, start) }), qt.Equals, 0.0)
}

func BenchmarkChoose(b *testing.B) {
	for _, policy := range []router.Policy{
		router.PolicyScore,
		router.PolicyRoundRobin,
		router.PolicyLeastOutstanding,
		router.PolicyPowerOfTwo,
	} {
		for _, num := range []int{50, 100, 690} {
			b.Run(fmt.Sprintf("%s/%d", policy, num), func(b *testing.B) {
				rtr := newRouter(policy, 4)
				views := newViews(num)
				req := router.Request{Prefixes: []uint64{1, 2, 3, 4}, MaxTokens: 32}
				rtr.RecordSent(views[7].ReplicaID, req.Prefixes, start)
				b.ReportAllocs()
				for b.Loop() {
					rtr.Choose(req, views, start)
				}
			})
		}
	}
}
