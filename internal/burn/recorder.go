package burn

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/pkg/document"
)

const (
	// minutes is the number of minutes that are kept: the long window.
	minutes    = 60
	shardCount = 16
)

// Key names what is counted; Model is the service for calls of plain services.
type Key struct {
	Level            string
	Model            string
	Workspace        string
	AvailabilityZone string
}

// Count is what happened in one minute.
type Count struct {
	// Minute is the number of minutes since the Unix epoch.
	Minute int64
	Good   uint64
	Bad    uint64
}

// Series are the counts of one key, the oldest first.
type Series struct {
	Key    Key
	Counts []Count
}

// Recorder counts the events that one daemon sees.
type Recorder struct {
	zone    string
	inForce func() *document.Document
	clk     clockwork.Clock
	// changing says that a zone is out or has just returned.
	changing atomic.Bool
	shards   [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	counts map[Key]*[minutes]Count
}

// New returns a recorder for an availability zone and the service levels of the document in force.
func New(zone string, inForce func() *document.Document, clk clockwork.Clock) *Recorder {
	rec := &Recorder{
		zone:    zone,
		inForce: inForce,
		clk:     clk,
	}
	for idx := range rec.shards {
		rec.shards[idx].counts = map[Key]*[minutes]Count{}
	}
	return rec
}

// Time counts a time against every service level of an indicator; a time at most the level's threshold
// is good. A negative time says that what was waited for never came.
func (rec *Recorder) Time(indicator document.Indicator, model, workspace string, took time.Duration) {
	rec.each(indicator, func(lvl document.ServiceLevel) {
		limit, err := time.ParseDuration(lvl.Threshold)
		if err != nil {
			return
		}
		rec.add(lvl.Name, model, workspace, took >= 0 && took <= limit, 1)
	})
}

// Event counts a good or bad event against every service level of an indicator.
func (rec *Recorder) Event(indicator document.Indicator, model, workspace string, good bool) {
	rec.Events(indicator, model, workspace, good, 1)
}

// SetChanging says whether a zone is out or has just returned.
func (rec *Recorder) SetChanging(changing bool) {
	rec.changing.Store(changing)
}

// Answered counts a request as answered whole or not, and also as served during a change of zones if
// one is out or has just returned.
func (rec *Recorder) Answered(model, workspace string, good bool) {
	rec.Event(document.IndicatorAnswered, model, workspace, good)
	if rec.changing.Load() {
		rec.Event(document.IndicatorZoneChange, model, workspace, good)
	}
}

// Events counts several events at once.
func (rec *Recorder) Events(indicator document.Indicator, model, workspace string, good bool, num uint64) {
	rec.each(indicator, func(lvl document.ServiceLevel) {
		rec.add(lvl.Name, model, workspace, good, num)
	})
}

func (rec *Recorder) each(indicator document.Indicator, count func(lvl document.ServiceLevel)) {
	doc := rec.inForce()
	if doc == nil {
		return
	}
	for _, lvl := range doc.ServiceLevels {
		if lvl.Indicator == indicator {
			count(lvl)
		}
	}
}

func (rec *Recorder) add(level, model, workspace string, good bool, num uint64) {
	if num == 0 {
		return
	}
	key := Key{
		Level:            level,
		Model:            model,
		Workspace:        workspace,
		AvailabilityZone: rec.zone,
	}
	minute := rec.clk.Now().Unix() / 60
	shd := &rec.shards[xxhash.Sum64String(level+model+workspace)%shardCount]
	shd.mu.Lock()
	defer shd.mu.Unlock()
	cnts, ok := shd.counts[key]
	if !ok {
		cnts = &[minutes]Count{}
		shd.counts[key] = cnts
	}
	cnt := &cnts[minute%minutes]
	if cnt.Minute != minute {
		*cnt = Count{
			Minute: minute,
		}
	}
	if good {
		cnt.Good += num
	} else {
		cnt.Bad += num
	}
}

// Series returns what was counted in the last hour.
func (rec *Recorder) Series() []Series {
	now := rec.clk.Now().Unix() / 60
	var list []Series
	for idx := range rec.shards {
		shd := &rec.shards[idx]
		shd.mu.Lock()
		for key, cnts := range shd.counts {
			srs := Series{
				Key: key,
			}
			for minute := now - minutes + 1; minute <= now; minute++ {
				if cnt := cnts[minute%minutes]; cnt.Minute == minute {
					srs.Counts = append(srs.Counts, cnt)
				}
			}
			if len(srs.Counts) == 0 {
				delete(shd.counts, key)
				continue
			}
			list = append(list, srs)
		}
		shd.mu.Unlock()
	}
	return list
}
