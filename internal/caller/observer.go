package caller

import (
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/burn"
	"github.com/cumintally/cumintally/internal/dispatch"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/pkg/document"
)

// observer records the latencies and the outcome of one request to a model for the service levels.
type observer struct {
	recorder      *burn.Recorder
	clock         clockwork.Clock
	model         string
	workspace     string
	startTime     time.Time
	lastTokenTime time.Time
	betweenTokens *burn.Tally
}

func newObserver(rec *burn.Recorder, clk clockwork.Clock, model, workspace string) *observer {
	return &observer{
		recorder:      rec,
		clock:         clk,
		model:         model,
		workspace:     workspace,
		startTime:     clk.Now(),
		betweenTokens: rec.NewTally(document.IndicatorBetweenTokens, model, workspace),
	}
}

// observe returns a function that records the time of each event and then calls next. The time is taken
// first, so that a slow caller does not count.
func (obs *observer) observe(next func(dispatch.Event) error) func(dispatch.Event) error {
	return func(evt dispatch.Event) error {
		now := obs.clock.Now()
		switch {
		case evt.Text == "":
		case obs.lastTokenTime.IsZero():
			obs.recorder.RecordDuration(document.IndicatorFirstToken, obs.model, obs.workspace, now.Sub(obs.startTime))
			obs.lastTokenTime = now
		default:
			obs.betweenTokens.RecordDuration(now.Sub(obs.lastTokenTime))
			obs.lastTokenTime = now
		}
		return next(evt)
	}
}

// finish records the times between tokens and the outcome. The outcome counts neither as good nor as bad if the
// caller disconnected or the request itself was at fault.
func (obs *observer) finish(err error, callerGone bool) {
	obs.betweenTokens.Close()
	if callerGone || (err != nil && !isSystemFailure(asRefusal(err))) {
		return
	}
	if err != nil && obs.lastTokenTime.IsZero() {
		obs.recorder.RecordDuration(document.IndicatorFirstToken, obs.model, obs.workspace, -1)
	}
	obs.recorder.RecordResponse(obs.model, obs.workspace, err == nil)
}

// isSystemFailure reports whether a refusal is caused by the system, not by the request.
func isSystemFailure(ref *refusal.Refusal) bool {
	return ref.Status >= http.StatusInternalServerError || ref.Status == http.StatusTooManyRequests
}
