package site

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/firsttoken"
)

// forecastErrorSamples is the number of forecast errors that the histogram keeps, weighted towards the last minutes.
const forecastErrorSamples = 512

// newFirstTokenRecorder returns a function that records the first token of a response, and the error that the corrected
// forecast still had as a metric.
func newFirstTokenRecorder(lrn *firsttoken.Learner, met metrics.Registry, log *zap.Logger) func(firsttoken.Observation, time.Time) {
	errs := metrics.GetOrRegisterHistogram("ForecastErrorMilliseconds", met, metrics.NewExpDecaySample(forecastErrorSamples, 0.015))
	log = log.Named("placement")
	return func(obs firsttoken.Observation, now time.Time) {
		errs.Update((obs.Measured - obs.Modelled - obs.Correction.Mean).Milliseconds())
		if !lrn.Record(obs, now) {
			return
		}
		got := lrn.Error(obs.Key, obs.Load, now)
		log.Info("forecasts of the first token are corrected by observed times", zap.String("service", obs.Key.Service),
			zap.String("model", obs.Key.Model), zap.Float64("takenSlots", obs.Load),
			zap.Duration("correction", got.Mean))
	}
}
