package promptcrash

import (
	"cmp"
	"slices"
	"time"
)

// event is the crash of one process of a backend server.
type event struct {
	model   string
	at      time.Time
	reports []report
	// survivalsBefore is the number of survivals for the model before the event.
	survivalsBefore int
}

// report is a request that was about to write its response at an event.
type report struct {
	request string
	parts   []string
	sentAt  time.Time
	at      time.Time
}

func (evt *event) has(request string) bool {
	return slices.ContainsFunc(evt.reports, func(rep report) bool { return rep.request == request })
}

// with returns the reports of requests that have a part.
func (evt *event) with(id string) []*report {
	var reps []*report
	for idx := range evt.reports {
		if rep := &evt.reports[idx]; slices.Contains(rep.parts, id) {
			reps = append(reps, rep)
		}
	}
	return reps
}

// hasSuspects reports whether a part that was present at an event has not been cleared. The caller holds the lock.
func (trk *Tracker) hasSuspects(evt *event) bool {
	return slices.ContainsFunc(evt.reports, func(rep report) bool {
		return slices.ContainsFunc(rep.parts, func(id string) bool {
			prt := part{
				model: evt.model,
				id:    id,
			}
			return !trk.isSound(prt, rep.at)
		})
	})
}

// suspect is a part that was present at events and has not been cleared of them.
type suspect struct {
	part   part
	events map[*event]bool
	// reports holds all requests with the part at these events, and requests their different contents.
	reports  []*report
	requests map[string]bool
}

func newSuspect(prt part) *suspect {
	return &suspect{
		part:     prt,
		events:   map[*event]bool{},
		requests: map[string]bool{},
	}
}

// add records that a request with the part was present at an event.
func (sus *suspect) add(evt *event, rep *report) {
	sus.events[evt] = true
	sus.reports = append(sus.reports, rep)
	sus.requests[rep.request] = true
}

// refresh explains the crashes by combinations of parts, and holds or blocks these. The caller holds the lock.
func (trk *Tracker) refresh(now time.Time) {
	if !trk.stale || now.Sub(trk.refreshedAt) < trk.refreshInterval() {
		return
	}
	trk.refreshedAt = now
	trk.expire(now)
	trk.forgetRemovedEvents()
	trk.stale = false
	held := map[combinationKey]time.Time{}
	suspects := trk.suspects()
	for key := range trk.blocked {
		suspects = withoutEvents(suspects, trk.eventsOf(key))
	}
	for {
		sus := strongest(suspects)
		if sus == nil {
			break
		}
		parts := commonParts(sus, suspects)
		key := keyOf(sus.part.model, parts)
		found := Combination{
			Model: sus.part.model,
			Parts: parts,
		}
		switch {
		case !trk.isProven(sus):
			held[key] = trk.holdUntil(key, sus)
		case trk.block(found, now) && trk.ReportBlocked != nil:
			trk.ReportBlocked(found)
		}
		suspects = withoutEvents(suspects, sus.events)
	}
	trk.held = held
}

// refreshInterval returns the least time between two explanations of the crashes. It is 0 for up to reportsAtOnce reports.
func (trk *Tracker) refreshInterval() time.Duration {
	num := 0
	for _, evt := range trk.events {
		num += len(evt.reports)
	}
	return time.Duration(max(0, num-reportsAtOnce)) * intervalPerReport
}

// suspects returns the parts that have not been cleared of crashes at which they were present, without those that were present
// at a single crash.
func (trk *Tracker) suspects() []*suspect {
	byPart := map[part]*suspect{}
	for _, evt := range trk.events {
		for idx := range evt.reports {
			rep := &evt.reports[idx]
			for _, id := range rep.parts {
				prt := part{
					model: evt.model,
					id:    id,
				}
				if !trk.present[prt].recurs || trk.isSound(prt, rep.at) {
					continue
				}
				sus, ok := byPart[prt]
				if !ok {
					sus = newSuspect(prt)
					byPart[prt] = sus
				}
				sus.add(evt, rep)
			}
		}
	}
	all := make([]*suspect, 0, len(byPart))
	for _, sus := range byPart {
		all = append(all, sus)
	}
	// A fixed order makes all daemons with the same evidence draw the same conclusion.
	slices.SortFunc(all, func(lhs, rhs *suspect) int {
		return cmp.Or(cmp.Compare(lhs.part.model, rhs.part.model), cmp.Compare(lhs.part.id, rhs.part.id))
	})
	return all
}

// eventsOf returns the events at which a request with the whole combination was present.
func (trk *Tracker) eventsOf(key combinationKey) map[*event]bool {
	evts := map[*event]bool{}
	for _, evt := range trk.events {
		if slices.ContainsFunc(evt.reports, func(rep report) bool { return key.matches(evt.model, rep.parts) }) {
			evts[evt] = true
		}
	}
	return evts
}

// withoutEvents returns the suspects that are left when some events are explained.
func withoutEvents(all []*suspect, explained map[*event]bool) []*suspect {
	var left []*suspect
	for _, sus := range all {
		rest := newSuspect(sus.part)
		for evt := range sus.events {
			if explained[evt] {
				continue
			}
			for _, rep := range evt.with(sus.part.id) {
				rest.add(evt, rep)
			}
		}
		if len(rest.events) > 0 {
			left = append(left, rest)
		}
	}
	return left
}

// strongest returns the suspect that explains the most events, or nil if none explains enough. A suspect that only some of
// its requests have is preferred if it explains all of its events but one: a part that many requests share is present at
// crashes that it does not cause.
func strongest(all []*suspect) *suspect {
	var best *suspect
	for _, sus := range all {
		if sus.isCandidate() && (best == nil || len(sus.events) > len(best.events)) {
			best = sus
		}
	}
	if best == nil {
		return nil
	}
	narrower := best
	for _, sus := range all {
		if sus.isCandidate() && sus.part.model == best.part.model && len(sus.events) >= len(best.events)-1 &&
			len(sus.requests) < len(narrower.requests) && isSubset(sus.requests, best.requests) {
			narrower = sus
		}
	}
	return narrower
}

func (sus *suspect) isCandidate() bool {
	return len(sus.events) >= crashesToHold && len(sus.requests) >= minRequests
}

func isSubset(sub, all map[string]bool) bool {
	for val := range sub {
		if !all[val] {
			return false
		}
	}
	return true
}

// commonParts returns the parts that all requests of a suspect have and that are suspects of the same events.
func commonParts(sus *suspect, all []*suspect) []string {
	var parts []string
	for _, other := range all {
		if other.part.model != sus.part.model {
			continue
		}
		always := !slices.ContainsFunc(sus.reports, func(rep *report) bool { return !slices.Contains(rep.parts, other.part.id) })
		sameEvents := len(other.events) >= len(sus.events)
		for evt := range sus.events {
			sameEvents = sameEvents && other.events[evt]
		}
		if always && sameEvents {
			parts = append(parts, other.part.id)
		}
	}
	return parts
}

// isProven reports whether the evidence suffices to block a suspect: enough crashes one after the other, so that an outage of
// many backend servers at once counts as one, while other requests survived. The caller holds the lock.
func (trk *Tracker) isProven(sus *suspect) bool {
	survivals := 0
	reps := make([]*report, 0, len(sus.events))
	for evt := range sus.events {
		survivals = max(survivals, trk.survivals[sus.part.model]-evt.survivalsBefore)
		reps = append(reps, slices.MaxFunc(evt.with(sus.part.id), func(lhs, rhs *report) int { return lhs.sentAt.Compare(rhs.sentAt) }))
	}
	slices.SortFunc(reps, func(lhs, rhs *report) int { return lhs.at.Compare(rhs.at) })
	successive := 0
	var last time.Time
	for _, rep := range reps {
		if successive == 0 || !rep.sentAt.Before(last) {
			successive++
			last = rep.at
		}
	}
	needed := crashesToBlock
	if at, ok := trk.survivedAt[sus.part]; ok && last.Sub(at) < Period {
		needed = crashesToBlockKnown
	}
	return successive >= needed && survivals >= survivalsToBlock
}

// holdUntil returns the time until which this daemon holds a combination. The caller holds the lock.
func (trk *Tracker) holdUntil(key combinationKey, sus *suspect) time.Time {
	var last time.Time
	for evt := range sus.events {
		if evt.at.After(last) {
			last = evt.at
		}
	}
	if old, ok := trk.held[key]; ok && !old.Before(last.Add(minHold)) {
		return old
	}
	spread := min(time.Duration(trk.DaemonCount())*holdPerDaemon, maxHoldSpread)
	return last.Add(minHold + time.Duration(trk.random()*float64(spread)))
}
