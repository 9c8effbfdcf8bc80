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
	// keptMinutes is the number of minutes for which counts are kept; it equals the long window.
	keptMinutes = 60
	// shardCount is the number of shards of a recorder's counts. Each has its own lock, which reduces contention
	// between requests.
	shardCount = 16
)

// Key identifies what is counted. Model is the name of the service for calls to services that are not model engines.
type Key struct {
	Level            string
	Model            string
	Workspace        string
	AvailabilityZone string
}

// Count holds the numbers of good and bad events in one minute.
type Count struct {
	// Minute is the number of minutes since the Unix epoch.
	Minute int64
	Good   uint64
	Bad    uint64
}

// Series holds the counts of one key, the oldest first.
type Series struct {
	Key    Key
	Counts []Count
}

// Recorder counts the events that one daemon observes.
type Recorder struct {
	zone    string
	inForce func() *document.Document
	clk     clockwork.Clock
	// zoneChanging means that a zone is out of service or was until recently.
	zoneChanging atomic.Bool
	shards       [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	counts map[Key]*[keptMinutes]Count
}

// New returns a recorder for the daemon's availability zone and the service levels of the document in force.
func New(zone string, inForce func() *document.Document, clk clockwork.Clock) *Recorder {
	rec := &Recorder{
		zone:    zone,
		inForce: inForce,
		clk:     clk,
	}
	for idx := range rec.shards {
		rec.shards[idx].counts = map[Key]*[keptMinutes]Count{}
	}
	return rec
}

// RecordDuration counts a duration for each service level of an indicator. A duration up to the level's threshold is
// good. A negative duration means that the awaited event did not occur and is bad.
func (rec *Recorder) RecordDuration(indicator document.Indicator, model, workspace string, took time.Duration) {
	rec.forEachLevel(indicator, func(lvl document.ServiceLevel) {
		limit, err := time.ParseDuration(lvl.Threshold)
		if err != nil {
			return
		}
		rec.add(lvl.Name, model, workspace, took >= 0 && took <= limit, 1)
	})
}

// RecordEvent counts a good or bad event for each service level of an indicator.
func (rec *Recorder) RecordEvent(indicator document.Indicator, model, workspace string, good bool) {
	rec.RecordEvents(indicator, model, workspace, good, 1)
}

// SetZoneChanging sets whether a zone is out of service or was until recently.
func (rec *Recorder) SetZoneChanging(changing bool) {
	rec.zoneChanging.Store(changing)
}

// RecordResponse counts a request; good means that its response was complete. While a zone is out of service or was
// until recently, it also counts the request for IndicatorZoneChange.
func (rec *Recorder) RecordResponse(model, workspace string, good bool) {
	rec.RecordEvent(document.IndicatorAnswered, model, workspace, good)
	if rec.zoneChanging.Load() {
		rec.RecordEvent(document.IndicatorZoneChange, model, workspace, good)
	}
}

// RecordEvents counts num good or bad events for each service level of an indicator.
func (rec *Recorder) RecordEvents(indicator document.Indicator, model, workspace string, good bool, num uint64) {
	rec.forEachLevel(indicator, func(lvl document.ServiceLevel) {
		rec.add(lvl.Name, model, workspace, good, num)
	})
}

func (rec *Recorder) forEachLevel(indicator document.Indicator, count func(lvl document.ServiceLevel)) {
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
		cnts = &[keptMinutes]Count{}
		shd.counts[key] = cnts
	}
	cnt := &cnts[minute%keptMinutes]
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

// Series returns the counts of the last hour and deletes the keys without counts in that time.
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
			for minute := now - keptMinutes + 1; minute <= now; minute++ {
				if cnt := cnts[minute%keptMinutes]; cnt.Minute == minute {
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
