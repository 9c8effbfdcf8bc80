package burn

import (
	"time"

	"github.com/cumintally/cumintally/pkg/document"
)

// Tally counts many times of one request, such as those between tokens, and adds them up once: a time
// costs a comparison and no lock.
type Tally struct {
	rec       *Recorder
	model     string
	workspace string
	levels    []tallied
}

type tallied struct {
	name  string
	limit time.Duration
	good  uint64
	bad   uint64
}

// Tally returns a tally of an indicator for one request.
func (rec *Recorder) Tally(indicator document.Indicator, model, workspace string) *Tally {
	tal := &Tally{
		rec:       rec,
		model:     model,
		workspace: workspace,
	}
	rec.each(indicator, func(lvl document.ServiceLevel) {
		if limit, err := time.ParseDuration(lvl.Threshold); err == nil {
			tal.levels = append(tal.levels, tallied{
				name:  lvl.Name,
				limit: limit,
			})
		}
	})
	return tal
}

// Time counts one time.
func (tal *Tally) Time(took time.Duration) {
	for idx := range tal.levels {
		if took <= tal.levels[idx].limit {
			tal.levels[idx].good++
		} else {
			tal.levels[idx].bad++
		}
	}
}

// Close adds what was counted to the recorder.
func (tal *Tally) Close() {
	for _, lvl := range tal.levels {
		tal.rec.add(lvl.name, tal.model, tal.workspace, true, lvl.good)
		tal.rec.add(lvl.name, tal.model, tal.workspace, false, lvl.bad)
	}
	tal.levels = nil
}
