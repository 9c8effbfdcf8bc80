package placement

import (
	"time"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/reservation"
)

// Class returns the class of a request among those that compete for the same groups.
func (req *Request) Class() reservation.Class {
	return reservation.Class{
		Priority:  req.Priority,
		Objective: req.Objective,
	}
}

// ReservationKey returns the groups that a request competes for.
func (req *Request) ReservationKey() reservation.Key {
	return reservation.Key{
		Service: req.Service.Name,
		Model:   req.Model,
	}
}

// reserve decides whether a request may take capacity that more urgent classes need at a group under a load. A request of
// which nothing limits the forecast, as after a first send, may.
func (plm *Placement) reserve(req *Request, lod admission.Load, now time.Time) reservation.Verdict {
	if req.MaxUsefulForecast == nil || req.RequestedModel() == nil {
		return reservation.Allowed
	}
	onTime := func(urgent reservation.Class, promptTokens int, placed bool) bool {
		next, before := *req, lod
		next.PromptTokens = promptTokens
		if placed {
			// Engines read prompts in the order of arrival, so that the tokens of this request delay the next one even
			// if that is more urgent: the larger the prompt, the sooner the capacity is kept.
			before.Requests++
			before.UnreadTokens += req.PromptTokens
		}
		idle := plm.expect(&next, admission.Load{}, now).modelled
		return plm.expect(&next, before, now).modelled <= admission.MaxUsefulForecast(urgent.Objective, 0, idle)
	}
	return plm.deps.Reserve(req.ReservationKey(), req.Class(), onTime, now)
}
