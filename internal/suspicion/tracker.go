package suspicion

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cumintally/cumintally/internal/serverregistry"
)

const (
	// reportLifetime is the time after which a report counts no more: the longest time for which a daemon ejects a server
	// on its own.
	reportLifetime = 6 * time.Second
	// reportInterval is the least time between two reports of one daemon on one process that other daemons are sent, and
	// the time by which a report must be later than those known to be news.
	reportInterval = 500 * time.Millisecond
	// trialInterval is the time between the start of a suspicion, or the latest trial, and the next trial. A server that
	// returns waits half of it on average, and a trial that fails is known to have failed before the next one.
	trialInterval = 900 * time.Millisecond
	// trialStep is the time after which one more daemon may try a server that no daemon has tried: the first ones may have
	// no request for it, or have ended. It exceeds the time until the other daemons know of a trial.
	trialStep = 70 * time.Millisecond
	// maxTriers is the number of daemons that try a process in turn: more than one, since the link of a daemon may be what
	// fails, and few, so that few encounter a failure that lasts.
	maxTriers = 2
	// maxReportersPerZone bounds the reports on one process that are kept and forwarded for each availability zone. Two
	// suffice to tell the failure of a server from that of a daemon.
	maxReportersPerZone = 2
	// stallAge is the age of a stall when it is found, at least: no byte arrived meanwhile. It is below the shortest silence
	// that counts as a stall by the time by which the last bytes reach one daemon later than another. Bytes that another
	// daemon got after it contradict the report.
	stallAge = 100 * time.Millisecond
	// avoidableShare divides the servers of a zone: the share that the report of a single daemon excludes is one in
	// avoidableShare.
	avoidableShare = 3
	// maxProcesses bounds the processes on which reports are kept. It exceeds the servers that requests are sent to on the
	// largest site.
	maxProcesses = 512
)

// Dependencies holds the functions of other components that a Tracker calls.
type Dependencies struct {
	// Daemons returns the registered daemons, and Registrations the registered backend servers.
	Daemons       func() []Daemon
	Registrations func() *serverregistry.View
	// LastProgress returns when a server last sent bytes to this daemon, the zero time if it never did.
	LastProgress func(server string) time.Time
	// ReachesDirectly reports whether this daemon connects to the server at an address directly. Reports on links to the
	// server say nothing about the path through another daemon.
	ReachesDirectly func(address string) bool
}

// Tracker holds the reports that a daemon made and received. It is safe for concurrent use.
type Tracker struct {
	self Daemon
	deps Dependencies

	mu      sync.Mutex
	records map[serverregistry.Process]*record
	outbox  outbox
}

// record holds what is known of one process that is or was suspected.
type record struct {
	// since is the time of the first of the reports, and reports holds the latest one of each daemon, by name.
	since   time.Time
	reports map[string]observation
	// triedAt holds when daemons tried the process since the suspicion began, by name.
	triedAt map[string]time.Time
	// progressAt holds when the process last made progress after a suspicion, by the zone of the daemon that got the bytes.
	progressAt map[string]time.Time
	// sentAt is when this daemon's report on the process was last sent to other daemons, and progressSentAt when its progress
	// was. contradicted is set if a report arrived since then that is older than the progress known here: it may be newer than
	// what another daemon knows.
	sentAt         time.Time
	progressSentAt time.Time
	contradicted   bool
}

// observation is one report, on this daemon's clock.
type observation struct {
	kind Kind
	zone string
	at   time.Time
}

// New returns a tracker without reports for the daemon self.
func New(self Daemon, deps Dependencies) *Tracker {
	return &Tracker{
		self:    self,
		deps:    deps,
		records: map[serverregistry.Process]*record{},
	}
}

// Zone returns the availability zone of this daemon.
func (trk *Tracker) Zone() string {
	return trk.self.AvailabilityZone
}

// ReportFailure records that a process failed this daemon. It reports whether the other daemons are to be told.
func (trk *Tracker) ReportFailure(prc serverregistry.Process, kind Kind, now time.Time) bool {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	obs := observation{
		kind: kind,
		zone: trk.self.AvailabilityZone,
		at:   now,
	}
	if kind == Stalled {
		obs.at = now.Add(-stallAge)
	}
	rec, isNews := trk.addFailure(prc, trk.self.Name, obs, now)
	if rec == nil {
		return false
	}
	// This daemon's own report counts here also when there are enough for the others.
	if _, known := rec.reports[trk.self.Name]; !known {
		rec.reports[trk.self.Name] = obs
	}
	if !isNews || now.Sub(rec.sentAt) < reportInterval {
		return false
	}
	rec.sentAt = now
	trk.outbox.add(trk.ownReport(prc, kind, now.Sub(obs.at)), now)
	return true
}

func (trk *Tracker) ownReport(prc serverregistry.Process, kind Kind, age time.Duration) Report {
	return Report{
		Server:    prc.ID,
		StartTime: prc.StartTime,
		Kind:      kind,
		Daemon:    trk.self.Name,
		Zone:      trk.self.AvailabilityZone,
		Age:       age,
	}
}

// Receive records the report of another daemon. It reports whether it was news. If forward is set, news is sent on.
func (trk *Tracker) Receive(rep Report, forward bool, now time.Time) bool {
	if rep.Daemon == trk.self.Name || rep.Age < 0 || rep.Age >= reportLifetime {
		return false
	}
	trk.mu.Lock()
	defer trk.mu.Unlock()
	at := now.Add(-rep.Age)
	var isNews bool
	switch rep.Kind {
	case Trial:
		isNews = trk.addTrial(rep.Process(), rep.Daemon, at)
	case Progress:
		isNews = trk.addProgress(rep.Process(), rep.Zone, at)
	case Stalled, Reset, Unreachable:
		_, isNews = trk.addFailure(rep.Process(), rep.Daemon, observation{
			kind: rep.Kind,
			zone: rep.Zone,
			at:   at,
		}, now)
	default:
		// A later version may report what this one does not know.
		return false
	}
	if isNews && forward {
		trk.outbox.add(rep, now)
	}
	return isNews
}

// addFailure adds the report of a daemon. It returns the record of the process, nil if the report is outdated or no record
// is kept, and whether the report adds to what is known: it is one of the first of its zone or later than those. The caller
// holds the lock.
func (trk *Tracker) addFailure(prc serverregistry.Process, daemon string, obs observation, now time.Time) (*record, bool) {
	rec, ok := trk.records[prc]
	if !ok {
		if len(trk.records) >= maxProcesses {
			return nil, false
		}
		rec = &record{
			reports:    map[string]observation{},
			triedAt:    map[string]time.Time{},
			progressAt: map[string]time.Time{},
		}
		trk.records[prc] = rec
	}
	if rec.progressAt[obs.zone].After(obs.at) {
		rec.contradicted = true
		return nil, false
	}
	rec.dropOutdated(now)
	old, known := rec.reports[daemon]
	if known && obs.at.Sub(old.at) < reportInterval/2 {
		return rec, false
	}
	oldest, latest, num := rec.reportersOf(obs.zone)
	if !known && num >= maxReportersPerZone {
		if obs.at.Sub(latest) < reportInterval/2 {
			return rec, false
		}
		delete(rec.reports, oldest)
	}
	if len(rec.reports) == 0 {
		rec.since = obs.at
		clear(rec.triedAt)
	}
	rec.reports[daemon] = obs
	return rec, true
}

// reportersOf returns the daemon of a zone with the oldest report, the time of the latest report, and the number of
// reporters.
func (rec *record) reportersOf(zone string) (oldest string, latest time.Time, num int) {
	for name, obs := range rec.reports {
		if obs.zone != zone {
			continue
		}
		if num == 0 || obs.at.Before(rec.reports[oldest].at) {
			oldest = name
		}
		if obs.at.After(latest) {
			latest = obs.at
		}
		num++
	}
	return oldest, latest, num
}

func (rec *record) dropOutdated(now time.Time) {
	maps.DeleteFunc(rec.reports, func(_ string, obs observation) bool { return now.Sub(obs.at) >= reportLifetime })
}

// addTrial records that a daemon tries a suspected process. The caller holds the lock.
func (trk *Tracker) addTrial(prc serverregistry.Process, daemon string, at time.Time) bool {
	rec, ok := trk.records[prc]
	if !ok || at.Sub(rec.triedAt[daemon]) < reportInterval/2 {
		return false
	}
	rec.triedAt[daemon] = at
	return true
}

// addProgress records that a daemon of a zone got bytes from a process. It ends the reports of that zone. If there are
// any, the process failed there too and has returned, so that it ends the reports of the other zones as well; otherwise
// these may be about links between zones, and count no more in this zone only. It reports whether that is news to other
// daemons: it affects a report, or is later than what they know. The caller holds the lock.
func (trk *Tracker) addProgress(prc serverregistry.Process, zone string, at time.Time) bool {
	rec, ok := trk.records[prc]
	if !ok {
		return false
	}
	before := rec.progressAt[zone]
	affected, failedHere := at.Sub(before) >= reportInterval/2, false
	for _, obs := range rec.reports {
		affected = affected || (obs.at.Before(at) && !obs.at.Before(before))
		failedHere = failedHere || (obs.at.Before(at) && obs.zone == zone)
	}
	if at.After(before) {
		rec.progressAt[zone] = at
	}
	if !failedHere {
		return affected
	}
	maps.DeleteFunc(rec.reports, func(_ string, obs observation) bool {
		if !obs.at.Before(at) {
			return false
		}
		if at.After(rec.progressAt[obs.zone]) {
			rec.progressAt[obs.zone] = at
		}
		return true
	})
	return true
}

// EndSuspicions ends the suspicions of processes that made progress at this daemon since, and forgets those that are
// outdated or no longer registered. It returns the servers whose suspicion ended by progress; the other daemons are to be
// told if there are any.
func (trk *Tracker) EndSuspicions(now time.Time) []string {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	var ended []string
	viw := trk.deps.Registrations()
	for prc, rec := range trk.records {
		srv, ok := viw.Server(prc.ID)
		if !ok || srv.StartTime != prc.StartTime {
			delete(trk.records, prc)
			continue
		}
		rec.dropOutdated(now)
		if len(rec.reports) == 0 && rec.isOutdated(now) {
			delete(trk.records, prc)
			continue
		}
		if trk.answersReports(srv, rec, now) {
			last := trk.deps.LastProgress(prc.ID)
			trk.addProgress(prc, trk.self.AvailabilityZone, last)
			rec.progressSentAt = now
			rec.contradicted = false
			trk.outbox.add(trk.ownReport(prc, Progress, now.Sub(last)), now)
			ended = append(ended, prc.ID)
		}
	}
	return ended
}

// answersReports reports whether the other daemons are to be told that a server made progress at this daemon: since all
// reports on it that count in this zone, or after reports that are outdated here. The caller holds the lock.
func (trk *Tracker) answersReports(srv *serverregistry.Server, rec *record, now time.Time) bool {
	last := trk.deps.LastProgress(srv.ID)
	if !rec.isBefore(last) || !trk.deps.ReachesDirectly(srv.Address) {
		return false
	}
	known := rec.progressAt[trk.self.AvailabilityZone]
	for _, obs := range rec.reports {
		if !obs.at.Before(known) {
			return true
		}
	}
	return rec.contradicted && now.Sub(rec.progressSentAt) >= reportInterval && now.Sub(last) < reportInterval
}

// isOutdated reports whether nothing in the record is needed to judge reports that may still arrive.
func (rec *record) isOutdated(now time.Time) bool {
	for _, at := range rec.progressAt {
		if now.Sub(at) < reportLifetime {
			return false
		}
	}
	return true
}

// isBefore reports whether all reports are earlier than a time.
func (rec *record) isBefore(at time.Time) bool {
	for _, obs := range rec.reports {
		if !obs.at.Before(at) {
			return false
		}
	}
	return true
}

// Suspected returns the number of processes on which there are reports.
func (trk *Tracker) Suspected() int {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	num := 0
	for _, rec := range trk.records {
		if len(rec.reports) > 0 {
			num++
		}
	}
	return num
}

// Unsent returns at most maxReports reports that were recorded after the one numbered sent, and the number of the last of
// them.
func (trk *Tracker) Unsent(sent uint64, now time.Time) ([]Report, uint64) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	return trk.outbox.after(sent, now)
}

// BeginTrial records that this daemon tries a suspected server, so that no other one does. It returns false if another
// trial began meanwhile.
func (trk *Tracker) BeginTrial(srv *serverregistry.Server, now time.Time) bool {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	rec, ok := trk.records[srv.Process()]
	if !ok {
		return true
	}
	if !trk.mayTry(srv.Process(), rec, trk.deps.Daemons, now) {
		return false
	}
	rec.triedAt[trk.self.Name] = now
	trk.outbox.add(trk.ownReport(srv.Process(), Trial, 0), now)
	return true
}

// Assess returns how this daemon uses each of the servers that may take a request, nil if all are trusted. A request that
// may not run twice is not used to try a server that accepted requests and did not answer them.
func (trk *Tracker) Assess(srvs []*serverregistry.Server, repeatable bool, now time.Time) []Verdict {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	if len(trk.records) == 0 {
		return nil
	}
	verdicts := make([]Verdict, len(srvs)) // Trusted
	var single []singleReport
	inZone := map[string]int{}
	daemons := sync.OnceValue(trk.deps.Daemons)
	for idx, srv := range srvs {
		inZone[srv.Zone]++
		rec, ok := trk.records[srv.Process()]
		if !ok {
			continue
		}
		sum := trk.summarize(srv, rec, now)
		if sum.reporters == 0 {
			continue
		}
		verdicts[idx] = trk.judge(srv, rec, sum, repeatable, daemons, now)
		if sum.reporters == 1 && sum.reporter != trk.self.Name {
			single = append(single, singleReport{
				index:    idx,
				server:   srv,
				reporter: sum.reporter,
				since:    rec.since,
			})
		}
	}
	trustBeyondShare(verdicts, single, inZone)
	return verdicts
}

// singleReport is a server that only one daemon suspects.
type singleReport struct {
	index    int
	server   *serverregistry.Server
	reporter string
	since    time.Time
}

// trustBeyondShare trusts the servers that a single daemon suspects beyond its share of the servers of a zone: a daemon
// that is cut off itself sees all servers fail.
func trustBeyondShare(verdicts []Verdict, single []singleReport, inZone map[string]int) {
	slices.SortFunc(single, func(one, two singleReport) int {
		return cmp.Or(one.since.Compare(two.since), cmp.Compare(one.server.ID, two.server.ID))
	})
	type scope struct {
		reporter string
		zone     string
	}
	excluded := map[scope]int{}
	for _, sgl := range single {
		scp := scope{
			reporter: sgl.reporter,
			zone:     sgl.server.Zone,
		}
		excluded[scp]++
		if excluded[scp] > inZone[scp.zone]/avoidableShare {
			verdicts[sgl.index] = Trusted
		}
	}
}

// summary is what the reports that count at this daemon say about one process.
type summary struct {
	reporters int
	// reporter is the name of one of them.
	reporter string
	// inOwnZone is set if some of them are in this daemon's zone, and zones is the number of their zones.
	inOwnZone bool
	zones     int
	// refuses is set if no reporter could connect, so that a request that is sent there does not run.
	refuses bool
}

// summarize sums up the reports that count at this daemon. The caller holds the lock.
func (trk *Tracker) summarize(srv *serverregistry.Server, rec *record, now time.Time) summary {
	sum := summary{
		refuses: true,
	}
	last := trk.deps.LastProgress(srv.ID)
	direct := trk.deps.ReachesDirectly(srv.Address)
	var zones []string
	for name, obs := range rec.reports {
		own := obs.zone == trk.self.AvailabilityZone
		works := last.After(obs.at) || rec.progressAt[trk.self.AvailabilityZone].After(obs.at)
		if now.Sub(obs.at) >= reportLifetime || works || (own && !direct) {
			continue
		}
		sum.reporters++
		sum.reporter = name
		sum.refuses = sum.refuses && obs.kind == Unreachable
		sum.inOwnZone = sum.inOwnZone || own
		if !slices.Contains(zones, obs.zone) {
			zones = append(zones, obs.zone)
		}
	}
	sum.zones = len(zones)
	return sum
}

// judge returns how this daemon uses a suspected server. The caller holds the lock.
func (trk *Tracker) judge(
	srv *serverregistry.Server,
	rec *record,
	sum summary,
	repeatable bool,
	daemons func() []Daemon,
	now time.Time,
) Verdict {
	if !sum.inOwnZone && sum.zones < 2 {
		return RankedLast
	}
	if (repeatable || sum.refuses) && trk.mayTry(srv.Process(), rec, daemons, now) {
		return DueForTrial
	}
	return Avoided
}
