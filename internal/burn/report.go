package burn

import (
	"sort"
	"time"

	"github.com/cumintally/cumintally/pkg/document"
)

// Windows of a report, in minutes.
const (
	shortWindowMinutes = 5
	longWindowMinutes  = keptMinutes
)

// Report holds the burn rates of the error budgets.
type Report struct {
	Time       time.Time
	Generation uint64
	Lines      []Line
	// Unreachable names the daemons that did not respond; their counts are missing.
	Unreachable []string
}

// Line holds the burn rates of one service level for one model, workspace and availability zone.
type Line struct {
	Key       Key
	Objective float64
	Short     Burn
	Long      Burn
	// Minutes holds the burn rate of each minute, the oldest first; -1 means that no events were counted.
	Minutes []float64
}

// Burn holds the events of a window. Rate is the burn rate: the share of bad events divided by the share that the
// objective allows. At a rate of 1 the error budget lasts exactly as long as the objective's period.
type Burn struct {
	Good uint64
	Bad  uint64
	Rate float64
}

// NewReport sums the series of several daemons. gen is the generation of doc, and unreachable names the daemons whose
// series are missing.
func NewReport(now time.Time, gen uint64, doc *document.Document, series []Series, unreachable []string) Report {
	rep := Report{
		Time:        now,
		Generation:  gen,
		Unreachable: unreachable,
	}
	sort.Strings(rep.Unreachable)
	if doc == nil {
		return rep
	}
	objectives := map[string]float64{}
	for _, lvl := range doc.ServiceLevels {
		objectives[lvl.Name] = lvl.Objective
	}
	for key, cnts := range mergeSeries(series) {
		obj, ok := objectives[key.Level]
		if !ok {
			continue
		}
		rep.Lines = append(rep.Lines, newLine(key, obj, cnts, now.Unix()/60))
	}
	sort.Slice(rep.Lines, func(fst, snd int) bool { return rep.Lines[fst].Key.less(rep.Lines[snd].Key) })
	return rep
}

func (key Key) less(oth Key) bool {
	for _, pair := range [][2]string{
		{key.Level, oth.Level},
		{key.Model, oth.Model},
		{key.Workspace, oth.Workspace},
		{key.AvailabilityZone, oth.AvailabilityZone},
	} {
		if pair[0] != pair[1] {
			return pair[0] < pair[1]
		}
	}
	return false
}

func mergeSeries(series []Series) map[Key]map[int64]Count {
	all := map[Key]map[int64]Count{}
	for _, srs := range series {
		if all[srs.Key] == nil {
			all[srs.Key] = map[int64]Count{}
		}
		for _, cnt := range srs.Counts {
			sum := all[srs.Key][cnt.Minute]
			sum.Good += cnt.Good
			sum.Bad += cnt.Bad
			all[srs.Key][cnt.Minute] = sum
		}
	}
	return all
}

func newLine(key Key, objective float64, cnts map[int64]Count, now int64) Line {
	lin := Line{
		Key:       key,
		Objective: objective,
		Short:     burnInWindow(objective, cnts, now-shortWindowMinutes+1, now),
		Long:      burnInWindow(objective, cnts, now-longWindowMinutes+1, now),
	}
	for minute := now - longWindowMinutes + 1; minute <= now; minute++ {
		rate := -1.0
		if _, ok := cnts[minute]; ok {
			rate = burnInWindow(objective, cnts, minute, minute).Rate
		}
		lin.Minutes = append(lin.Minutes, rate)
	}
	return lin
}

func burnInWindow(objective float64, cnts map[int64]Count, from, to int64) Burn {
	var brn Burn
	for minute := from; minute <= to; minute++ {
		brn.Good += cnts[minute].Good
		brn.Bad += cnts[minute].Bad
	}
	if all := brn.Good + brn.Bad; all > 0 {
		brn.Rate = float64(brn.Bad) / float64(all) / (1 - objective)
	}
	return brn
}
