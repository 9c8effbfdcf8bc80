package admission

import (
	"time"

	"github.com/cumintally/cumintally/internal/route"
)

// PrefillTime returns the time in which a group that serves the model reads the given number of prompt tokens.
func PrefillTime(engine *route.Engine, model *route.Model, tokens int) time.Duration {
	return prefillTime(engine, model, tokens)
}
