package burn

import (
	"time"

	"github.com/cumintally/cumintally/pkg/document"
)

// Tally counts many durations of one request, such as those between tokens, and adds the counts to the recorder once.
// Each duration costs one comparison per service level and no lock.
type Tally struct {
	rec       *Recorder
	model     string
	workspace string
	levels    []levelTally
}

type levelTally struct {
	name      string
	threshold time.Duration
	good      uint64
	bad       uint64
}

// NewTally returns a tally for one request and the service levels of an indicator.
func (rec *Recorder) NewTally(indicator document.Indicator, model, workspace string) *Tally {
	tal := &Tally{
		rec:       rec,
		model:     model,
		workspace: workspace,
	}
	rec.forEachLevel(indicator, func(lvl document.ServiceLevel) {
		if limit, err := time.ParseDuration(lvl.Threshold); err == nil {
			tal.levels = append(tal.levels, levelTally{
				name:      lvl.Name,
				threshold: limit,
			})
		}
	})
	return tal
}

// RecordDuration counts one duration.
func (tal *Tally) RecordDuration(took time.Duration) {
	for idx := range tal.levels {
		if took <= tal.levels[idx].threshold {
			tal.levels[idx].good++
		} else {
			tal.levels[idx].bad++
		}
	}
}

// Close adds the counts to the recorder; further calls have no effect.
func (tal *Tally) Close() {
	for _, lvl := range tal.levels {
		tal.rec.add(lvl.name, tal.model, tal.workspace, true, lvl.good)
		tal.rec.add(lvl.name, tal.model, tal.workspace, false, lvl.bad)
	}
	tal.levels = nil
}
