package probe

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/vmreport"
)

// TestFeed guards against a feed that understates the age of a report, omits a VM, or confirms a report that
// has changed since. Random reports and pulls with random delays are run, and some replies are lost.
func TestFeed(t *testing.T) {
	rapid.Check(t, func(rpt *rapid.T) {
		const late = 800 * time.Millisecond
		now := time.Unix(1000, 0)
		fed := newFeed()
		sub := newSubscription()
		latest := map[string]vmreport.Entry{}
		known := map[string]vmreport.Entry{}
		for range rapid.IntRange(1, 60).Draw(rpt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(rpt, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(rpt, "step") > 0 {
				ent := vmreport.Entry{
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
			req := sub.request(feedOwn)
			asked := now
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rpt, "delay")) * time.Millisecond)
			rpl := fed.reply(req, now, late)
			if rapid.Bool().Draw(rpt, "lost") {
				continue
			}
			for _, ent := range sub.apply(req, rpl, asked) {
				last := latest[ent.Report.VM]
				if ent.AsOf.After(last.AsOf) {
					rpt.Fatalf("%s: the feed dates the report %v, but it is of %v", ent.Report.VM, ent.AsOf, last.AsOf)
				}
				if ent.Report.Incarnation != last.Report.Incarnation {
					rpt.Fatalf("%s: the feed has incarnation %d, the VM reported %d", ent.Report.VM, ent.Report.Incarnation, last.Report.Incarnation)
				}
				if off := ent.Report.Running - last.Report.Running; last.Report.State == backend.StateCold && off != 0 || off < -2 || off > 2 {
					rpt.Fatalf("%s: the feed has %d running requests, the VM reported %d", ent.Report.VM, ent.Report.Running, last.Report.Running)
				}
				known[ent.Report.VM] = ent
			}
			for name, last := range latest {
				if now.Sub(last.AsOf) < reportRetention && known[name].Report.VM == "" {
					rpt.Fatalf("%s: the report is missing from the feed", name)
				}
			}
		}
	})
}

// TestSources guards against a topology in which the reports of a daemon do not reach all others, or in which
// one daemon pulls from too many others.
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
		// has holds, for each feed of each daemon, the daemons whose reports are in it. After four rounds the
		// reports must have reached all daemons.
		has := map[string]map[string]bool{}
		received := map[string]map[string]bool{}
		for _, ide := range alive {
			for _, name := range []string{feedOwn, feedCell, feedZone} {
				has[ide.Name+name] = map[string]bool{ide.Name: true}
			}
			received[ide.Name] = map[string]bool{ide.Name: true}
		}
		most := 0
		for range 4 {
			for _, ide := range alive {
				srcs := sources(ide.Name, alive)
				most = max(most, len(srcs))
				for _, src := range srcs {
					for name := range has[src.address+src.feed] {
						received[ide.Name][name] = true
						for _, into := range src.republish {
							has[ide.Name+into][name] = true
						}
					}
				}
			}
		}
		for _, ide := range alive {
			c.Assert(received[ide.Name], qt.HasLen, num, qt.Commentf("%d daemons, %s", num, ide.Name))
		}
		c.Assert(most <= 18, qt.IsTrue, qt.Commentf("%d daemons: one pulls from %d", num, most))
	}
}
