package admission

import (
	"time"

	"github.com/cumintally/cumintally/internal/route"
)

// Work is what is in progress at a group.
type Work struct {
	Requests int
	// Unread is the number of prompt tokens of requests whose answer has not begun.
	Unread int
}

// Forecast returns the time until the first tokens of a prompt come, for a group of a model with work in progress.
func Forecast(eng *route.Engine, mod *route.Model, wrk Work, prompt int) time.Duration {
	batch := min(wrk.Requests, eng.Slots)
	step := pace(mod, eng.Step+time.Duration(batch)*eng.StepPerRequest)
	first := reading(eng, mod, wrk.Unread+prompt) + time.Duration(max(1, eng.Stride))*step
	if ahead := wrk.Requests + 1 - eng.Slots; ahead > 0 && eng.Slots > 0 {
		first += time.Duration(ahead) * Turn(eng, mod)
	}
	return first
}

// Turn returns the mean time between two requests that end at a group whose batch is full.
func Turn(eng *route.Engine, mod *route.Model) time.Duration {
	slots := max(1, eng.Slots)
	step := pace(mod, eng.Step+time.Duration(slots)*eng.StepPerRequest)
	whole := time.Duration(eng.UsualAnswer)*step + time.Duration(slots)*reading(eng, mod, eng.UsualPrompt)
	return whole / time.Duration(slots)
}

func reading(eng *route.Engine, mod *route.Model, tokens int) time.Duration {
	if eng.ReadRate <= 0 {
		return 0
	}
	return pace(mod, time.Duration(float64(tokens)/eng.ReadRate*float64(time.Second)))
}

func pace(mod *route.Model, span time.Duration) time.Duration {
	if mod.Pace <= 0 {
		return span
	}
	return time.Duration(float64(span) * mod.Pace)
}
