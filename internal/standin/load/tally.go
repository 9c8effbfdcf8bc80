package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms: microseconds up to one hour, with three significant digits.
const (
	maxHistogramMicros         = int64(time.Hour / time.Microsecond)
	histogramSignificantDigits = 3
)

// maxDetails is the maximum number of requests without a whole response whose details are kept.
const maxDetails = 20

// tally aggregates the results of a run.
type tally struct {
	mu             sync.Mutex
	start          time.Time
	sent           int
	skipped        int
	resumes        int
	tokens         int
	wastedTokens   int
	endings        map[string]int
	details        []string
	responseTimes  *hdrhistogram.Histogram
	rejectionTimes *hdrhistogram.Histogram
	tokenDelays    *hdrhistogram.Histogram
	priorities     map[int]*priorityTally
	shares         map[string]*WorkspaceResults
	seconds        map[int]*secondTally
}

// priorityTally aggregates the results of the requests of one priority.
type priorityTally struct {
	sent          int
	whole         int
	inTime        int
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
}

// secondTally aggregates the results of the requests whose planned time lies in one second of the run.
type secondTally struct {
	sent       int
	whole      int
	inTime     int
	firstToken *hdrhistogram.Histogram
}

func newTally(start time.Time) *tally {
	return &tally{
		start:          start,
		endings:        map[string]int{},
		responseTimes:  newHistogram(),
		rejectionTimes: newHistogram(),
		tokenDelays:    newHistogram(),
		priorities:     map[int]*priorityTally{},
		shares:         map[string]*WorkspaceResults{},
		seconds:        map[int]*secondTally{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxHistogramMicros, histogramSignificantDigits)
}

// recordDuration adds a duration to a histogram and limits it to the histogram's range.
func recordDuration(hst *hdrhistogram.Histogram, dur time.Duration) {
	_ = hst.RecordValue(min(max(dur.Microseconds(), 1), maxHistogramMicros))
}

// addSkipped counts a request that was not sent.
func (tly *tally) addSkipped() {
	tly.mu.Lock()
	defer tly.mu.Unlock()
	tly.skipped++
}

// add adds the result of a request that has ended.
func (tly *tally) add(deadline time.Duration, res requestResult) {
	tly.mu.Lock()
	defer tly.mu.Unlock()
	prt := tly.priority(res.workspace.Priority)
	sec := tly.second(res.due)
	shr := tly.share(res.workspace.Name)
	tly.sent++
	shr.Sent++
	shr.Tokens += res.tokens
	prt.sent++
	sec.sent++
	tly.resumes += res.resumes
	tly.tokens += res.tokens
	tly.endings[res.ending]++
	inTime := res.ending == endingWhole && res.totalLatency <= deadline
	if !inTime {
		tly.wastedTokens += res.tokens
	}
	if res.ending != endingWhole {
		if len(tly.details) < maxDetails {
			tly.details = append(tly.details, res.ending+": "+res.detail)
		}
		if res.tokens == 0 {
			recordDuration(tly.rejectionTimes, res.totalLatency)
		}
	} else {
		prt.whole++
		shr.Whole++
		sec.whole++
		recordDuration(tly.responseTimes, res.totalLatency)
	}
	if inTime {
		prt.inTime++
		shr.InTime++
		sec.inTime++
	}
	if res.tokens > 0 {
		recordDuration(prt.firstToken, res.firstTokenLatency)
		recordDuration(sec.firstToken, res.firstTokenLatency)
	}
	for _, gap := range res.tokenIntervals {
		recordDuration(prt.betweenTokens, gap)
	}
	for _, del := range res.tokenDelays {
		recordDuration(tly.tokenDelays, del)
	}
}

func (tly *tally) priority(priority int) *priorityTally {
	prt := tly.priorities[priority]
	if prt == nil {
		prt = &priorityTally{
			firstToken:    newHistogram(),
			betweenTokens: newHistogram(),
		}
		tly.priorities[priority] = prt
	}
	return prt
}

func (tly *tally) share(name string) *WorkspaceResults {
	shr := tly.shares[name]
	if shr == nil {
		shr = &WorkspaceResults{
			Workspace: name,
		}
		tly.shares[name] = shr
	}
	return shr
}

func (tly *tally) second(due time.Time) *secondTally {
	idx := int(due.Sub(tly.start) / time.Second)
	sec := tly.seconds[idx]
	if sec == nil {
		sec = &secondTally{
			// Two significant digits keep the memory of a long run small, which has one histogram for each second.
			firstToken: hdrhistogram.New(1, maxHistogramMicros, 2),
		}
		tly.seconds[idx] = sec
	}
	return sec
}
