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

// observer counts one request to a model against the service levels.
type observer struct {
	rec       *burn.Recorder
	clk       clockwork.Clock
	model     string
	workspace string
	begin     time.Time
	last      time.Time
	between   *burn.Tally
}

func newObserver(rec *burn.Recorder, clk clockwork.Clock, model, workspace string) *observer {
	return &observer{
		rec:       rec,
		clk:       clk,
		model:     model,
		workspace: workspace,
		begin:     clk.Now(),
		between:   rec.Tally(document.IndicatorBetweenTokens, model, workspace),
	}
}

// watch returns next with each event's time noted first, so that a slow caller does not count.
func (obs *observer) watch(next func(dispatch.Event) error) func(dispatch.Event) error {
	return func(evt dispatch.Event) error {
		now := obs.clk.Now()
		switch {
		case evt.Text == "":
		case obs.last.IsZero():
			obs.rec.Time(document.IndicatorFirstToken, obs.model, obs.workspace, now.Sub(obs.begin))
			obs.last = now
		default:
			obs.between.Time(now.Sub(obs.last))
			obs.last = now
		}
		return next(evt)
	}
}

// end counts the outcome; a request whose caller went away counts neither way.
func (obs *observer) end(err error, callerGone bool) {
	obs.between.Close()
	if callerGone || (err != nil && !isFailure(asRefusal(err))) {
		return
	}
	if err != nil && obs.last.IsZero() {
		obs.rec.Time(document.IndicatorFirstToken, obs.model, obs.workspace, -1)
	}
	obs.rec.Answered(obs.model, obs.workspace, err == nil)
}

// isFailure reports whether the system and not the request is the cause of a refusal.
func isFailure(ref *refusal.Refusal) bool {
	return ref.Status >= http.StatusInternalServerError || ref.Status == http.StatusTooManyRequests
}
