package zones_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/fleet"
	"github.com/cumintally/cumintally/internal/standin/link"
)

// cutFor is the least time of a cut: 2 s until the daemons agree on who is cut off, 2 s until the slots
// granted before have expired, and some time in which both sides grant slots.
const cutFor = 6 * time.Second

// TestDaemonsApart guards against daemons of one zone that cannot see each other and together send a
// cold engine more than its ColdLimit.
func TestDaemonsApart(t *testing.T) {
	t.Parallel()
	forSeeds(t, func(t *testing.T, sed uint64) {
		c := qt.New(t)
		// The engines stay cold all through the test.
		ctx, env := start(t, fleet.Config{
			EngineArgs: []string{"--warm-after", "1000000"},
			EntryEnv:   []string{"CUMINTALLY_LIMITS_MAXWAIT=1s"},
		}, sed)
		cold := invariant{text: "daemons of a zone that cannot see each other: a cold engine gets at most its ColdLimit"}
		truth := invariant{text: "daemons of a zone that cannot see each other: every answer is right or NotRun"}
		cls := startCallers(ctx, env.Entries, 4, 10*time.Millisecond)
		env.firstAnswers(ctx, t)
		began := time.Now()
		for range 2 {
			var cuts []link.Cut
			for _, zon := range []string{"zone-1", "zone-2", "zone-3"} {
				ents := env.entries(zon)
				env.rnd.Shuffle(len(ents), func(fst, snd int) { ents[fst], ents[snd] = ents[snd], ents[fst] })
				cuts = append(cuts, link.Cut{
					From:   host(ents[0].Peers),
					To:     host(ents[1].Peers),
					Kind:   env.kind(),
					OneWay: env.rnd.IntN(3) == 0,
				})
			}
			t.Logf("after %v: %v", time.Since(began), cuts)
			c.Assert(env.Cut(ctx, cuts...), qt.IsNil)
			time.Sleep(cutFor + time.Duration(env.rnd.IntN(1000))*time.Millisecond)
			c.Assert(env.Cut(ctx), qt.IsNil)
			time.Sleep(time.Duration(env.rnd.IntN(2000)) * time.Millisecond)
			for _, eng := range env.Engines {
				if eng.Wait(0) {
					cold.check(false, "%s fell over by %v", eng.Name, time.Since(began))
					continue
				}
				var most int
				fetch(ctx, t, "http://"+eng.Address+"/most", &most)
				cold.check(most <= coldLimit, "%s had %d requests", eng.Name, most)
			}
		}
		cold.took(time.Since(began))
		truth.checkCalls(cls.stop(), true)
		cold.report(t, sed)
		truth.report(t, sed)
	})
}
