package probe

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/evidence"
	"github.com/cumintally/cumintally/internal/peer"
)

// TestFeed guards against evidence that looks younger than it is, or that confirms a report which has
// changed meanwhile, when answers are lost or come in another order.
func TestFeed(t *testing.T) {
	rapid.Check(t, func(rpt *rapid.T) {
		const late = 800 * time.Millisecond
		now := time.Unix(1000, 0)
		fed := newFeed()
		sub := newSubscription()
		latest := map[string]evidence.Entry{}
		known := map[string]evidence.Entry{}
		for range rapid.IntRange(1, 60).Draw(rpt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(rpt, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(rpt, "step") > 0 {
				ent := evidence.Entry{
					Report: backend.Report{
						VM:          fmt.Sprintf("vm-%d", rapid.IntRange(0, 3).Draw(rpt, "vm")),
						Incarnation: uint64(rapid.IntRange(1, 2).Draw(rpt, "incarnation")),
						Running:     rapid.IntRange(0, 9).Draw(rpt, "running"),
						State:       rapid.SampledFrom([]backend.State{backend.StateCold, backend.StateReady}).Draw(rpt, "state"),
					},
					AsOf: now.Add(-time.Millisecond),
				}
				fed.put(ent)
				latest[ent.Report.VM] = ent
				continue
			}
			que := sub.question(feedOwn)
			asked := now
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rpt, "delay")) * time.Millisecond)
			ans := fed.answer(que, now, late)
			if rapid.Bool().Draw(rpt, "lost") {
				continue
			}
			for _, ent := range sub.take(que, ans, asked) {
				last := latest[ent.Report.VM]
				if ent.AsOf.After(last.AsOf) {
					rpt.Fatalf("%s is said to be as of %v, but was reported at %v", ent.Report.VM, ent.AsOf, last.AsOf)
				}
				if ent.Report.Incarnation != last.Report.Incarnation {
					rpt.Fatalf("%s is said to have incarnation %d, but has %d", ent.Report.VM, ent.Report.Incarnation, last.Report.Incarnation)
				}
				if off := ent.Report.Running - last.Report.Running; last.Report.State == backend.StateCold && off != 0 || off < -2 || off > 2 {
					rpt.Fatalf("%s is said to run %d requests, but runs %d", ent.Report.VM, ent.Report.Running, last.Report.Running)
				}
				known[ent.Report.VM] = ent
			}
			for name, last := range latest {
				if now.Sub(last.AsOf) < keepFor && known[name].Report.VM == "" {
					rpt.Fatalf("%s is not passed on", name)
				}
			}
		}
	})
}

// TestSources guards against daemons whose reports reach no other one in a large zone.
func TestSources(t *testing.T) {
	c := qt.New(t)
	for num := 1; num <= 70; num++ {
		var alive []peer.Identity
		for idx := range num {
			alive = append(alive, peer.Identity{
				Name:    fmt.Sprintf("entry-%d", idx),
				Address: fmt.Sprintf("entry-%d", idx),
			})
		}
		// has holds, for each feed of each daemon, whose reports are in it; four rounds are the longest way.
		has := map[string]map[string]bool{}
		heard := map[string]map[string]bool{}
		for _, ide := range alive {
			for _, name := range []string{feedOwn, feedCell, feedZone} {
				has[ide.Name+name] = map[string]bool{ide.Name: true}
			}
			heard[ide.Name] = map[string]bool{ide.Name: true}
		}
		most := 0
		for range 4 {
			for _, ide := range alive {
				srcs := sources(ide.Name, alive)
				most = max(most, len(srcs))
				for _, src := range srcs {
					for name := range has[src.address+src.feed] {
						heard[ide.Name][name] = true
						for _, into := range src.into {
							has[ide.Name+into][name] = true
						}
					}
				}
			}
		}
		for _, ide := range alive {
			c.Assert(heard[ide.Name], qt.HasLen, num, qt.Commentf("%d daemons, %s", num, ide.Name))
		}
		c.Assert(most <= 18, qt.IsTrue, qt.Commentf("%d daemons: one asks %d", num, most))
	}
}
