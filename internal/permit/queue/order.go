package queue

import (
	"sort"
	"time"

	"github.com/cumintally/cumintally/internal/permit"
)

// admit gives free slots to the waiting requests in order.
func (que *Queue) admit(now time.Time) {
	que.expire(now)
	for free := que.usable(now) - que.admitted; free > 0 && len(que.waiting) > 0; free-- {
		best := que.waiting[0]
		for _, tkt := range que.waiting[1:] {
			if que.before(tkt, best) {
				best = tkt
			}
		}
		que.remove(best)
		que.turn(best)
		best.state = admitted
		que.admitted++
		close(best.Ready)
	}
}

func (que *Queue) before(fst, snd *Ticket) bool {
	if fst.Priority != snd.Priority {
		return fst.Priority > snd.Priority
	}
	if que.turns[fst.Workspace] != que.turns[snd.Workspace] {
		return que.turns[fst.Workspace] < que.turns[snd.Workspace]
	}
	return fst.Deadline.Before(snd.Deadline)
}

// turn charges a workspace for a slot; one that was idle starts from the least of those that wait.
func (que *Queue) turn(tkt *Ticket) {
	least := que.turns[tkt.Workspace]
	for _, oth := range que.waiting {
		if val := que.turns[oth.Workspace]; oth.Workspace != tkt.Workspace && val-maxTurnsBehind > least {
			least = val - maxTurnsBehind
		}
	}
	que.turns[tkt.Workspace] = least + 1/float64(max(1, tkt.Share))
}

// maxTurnsBehind bounds the claim of a workspace that was idle, in slots for a share of 1.
const maxTurnsBehind = 16

// ahead returns the number of waiting requests that go before tkt.
func (que *Queue) ahead(tkt *Ticket) int {
	num := 0
	for _, oth := range que.waiting {
		if oth != tkt && que.before(oth, tkt) {
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

// expire drops waiting requests whose deadline has passed; their Ready stays open.
func (que *Queue) expire(now time.Time) {
	kept := que.waiting[:0]
	for _, tkt := range que.waiting {
		if tkt.Deadline.After(now) {
			kept = append(kept, tkt)
		}
	}
	que.waiting = kept
}

// demand sums the waiting requests by workspace and priority, most urgent first.
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
				Within:    tkt.Deadline.Sub(now),
			}
			sums[key] = sum
		}
		sum.Count++
		sum.Within = min(sum.Within, tkt.Deadline.Sub(now))
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
	return list[:min(len(list), maxClasses)]
}

// maxClasses bounds the size of an ask; an environment has about 10 workspaces.
const maxClasses = 16

// pace is the recent time between two ends of requests.
type pace struct {
	last     time.Time
	interval time.Duration
}

// paceWeight is the weight of the last interval in the moving average.
const paceWeight = 0.1

func (pac *pace) tick(now time.Time) {
	if !pac.last.IsZero() {
		// A pause in the traffic says nothing of the pace under load.
		if itv := now.Sub(pac.last); itv < time.Second {
			pac.interval += time.Duration(paceWeight * float64(itv-pac.interval))
		}
	}
	pac.last = now
}

// wait returns the expected time until so many slots became free; 0 if the pace is not known.
func (pac *pace) wait(slots int) time.Duration {
	return time.Duration(slots) * pac.interval
}
