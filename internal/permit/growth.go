package permit

import "time"

// growth is the limit of a warm group. It follows the first tokens that holders measure: additive
// increase while they are within the objective, multiplicative decrease when too many are late. The
// engine's load report takes no part, since it lags.
type growth struct {
	size    float64
	least   int
	changed time.Time
	tokens  int
	late    int
	// used says that the limit was reached since its last change; an unused limit does not grow.
	used bool
}

func (grw *growth) reset(least int, now time.Time) {
	// Without a slot no first token would be measured, and the limit could not grow.
	least = max(1, least)
	*grw = growth{
		size:    float64(least),
		least:   least,
		changed: now,
	}
}

// raise starts from what is in use, when another daemon's limit is taken over.
func (grw *growth) raise(used int) {
	grw.size = max(grw.size, float64(used))
}

func (grw *growth) limit() int {
	return int(grw.size)
}

func (grw *growth) measure(cfg Config, ask Ask, used bool, most int, now time.Time) {
	grw.tokens += ask.FirstTokens
	grw.late += ask.Late
	grw.used = grw.used || used
	if now.Sub(grw.changed) < cfg.AdjustInterval || grw.tokens == 0 {
		return
	}
	switch {
	case float64(grw.late) > cfg.LateShare*float64(grw.tokens):
		grw.size = max(float64(grw.least), grw.size*cfg.Decrease)
	case grw.used:
		grw.size = min(float64(most), grw.size+float64(cfg.Increase))
	}
	grw.changed = now
	grw.tokens = 0
	grw.late = 0
	grw.used = false
}
