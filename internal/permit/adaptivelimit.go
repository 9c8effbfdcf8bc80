package permit

import "time"

// adaptiveLimit is the AIMD limit of a warm group. It increases additively while the first tokens that holders
// measure meet the objective, and decreases multiplicatively when too many are late. It does not use the
// engine's load report, because that lags behind.
type adaptiveLimit struct {
	value           float64
	minimum         int
	changedAt       time.Time
	firstTokens     int
	lateFirstTokens int
	// used is set if the limit was nearly reached, or requests were waiting, since its last change. An unused
	// limit does not increase.
	used bool
}

// reset starts from the given limit, below which later changes do not go.
func (adl *adaptiveLimit) reset(lowest int, now time.Time) {
	// With a limit of 0 no first token would be measured, and the limit could not increase.
	lowest = max(1, lowest)
	*adl = adaptiveLimit{
		value:     float64(lowest),
		minimum:   lowest,
		changedAt: now,
	}
}

// raise raises the limit to the number of slots in use, when the group was taken over from another owner.
func (adl *adaptiveLimit) raise(used int) {
	adl.value = max(adl.value, float64(used))
}

func (adl *adaptiveLimit) limit() int {
	return int(adl.value)
}

// adjust adds the first tokens of a slot request and changes the limit if AdjustInterval has passed.
func (adl *adaptiveLimit) adjust(cfg Config, req SlotRequest, used bool, highest int, now time.Time) {
	adl.firstTokens += req.FirstTokens
	adl.lateFirstTokens += req.LateFirstTokens
	adl.used = adl.used || used
	if now.Sub(adl.changedAt) < cfg.AdjustInterval || adl.firstTokens == 0 {
		return
	}
	switch {
	case float64(adl.lateFirstTokens) > cfg.LateShare*float64(adl.firstTokens):
		adl.value = max(float64(adl.minimum), adl.value*cfg.DecreaseFactor)
	case adl.used:
		adl.value = min(float64(highest), adl.value+float64(cfg.Increase))
	}
	adl.changedAt = now
	adl.firstTokens = 0
	adl.lateFirstTokens = 0
	adl.used = false
}
