package zones_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/fleet"
	"github.com/cumintally/cumintally/internal/standin/link"
)

// cutDuration is the minimum duration of a cut: 2 s until the daemons agree on who is cut off, 2 s until the slots
// granted before the cut have expired, and 2 s in which both sides of the cut may grant slots.
const cutDuration = 6 * time.Second

// TestDaemonsApart guards against daemons of one zone that cannot reach each other and that together send a
// cold engine more requests than its ColdLimit.
func TestDaemonsApart(t *testing.T) {
	t.Parallel()
	forSeeds(t, func(t *testing.T, sed uint64) {
		c := qt.New(t)
		// The engines stay cold throughout the test.
		ctx, env := start(t, fleet.Config{
			EngineArgs: []string{"--warm-after", "1000000"},
			EntryEnv:   []string{"CUMINTALLY_LIMITS_MAXWAIT=1s"},
		}, sed)
		coldLimitKept := invariant{text: "daemons of a zone that cannot reach each other: a cold engine receives at most its ColdLimit"}
		correctOrNotRun := invariant{text: "daemons of a zone that cannot reach each other: every response is correct or NotRun"}
		cls := startCallers(ctx, env.Entries, 4, 10*time.Millisecond)
		env.waitFirstResponses(ctx, t)
		began := time.Now()
		for range 2 {
			var cuts []link.Cut
			for _, zon := range []string{"zone-1", "zone-2", "zone-3"} {
				ents := env.entries(zon)
				env.rnd.Shuffle(len(ents), func(fst, snd int) { ents[fst], ents[snd] = ents[snd], ents[fst] })
				cuts = append(cuts, link.Cut{
					From:   hostPrefix(ents[0].Peers),
					To:     hostPrefix(ents[1].Peers),
					Kind:   env.randomCutKind(),
					OneWay: env.rnd.IntN(3) == 0,
				})
			}
			t.Logf("after %v: %v", time.Since(began), cuts)
			c.Assert(env.SetCuts(ctx, cuts...), qt.IsNil)
			time.Sleep(cutDuration + time.Duration(env.rnd.IntN(1000))*time.Millisecond)
			c.Assert(env.SetCuts(ctx), qt.IsNil)
			time.Sleep(time.Duration(env.rnd.IntN(2000)) * time.Millisecond)
			for _, eng := range env.Engines {
				if eng.ExitedWithin(0) {
					coldLimitKept.check(false, "%s had crashed by %v", eng.Name, time.Since(began))
					continue
				}
				var most int
				getJSON(ctx, t, "http://"+eng.Address+"/most", &most)
				coldLimitKept.check(most <= coldLimit, "%s had %d requests", eng.Name, most)
			}
		}
		coldLimitKept.recordDuration(time.Since(began))
		correctOrNotRun.checkCalls(cls.stop(), true)
		coldLimitKept.report(t, sed)
		correctOrNotRun.report(t, sed)
	})
}
