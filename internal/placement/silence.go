package placement

import (
	"time"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/loadview"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/suspicion"
)

const (
	// silentPasses is the number of passes without an event after which an engine with streams counts as stalled: an event
	// may be delayed by one pass that reads long prompts, and by the network and the processors on the way.
	silentPasses = 3
	// minSilence is the least time without an event after which an engine with streams counts as stalled. A busy VM may get
	// no processor for about 100 ms.
	minSilence = 150 * time.Millisecond
	// pauseFactor multiplies the recent pause between events for the time after which an engine counts as stalled: one that is
	// slower than the step model says must not be reported in each pass. pauseDecay is the part of it that is left after the
	// next event.
	pauseFactor = 2
	pauseDecay  = 0.9
	// minObserved is the number of engines with streams from which on the failure of this daemon's own link is told from
	// that of an engine: not more than half of them fall silent at once.
	minObserved = 3
)

// Silence is the time for which an engine sent no event although this daemon reads streams from it.
type Silence struct {
	Server *serverregistry.Server
	For    time.Duration
	// Limit is the time after which it counts as stalled.
	Limit time.Duration
}

// countedStream is a stream that counts among those that are being read. The lock of the Placement guards it.
type countedStream struct {
	own     *ownLoad
	engine  *route.Engine
	model   *route.Model
	reading bool
}

// setReading counts the stream, or does so no longer. Responses of plain services do not count.
func (stm *countedStream) setReading(reading bool, now time.Time) {
	if stm.model == nil || stm.reading == reading {
		return
	}
	stm.reading = reading
	if !reading {
		stm.own.writing--
		return
	}
	if stm.own.writing == 0 {
		stm.own.writingSince = now
	}
	stm.own.writing++
	stm.own.engine = stm.engine
	stm.own.model = stm.model
}

// recentPause is the longest recent pause between the events of an engine, as seen at the checks for silence.
type recentPause struct {
	lastEvent time.Time
	pause     time.Duration
}

// observe records when the latest event arrived.
func (rcp *recentPause) observe(last time.Time) {
	if !last.After(rcp.lastEvent) {
		return
	}
	rcp.pause = time.Duration(pauseDecay * float64(rcp.pause))
	if !rcp.lastEvent.IsZero() {
		rcp.pause = max(rcp.pause, last.Sub(rcp.lastEvent))
	}
	rcp.lastEvent = last
}

// ReportSilent reports the engines that send nothing although this daemon reads streams from them, and returns them. An
// engine sends an event to all its streams in each pass, so that this is known long before a response is overdue that has
// not begun. If most engines are silent, nothing is reported: the link of this daemon has failed then.
func (plm *Placement) ReportSilent(now time.Time) []Silence {
	silent, observed := plm.silentEngines(now)
	if observed >= minObserved && 2*len(silent) > observed {
		return nil
	}
	for _, sil := range silent {
		plm.deps.ReportFailure(sil.Server, suspicion.Stalled, now)
	}
	return silent
}

// silentEngines returns the engines that count as stalled, and the number of those that this daemon reads streams from.
func (plm *Placement) silentEngines(now time.Time) ([]Silence, int) {
	viw := plm.deps.Registrations()
	var silent []Silence
	observed := 0
	plm.mu.Lock()
	defer plm.mu.Unlock()
	for id, own := range plm.ownLoads {
		if own.writing == 0 {
			own.pause = recentPause{}
			continue
		}
		observed++
		since := own.writingSince
		if last := plm.outliers.LastProgress(id); !last.Before(since) {
			since = last
			own.pause.observe(last)
		}
		if now.Sub(since) < minSilence {
			continue
		}
		all := plm.deps.OthersLoad(id, now).Add(plm.load(id, own, now))
		limit := max(minSilence, silentPasses*passTime(own.engine, own.model, all))
		limit = max(limit, min(pauseFactor*own.pause.pause, stallTimeout))
		if srv, ok := viw.Server(id); ok && now.Sub(since) >= limit {
			silent = append(silent, Silence{
				Server: srv,
				For:    now.Sub(since),
				Limit:  limit,
			})
		}
	}
	return silent, observed
}

// passTime returns the expected time between two events of a stream at the given load: the steps of an event, and the time
// in which the engine reads a prompt of usual length, or those that have arrived if they are shorter.
func passTime(eng *route.Engine, mod *route.Model, all loadview.Load) time.Duration {
	lod := admission.Load{
		Requests: min(all.Requests, max(1, eng.Slots-1)),
	}
	return admission.Forecast(eng, mod, lod, max(eng.MeanPromptTokens, min(all.UnreadTokens, 2*eng.MeanPromptTokens)))
}
