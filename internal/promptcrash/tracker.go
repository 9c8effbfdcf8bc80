package promptcrash

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// Period is the time for which a combination is blocked and for which crashes count against a part.
	Period = 10 * time.Minute
	// crashesToHold and crashesToBlock are the numbers of crashes, by at least minRequests different requests, at which a
	// part is held or blocked. The parts of a single request cannot be told apart.
	// A part that survived within Period needs crashesToBlockKnown.
	crashesToHold       = 2
	crashesToBlock      = 3
	crashesToBlockKnown = 5
	minRequests         = 2
	// survivalsToBlock is the number of other requests for the model that must have survived since the first crash: an
	// outage in which all requests fail says nothing about a part.
	survivalsToBlock = 5
	// minHold is the time after the latest crash for which a part is held. Each daemon adds a random part of
	// holdPerDaemon for each daemon, up to maxHoldSpread, so that few of them send such a request at the same time.
	minHold       = 1500 * time.Millisecond
	holdPerDaemon = 400 * time.Millisecond
	maxHoldSpread = 6 * time.Second
	// soundTime is the time for which a part that survived is no suspect at crashes.
	soundTime = 10 * time.Second
	// maxEvidenceAge is the age at which crashes that other daemons observed are ignored.
	maxEvidenceAge = 20 * time.Second
	// Up to reportsAtOnce reports are explained whenever the evidence changes. For each further one, the least time between two
	// explanations grows by intervalPerReport, since in an outage nearly every send adds a report.
	reportsAtOnce     = 500
	intervalPerReport = 100 * time.Microsecond
	// maxEvents, maxReports, maxSurvived and maxBlocked bound the memory: the crashes, the requests at one of them, the
	// parts whose survival is remembered, and the combinations.
	maxEvents   = 200
	maxReports  = 100
	maxSurvived = 20000
	maxBlocked  = 256
)

// Tracker holds what one daemon knows of the crashes and survivals of all daemons.
type Tracker struct {
	// ReportBlocked, if not nil, is called for each combination that this daemon finds itself.
	ReportBlocked func(found Combination)
	// DaemonCount returns the number of daemons among which the requests with held parts are spread.
	DaemonCount func() int

	random func() float64

	mu     sync.Mutex
	events map[string]*event
	// present holds where the parts of all reports were present. Once events were removed, it may hold parts that are at none of
	// them, until forgetRemovedEvents is called.
	present       map[part]presence
	eventsRemoved bool
	// survivedAt holds the latest survival of each part, and ownSurvivedAt the latest one that this daemon observed.
	// survivals is the number of all survivals by model.
	survivedAt    map[part]time.Time
	ownSurvivedAt map[part]time.Time
	survivals     map[string]int
	// stale is set if the evidence changed since held was computed, at refreshedAt.
	stale       bool
	refreshedAt time.Time
	held        map[combinationKey]time.Time
	// blocked holds the times at which combinations were found, and disproved the latest survivals of requests that were
	// blocked at another daemon.
	blocked   map[combinationKey]time.Time
	disproved map[combinationKey]time.Time
}

type part struct {
	model string
	id    string
}

// presence is what the reports say of a part.
type presence struct {
	// event is the first event at which the part was present, and recurs is set if it was present at another one too.
	event  *event
	recurs bool
	// lastAt is the time of the latest report with the part.
	lastAt time.Time
}

// combinationKey identifies a combination; parts are joined by commas.
type combinationKey struct {
	model string
	parts string
}

// New returns a tracker without evidence. The function random returns numbers from 0 to below 1.
func New(random func() float64) *Tracker {
	return &Tracker{
		DaemonCount: func() int { return 1 },
		random:      random,
		events:      map[string]*event{},
		present:     map[part]presence{},
		survivals:   map[string]int{},
		held:        map[combinationKey]time.Time{},
		blocked:     map[combinationKey]time.Time{},
		disproved:   map[combinationKey]time.Time{},

		survivedAt:    map[part]time.Time{},
		ownSurvivedAt: map[part]time.Time{},
	}
}

// RecordCrash adds a crash to the evidence. It reports whether the crash is recent and was not known before.
func (trk *Tracker) RecordCrash(observed Crash, now time.Time) bool {
	if observed.Age >= maxEvidenceAge {
		return false
	}
	return trk.RestoreCrash(observed, now)
}

// RestoreCrash adds a crash to the evidence that was stored before this daemon started. It reports whether the crash was not
// known before.
func (trk *Tracker) RestoreCrash(observed Crash, now time.Time) bool {
	if observed.Age >= Period || len(observed.Parts) == 0 {
		return false
	}
	trk.mu.Lock()
	defer trk.mu.Unlock()
	evt, ok := trk.events[observed.Event]
	if !ok {
		trk.dropOldestEvent()
		evt = &event{
			model:           observed.Model,
			survivalsBefore: trk.survivals[observed.Model],
		}
		trk.events[observed.Event] = evt
	}
	if evt.has(observed.Request) || len(evt.reports) >= maxReports {
		return false
	}
	rep := report{
		request: observed.Request,
		parts:   observed.Parts,
		sentAt:  now.Add(-observed.SentAge),
		at:      now.Add(-observed.Age),
	}
	evt.reports = append(evt.reports, rep)
	evt.at = rep.at
	trk.recordPresence(evt, &rep)
	trk.stale = true
	return true
}

func (trk *Tracker) dropOldestEvent() {
	if len(trk.events) < maxEvents {
		return
	}
	oldest := ""
	for id, evt := range trk.events {
		if oldest == "" || evt.at.Before(trk.events[oldest].at) {
			oldest = id
		}
	}
	delete(trk.events, oldest)
	trk.eventsRemoved = true
}

// RecordSurvival adds a survival that this daemon observed. It reports whether it says something about a part at a crash or
// about a blocked combination, so that the other daemons must know of it.
func (trk *Tracker) RecordSurvival(observed Survival, now time.Time) bool {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	trk.survivals[observed.Model]++
	// The number of survivals decides only whether a part that is held is blocked.
	trk.stale = trk.stale || len(trk.held) > 0
	trk.addSurvival(trk.ownSurvivedAt, observed, now)
	return trk.applySurvival(observed, now)
}

// ReceiveSurvival adds a survival that another daemon observed and reports whether it was news.
func (trk *Tracker) ReceiveSurvival(observed Survival, now time.Time) bool {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	return trk.applySurvival(observed, now)
}

// OwnSurvivals returns the latest survivals of the parts of a crash that this daemon observed, which other daemons may not
// know of.
func (trk *Tracker) OwnSurvivals(observed Crash, now time.Time) []Survival {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	var known []Survival
	for _, id := range observed.Parts {
		at, ok := trk.ownSurvivedAt[part{
			model: observed.Model,
			id:    id,
		}]
		if age := now.Sub(at); ok && age < Period {
			known = append(known, Survival{
				Model: observed.Model,
				Parts: []string{id},
				Age:   age,
			})
		}
	}
	return known
}

// applySurvival clears parts of crashes and drops combinations that a survival disproves. The caller holds the lock.
func (trk *Tracker) applySurvival(observed Survival, now time.Time) bool {
	if observed.Age >= Period {
		return false
	}
	at := now.Add(-observed.Age)
	isNews := trk.concernsCrash(observed, at)
	for key, foundAt := range trk.blocked {
		if at.After(foundAt) && key.matches(observed.Model, observed.Parts) {
			delete(trk.blocked, key)
			trk.disproved[key] = at
			isNews = true
		}
	}
	trk.addSurvival(trk.survivedAt, observed, now)
	trk.stale = trk.stale || isNews
	return isNews
}

// concernsCrash reports whether a survival is later than those known of a part that is suspected. The caller holds the lock.
func (trk *Tracker) concernsCrash(observed Survival, at time.Time) bool {
	return slices.ContainsFunc(observed.Parts, func(id string) bool {
		prt := part{
			model: observed.Model,
			id:    id,
		}
		prs, ok := trk.present[prt]
		return ok && !trk.isSound(prt, prs.lastAt) && at.After(trk.survivedAt[prt])
	})
}

// recordPresence records that the parts of a report were present at an event. The caller holds the lock.
func (trk *Tracker) recordPresence(evt *event, rep *report) {
	for _, id := range rep.parts {
		prt := part{
			model: evt.model,
			id:    id,
		}
		prs, ok := trk.present[prt]
		if !ok {
			prs.event = evt
		}
		prs.recurs = prs.recurs || prs.event != evt
		if rep.at.After(prs.lastAt) {
			prs.lastAt = rep.at
		}
		trk.present[prt] = prs
	}
}

// forgetRemovedEvents drops what only events that were removed said of parts. The caller holds the lock.
func (trk *Tracker) forgetRemovedEvents() {
	if !trk.eventsRemoved {
		return
	}
	trk.eventsRemoved = false
	clear(trk.present)
	for _, evt := range trk.events {
		for idx := range evt.reports {
			trk.recordPresence(evt, &evt.reports[idx])
		}
	}
}

// addSurvival adds a survival to times, one of the maps of latest survivals. The caller holds the lock.
func (trk *Tracker) addSurvival(times map[part]time.Time, observed Survival, now time.Time) {
	forgetSurvived(times, now)
	at := now.Add(-observed.Age)
	for _, id := range observed.Parts {
		prt := part{
			model: observed.Model,
			id:    id,
		}
		if at.After(times[prt]) {
			times[prt] = at
		}
	}
}

// isSound reports whether a part survived after a crash at the given time, or shortly before it. The caller holds the lock.
func (trk *Tracker) isSound(prt part, crashAt time.Time) bool {
	at, ok := trk.survivedAt[prt]
	return ok && at.After(crashAt.Add(-soundTime))
}

// forgetSurvived drops old survivals of parts if there are maxSurvived.
func forgetSurvived(times map[part]time.Time, now time.Time) {
	if len(times) < maxSurvived {
		return
	}
	for prt, at := range times {
		if now.Sub(at) >= soundTime {
			delete(times, prt)
		}
	}
	if len(times) >= maxSurvived {
		clear(times)
	}
}

// block adds a combination unless it is known, was disproved after it had been found, or is too old. The caller holds the
// lock.
func (trk *Tracker) block(cmb Combination, now time.Time) bool {
	key := keyOf(cmb.Model, cmb.Parts)
	foundAt := now.Add(-cmb.Age)
	_, known := trk.blocked[key]
	if known || len(cmb.Parts) == 0 || cmb.Age >= Period || trk.disproved[key].After(foundAt) || len(trk.blocked) >= maxBlocked {
		return false
	}
	trk.blocked[key] = foundAt
	trk.stale = true
	return true
}

// RecordBlocked adds a combination that another daemon found. It reports whether it was not known before.
func (trk *Tracker) RecordBlocked(found Combination, now time.Time) bool {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	return trk.block(found, now)
}

// Blocks returns the time for which a request for the model whose prompt has the given parts must not run, 0 if it may.
func (trk *Tracker) Blocks(model string, parts []string, now time.Time) time.Duration {
	if len(parts) == 0 {
		return 0
	}
	trk.mu.Lock()
	defer trk.mu.Unlock()
	trk.refresh(now)
	for key, foundAt := range trk.blocked {
		if left := foundAt.Add(Period).Sub(now); left > 0 && key.matches(model, parts) {
			return left
		}
	}
	for key, until := range trk.held {
		if left := until.Sub(now); left > 0 && key.matches(model, parts) {
			return left
		}
	}
	return 0
}

// HeldEvidence returns the crashes for which parts are held, in a fixed order.
func (trk *Tracker) HeldEvidence(now time.Time) []Crash {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	trk.expire(now)
	trk.refresh(now)
	var all []Crash
	for id, evt := range trk.events {
		for idx := range evt.reports {
			if rep := &evt.reports[idx]; trk.isHeld(evt.model, rep.parts) {
				all = append(all, Crash{
					Model:   evt.model,
					Parts:   rep.parts,
					Request: rep.request,
					Event:   id,
					SentAge: now.Sub(rep.sentAt),
					Age:     now.Sub(rep.at),
				})
			}
		}
	}
	slices.SortFunc(all, func(lhs, rhs Crash) int { return strings.Compare(lhs.Event+" "+lhs.Request, rhs.Event+" "+rhs.Request) })
	return all
}

// isHeld reports whether parts include a combination that is held or was until lately. The caller holds the lock.
func (trk *Tracker) isHeld(model string, parts []string) bool {
	for key := range trk.held {
		if key.matches(model, parts) {
			return true
		}
	}
	return false
}

// Blocked returns the blocked combinations, in a fixed order.
func (trk *Tracker) Blocked(now time.Time) []Combination {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	trk.expire(now)
	trk.refresh(now)
	all := make([]Combination, 0, len(trk.blocked))
	for key, foundAt := range trk.blocked {
		all = append(all, Combination{
			Model: key.model,
			Parts: strings.Split(key.parts, ","),
			Age:   now.Sub(foundAt),
		})
	}
	slices.SortFunc(all, func(lhs, rhs Combination) int {
		return strings.Compare(lhs.Model+" "+strings.Join(lhs.Parts, ","), rhs.Model+" "+strings.Join(rhs.Parts, ","))
	})
	return all
}

func keyOf(model string, parts []string) combinationKey {
	return combinationKey{
		model: model,
		parts: strings.Join(slices.Sorted(slices.Values(parts)), ","),
	}
}

// matches reports whether a request for the model with the given parts has the whole combination.
func (key combinationKey) matches(model string, parts []string) bool {
	if key.model != model {
		return false
	}
	for id := range strings.SplitSeq(key.parts, ",") {
		if !slices.Contains(parts, id) {
			return false
		}
	}
	return true
}

// expire removes old evidence and combinations. The caller holds the lock.
func (trk *Tracker) expire(now time.Time) {
	for id, evt := range trk.events {
		if now.Sub(evt.at) >= Period || (now.Sub(evt.at) >= maxEvidenceAge && !trk.hasSuspects(evt)) {
			delete(trk.events, id)
			trk.eventsRemoved = true
			trk.stale = true
		}
	}
	for key, at := range trk.blocked {
		if now.Sub(at) >= Period {
			delete(trk.blocked, key)
			trk.stale = true
		}
	}
	for key, at := range trk.disproved {
		if now.Sub(at) >= Period {
			delete(trk.disproved, key)
		}
	}
}
