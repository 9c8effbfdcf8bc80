package admission

import (
	"time"

	"github.com/cumintally/cumintally/internal/route"
)

// Load is the load in flight at a group.
type Load struct {
	Requests int
	// UnreadTokens is the number of prompt tokens of the requests whose response has not begun.
	UnreadTokens int
}

// Forecast returns the expected time to the first tokens of the response to a prompt of promptTokens tokens, at a group
// that serves the model and has the given load in flight.
func Forecast(engine *route.Engine, model *route.Model, load Load, promptTokens int) time.Duration {
	batch := min(load.Requests, engine.Slots)
	step := scaleToModel(model, engine.BaseStepTime+time.Duration(batch)*engine.StepTimePerRequest)
	first := prefillTime(engine, model, load.UnreadTokens+promptTokens) + time.Duration(max(1, engine.StepsPerEvent))*step
	if ahead := load.Requests + 1 - engine.Slots; ahead > 0 && engine.Slots > 0 {
		first += time.Duration(ahead) * CompletionInterval(engine, model)
	}
	return first
}

// CompletionInterval returns the mean time between the ends of two requests at a group whose batch is full.
func CompletionInterval(engine *route.Engine, model *route.Model) time.Duration {
	return occupancy(engine, model, engine.MeanPromptTokens, engine.MeanOutputTokens)
}

// Work returns the VM seconds that a request takes at a group whose batch is full.
func Work(engine *route.Engine, model *route.Model, promptTokens, outputTokens int) float64 {
	return occupancy(engine, model, promptTokens, outputTokens).Seconds() * float64(model.VMs)
}

// occupancy returns the part of a group's time that one request takes if the batch is full.
func occupancy(eng *route.Engine, mod *route.Model, promptTokens, outputTokens int) time.Duration {
	slots := max(1, eng.Slots)
	step := scaleToModel(mod, eng.BaseStepTime+time.Duration(slots)*eng.StepTimePerRequest)
	return time.Duration(outputTokens)*step/time.Duration(slots) + prefillTime(eng, mod, promptTokens)
}

func prefillTime(eng *route.Engine, mod *route.Model, tokens int) time.Duration {
	if eng.PrefillRate <= 0 {
		return 0
	}
	return scaleToModel(mod, time.Duration(float64(tokens)/eng.PrefillRate*float64(time.Second)))
}

func scaleToModel(mod *route.Model, span time.Duration) time.Duration {
	if mod.TimeFactor <= 0 {
		return span
	}
	return time.Duration(float64(span) * mod.TimeFactor)
}
