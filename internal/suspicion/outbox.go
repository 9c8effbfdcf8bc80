package suspicion

import (
	"slices"
	"time"
)

const (
	// maxReports bounds the reports in one message, about six kilobytes.
	maxReports = 64
	// maxUnsent bounds the reports that are kept for other daemons. A daemon that misses some encounters the failure
	// itself.
	maxUnsent = 512
)

// outbox holds the reports for the other daemons until they are outdated. They are numbered from 1, so that each daemon
// is sent each of them once over one connection.
type outbox struct {
	items  []unsent
	latest uint64
}

type unsent struct {
	report Report
	number uint64
	// observedAt is when the observation was made, on this daemon's clock.
	observedAt time.Time
}

// add adds a report. It replaces an earlier one of the same daemon and kind on the same process.
func (box *outbox) add(rep Report, now time.Time) {
	box.drop(now)
	box.items = slices.DeleteFunc(box.items, func(itm unsent) bool {
		old := itm.report
		old.Age = rep.Age
		return old == rep
	})
	if len(box.items) >= maxUnsent {
		box.items = box.items[1:]
	}
	box.latest++
	box.items = append(box.items, unsent{
		report:     rep,
		number:     box.latest,
		observedAt: now.Add(-rep.Age),
	})
}

// after returns at most maxReports reports with a number above sent, and the number of the last report up to which all
// have been returned.
func (box *outbox) after(sent uint64, now time.Time) ([]Report, uint64) {
	box.drop(now)
	var reps []Report
	for _, itm := range box.items {
		if itm.number <= sent {
			continue
		}
		if len(reps) == maxReports {
			return reps, sent
		}
		itm.report.Age = now.Sub(itm.observedAt)
		reps = append(reps, itm.report)
		sent = itm.number
	}
	return reps, max(sent, box.latest)
}

func (box *outbox) drop(now time.Time) {
	num := 0
	for num < len(box.items) && now.Sub(box.items[num].observedAt) >= reportLifetime {
		num++
	}
	box.items = box.items[num:]
}
