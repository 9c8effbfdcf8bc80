package burn_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/burn"
	"github.com/cumintally/cumintally/pkg/document"
)

var levels = &document.Document{
	ServiceLevels: []document.ServiceLevel{
		{
			Name:      "first-token",
			Indicator: document.IndicatorFirstToken,
			Threshold: "1.2s",
			Objective: 0.95,
		},
	},
}

// TestTally guards against durations of a request that are lost or counted twice.
func TestTally(t *testing.T) {
	c := qt.New(t)
	rec := burn.New("zone-1", func() *document.Document { return levels }, clockwork.NewFakeClock())
	tal := rec.NewTally(document.IndicatorFirstToken, "model-1", "workspace-1")
	for _, took := range []time.Duration{time.Second, 1200 * time.Millisecond, 1201 * time.Millisecond} {
		tal.RecordDuration(took)
	}
	tal.Close()
	tal.Close()
	srs := rec.Series()
	c.Assert(srs, qt.HasLen, 1)
	c.Assert(srs[0].Counts, qt.HasLen, 1)
	c.Assert(srs[0].Counts[0].Good, qt.Equals, uint64(2))
	c.Assert(srs[0].Counts[0].Bad, qt.Equals, uint64(1))
}

// TestReport guards against a burn rate that omits bad events or mixes windows, and against a report that does not name
// a daemon that did not respond.
func TestReport(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0))
	inForce := func() *document.Document { return levels }
	fst := burn.New("zone-1", inForce, clk)
	snd := burn.New("zone-1", inForce, clk)
	for range 19 {
		fst.RecordDuration(document.IndicatorFirstToken, "model-1", "workspace-1", time.Second)
	}
	snd.RecordDuration(document.IndicatorFirstToken, "model-1", "workspace-1", 1300*time.Millisecond)
	// After ten minutes the first events are only in the long window.
	clk.Advance(10 * time.Minute)
	snd.RecordDuration(document.IndicatorFirstToken, "model-1", "workspace-1", -1)
	series := append(fst.Series(), snd.Series()...)
	rep := burn.NewReport(clk.Now(), 7, levels, series, []string{"entry-3"})
	c.Assert(rep.Lines, qt.HasLen, 1)
	lin := rep.Lines[0]
	c.Assert(lin.Short.Bad, qt.Equals, uint64(1))
	c.Assert(lin.Short.Good, qt.Equals, uint64(0))
	c.Assert(lin.Short.Rate > 19.9 && lin.Short.Rate < 20.1, qt.IsTrue)
	c.Assert(lin.Long.Good, qt.Equals, uint64(19))
	c.Assert(lin.Long.Bad, qt.Equals, uint64(2))

	var text, page bytes.Buffer
	c.Assert(rep.WriteText(&text), qt.IsNil)
	c.Assert(strings.Contains(text.String(), "no answer from entry-3"), qt.IsTrue)
	c.Assert(rep.WritePage(&page), qt.IsNil)
	c.Assert(strings.Contains(page.String(), "No answer from entry-3"), qt.IsTrue)
	c.Assert(strings.Contains(page.String(), "<svg"), qt.IsTrue)

	// After another hour no counts are left.
	clk.Advance(time.Hour)
	c.Assert(fst.Series(), qt.HasLen, 0)
}
