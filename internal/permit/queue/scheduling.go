package queue

import (
	"sort"
	"time"

	"github.com/cumintally/cumintally/internal/permit"
)

// admit gives free slots to the waiting requests in the order of precedes.
func (que *Queue) admit(now time.Time) {
	que.expire(now)
	for free := que.usableSlots(now) - que.admitted; free > 0 && len(que.waiting) > 0; free-- {
		best := que.waiting[0]
		for _, tkt := range que.waiting[1:] {
			if que.precedes(tkt, best) {
				best = tkt
			}
		}
		que.remove(best)
		que.chargeWorkspace(best)
		best.state = ticketAdmitted
		que.admitted++
		close(best.Ready)
	}
}

// precedes reports whether fst gets a slot before snd.
func (que *Queue) precedes(fst, snd *Ticket) bool {
	if fst.Priority != snd.Priority {
		return fst.Priority > snd.Priority
	}
	if que.virtualTimes[fst.Workspace] != que.virtualTimes[snd.Workspace] {
		return que.virtualTimes[fst.Workspace] < que.virtualTimes[snd.Workspace]
	}
	return fst.Deadline.Before(snd.Deadline)
}

// chargeWorkspace adds one slot to the virtual time of the ticket's workspace. A workspace that was idle starts at
// most maxVirtualLag behind the other waiting workspaces.
func (que *Queue) chargeWorkspace(tkt *Ticket) {
	least := que.virtualTimes[tkt.Workspace]
	for _, oth := range que.waiting {
		if val := que.virtualTimes[oth.Workspace]; oth.Workspace != tkt.Workspace && val-maxVirtualLag > least {
			least = val - maxVirtualLag
		}
	}
	que.virtualTimes[tkt.Workspace] = least + 1/float64(max(1, tkt.Share))
}

// maxVirtualLag bounds how far the virtual time of an idle workspace lags behind, in slots for a share of 1.
const maxVirtualLag = 16

// countAhead returns the number of waiting requests that get a slot before tkt.
func (que *Queue) countAhead(tkt *Ticket) int {
	num := 0
	for _, oth := range que.waiting {
		if oth != tkt && que.precedes(oth, tkt) {
			num++
		}
	}
	return num
}

func (que *Queue) remove(tkt *Ticket) {
	for idx, oth := range que.waiting {
		if oth == tkt {
			que.waiting = append(que.waiting[:idx], que.waiting[idx+1:]...)
			return
		}
	}
}

// expire removes waiting requests whose deadline has passed. Their Ready channel stays open.
func (que *Queue) expire(now time.Time) {
	kept := que.waiting[:0]
	for _, tkt := range que.waiting {
		if tkt.Deadline.After(now) {
			kept = append(kept, tkt)
		}
	}
	que.waiting = kept
}

// demand counts the waiting requests by workspace and priority. It returns the highest priorities first.
func (que *Queue) demand(now time.Time) []permit.Demand {
	type class struct {
		workspace string
		priority  int
	}
	sums := map[class]*permit.Demand{}
	for _, tkt := range que.waiting {
		key := class{
			workspace: tkt.Workspace,
			priority:  tkt.Priority,
		}
		sum, ok := sums[key]
		if !ok {
			sum = &permit.Demand{
				Workspace: tkt.Workspace,
				Share:     tkt.Share,
				Priority:  tkt.Priority,
				MaxWait:   tkt.Deadline.Sub(now),
			}
			sums[key] = sum
		}
		sum.Count++
		sum.MaxWait = min(sum.MaxWait, tkt.Deadline.Sub(now))
	}
	list := make([]permit.Demand, 0, len(sums))
	for _, sum := range sums {
		list = append(list, *sum)
	}
	sort.Slice(list, func(fst, snd int) bool {
		if list[fst].Priority != list[snd].Priority {
			return list[fst].Priority > list[snd].Priority
		}
		return list[fst].Workspace < list[snd].Workspace
	})
	return list[:min(len(list), maxDemandClasses)]
}

// maxDemandClasses bounds the size of a slot request. An environment has about 10 workspaces.
const maxDemandClasses = 16

// completionRate measures the mean time between the ends of recent requests.
type completionRate struct {
	last time.Time
	// interval is the moving average of the time between two completions.
	interval time.Duration
}

// intervalWeight is the weight of the last interval in the exponentially weighted moving average.
const intervalWeight = 0.1

// recordCompletion updates the average with a request that ends now.
func (crt *completionRate) recordCompletion(now time.Time) {
	if !crt.last.IsZero() {
		// A longer interval is a pause in the traffic and does not indicate the rate under load.
		if itv := now.Sub(crt.last); itv < time.Second {
			crt.interval += time.Duration(intervalWeight * float64(itv-crt.interval))
		}
	}
	crt.last = now
}

// expectedWait returns the expected time until the given number of slots become free, or 0 if the rate is unknown.
func (crt *completionRate) expectedWait(slots int) time.Duration {
	return time.Duration(slots) * crt.interval
}
