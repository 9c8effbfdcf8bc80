package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms: microseconds up to an hour, to three digits.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// maxDetails bounds the details kept of answers that were wrong or broken.
const maxDetails = 20

// tally adds up the results of a run.
type tally struct {
	mu       sync.Mutex
	start    time.Time
	sent     int
	skipped  int
	resumes  int
	tokens   int
	wasted   int
	endings  map[string]int
	details  []string
	answers  *hdrhistogram.Histogram
	rejected *hdrhistogram.Histogram
	delays   *hdrhistogram.Histogram
	classes  map[int]*class
	shares   map[string]*Share
	seconds  map[int]*second
}

// class is the tally of one priority.
type class struct {
	sent    int
	whole   int
	inTime  int
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
}

// second is the tally of the requests due in one second of the run.
type second struct {
	sent   int
	whole  int
	inTime int
	first  *hdrhistogram.Histogram
}

func newTally(start time.Time) *tally {
	return &tally{
		start:    start,
		endings:  map[string]int{},
		answers:  newHistogram(),
		rejected: newHistogram(),
		delays:   newHistogram(),
		classes:  map[int]*class{},
		shares:   map[string]*Share{},
		seconds:  map[int]*second{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(hst *hdrhistogram.Histogram, dur time.Duration) {
	_ = hst.RecordValue(min(max(dur.Microseconds(), 1), histogramMax))
}

func (tly *tally) skip() {
	tly.mu.Lock()
	defer tly.mu.Unlock()
	tly.skipped++
}

func (tly *tally) add(deadline time.Duration, res result) {
	tly.mu.Lock()
	defer tly.mu.Unlock()
	cls := tly.class(res.workspace.Priority)
	sec := tly.second(res.due)
	shr := tly.share(res.workspace.Name)
	tly.sent++
	shr.Sent++
	shr.Tokens += res.tokens
	cls.sent++
	sec.sent++
	tly.resumes += res.resumes
	tly.tokens += res.tokens
	tly.endings[res.ending]++
	inTime := res.ending == endWhole && res.total <= deadline
	if !inTime {
		tly.wasted += res.tokens
	}
	if res.ending != endWhole {
		if len(tly.details) < maxDetails {
			tly.details = append(tly.details, res.ending+": "+res.detail)
		}
		if res.tokens == 0 {
			record(tly.rejected, res.total)
		}
	} else {
		cls.whole++
		shr.Whole++
		sec.whole++
		record(tly.answers, res.total)
	}
	if inTime {
		cls.inTime++
		shr.InTime++
		sec.inTime++
	}
	if res.tokens > 0 {
		record(cls.first, res.first)
		record(sec.first, res.first)
	}
	for _, gap := range res.gaps {
		record(cls.between, gap)
	}
	for _, del := range res.delays {
		record(tly.delays, del)
	}
}

func (tly *tally) class(priority int) *class {
	cls := tly.classes[priority]
	if cls == nil {
		cls = &class{
			first:   newHistogram(),
			between: newHistogram(),
		}
		tly.classes[priority] = cls
	}
	return cls
}

func (tly *tally) share(name string) *Share {
	shr := tly.shares[name]
	if shr == nil {
		shr = &Share{
			Workspace: name,
		}
		tly.shares[name] = shr
	}
	return shr
}

func (tly *tally) second(due time.Time) *second {
	idx := int(due.Sub(tly.start) / time.Second)
	sec := tly.seconds[idx]
	if sec == nil {
		sec = &second{
			// Two digits keep the many histograms of a long run small.
			first: hdrhistogram.New(1, histogramMax, 2),
		}
		tly.seconds[idx] = sec
	}
	return sec
}
