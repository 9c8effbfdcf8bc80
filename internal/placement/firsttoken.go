package placement

import (
	"sync"
	"time"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/firsttoken"
)

// expectation is the forecast for a request at a group under a load: the modelled time to the first token, and the error
// that this daemon's earlier requests met.
type expectation struct {
	load       admission.Load
	modelled   time.Duration
	correction firsttoken.Error
}

// firstToken returns the corrected forecast.
func (exp expectation) firstToken() time.Duration {
	return exp.modelled + exp.correction.Mean
}

// expect forecasts the first token of a request at a group under a load. For plain services it returns zeros.
func (plm *Placement) expect(req *Request, lod admission.Load, now time.Time) expectation {
	exp := expectation{
		load: lod,
	}
	mod := req.RequestedModel()
	if mod == nil {
		return exp
	}
	exp.modelled = admission.Forecast(req.Service.Engine, mod, lod, req.PromptTokens)
	if req.Service.Engine.HasStepModel() {
		exp.correction = plm.deps.FirstTokenError(req.firstTokenKey(), req.takenSlots(lod), now)
	}
	return exp
}

// firstTokenRecorder returns a function that is called when the response of a request begins. Its first call records the
// error of the forecast, if the request was not sent before.
func (plm *Placement) firstTokenRecorder(req *Request, exp expectation, sentAt time.Time) func() {
	if !req.FirstSend || req.RequestedModel() == nil || !req.Service.Engine.HasStepModel() {
		return func() {}
	}
	return sync.OnceFunc(func() {
		now := plm.clock.Now()
		plm.deps.RecordFirstToken(firsttoken.Observation{
			Key:        req.firstTokenKey(),
			Load:       req.takenSlots(exp.load),
			Modelled:   exp.modelled,
			Correction: exp.correction,
			Measured:   now.Sub(sentAt),
		}, now)
	})
}

func (req *Request) firstTokenKey() firsttoken.Key {
	return firsttoken.Key{
		Service: req.Service.Name,
		Model:   req.Model,
	}
}

// takenSlots returns the share of a group's slots that a load takes.
func (req *Request) takenSlots(lod admission.Load) float64 {
	return float64(lod.Requests) / float64(max(1, req.Service.Engine.Slots))
}
