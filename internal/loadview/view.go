package loadview

import (
	"sync"
	"time"
)

const (
	// interval is the time between two announcements of a site of up to usualSite daemons: some of them fall into the
	// time to a first token. On a larger site it grows with their number, so that what a hub sends does not.
	interval  = 100 * time.Millisecond
	usualSite = 150
	// validFor is the time for which a daemon's word counts, longer than any interval.
	validFor = time.Second
	// mostInterval bounds the interval below validFor.
	mostInterval = 400 * time.Millisecond
	// keptOwn is the number of own announcements that are remembered, so that what a hub repeats of them can be left
	// out: those of the time for which a word counts.
	keptOwn = 16
)

// Interval returns the time between two announcements of a site with so many daemons.
func Interval(daemons int) time.Duration {
	return min(max(interval, interval*time.Duration(daemons)/usualSite), mostInterval)
}

// Load is work in progress at a backend server.
type Load struct {
	_ struct{} `cbor:",toarray"`

	Server string
	// Requests is the number of requests in progress, Unread that of the prompt tokens whose answer has not begun.
	Requests int
	Unread   int
	// Quiet is the time since the last byte of any answer in progress, Waiting that since an answer was due: since the last
	// byte or, if later, since the first of the requests was sent. Several daemons know of the last byte together.
	Quiet   time.Duration
	Waiting time.Duration
}

// Add returns the work of two daemons, or of two parts of a site, at one backend server.
func (lod Load) Add(oth Load) Load {
	if oth.Requests <= 0 {
		return lod
	}
	if lod.Requests <= 0 {
		return oth
	}
	lod.Requests += oth.Requests
	lod.Unread += oth.Unread
	lod.Quiet = min(lod.Quiet, oth.Quiet)
	lod.Waiting = max(lod.Waiting, oth.Waiting)
	return lod
}

// Announcement is a daemon's work in progress at all backend servers.
type Announcement struct {
	_ struct{} `cbor:",toarray"`

	// Sequence grows with each announcement of a daemon's process, named by Instance.
	Instance uint64
	Sequence uint64
	Loads    []Load
}

// Sum is the work in progress of several daemons.
type Sum struct {
	_ struct{} `cbor:",toarray"`

	// Daemons is the number of daemons whose work it is.
	Daemons int
	Loads   []Load
}

// View holds what the other daemons announced.
type View struct {
	mu sync.Mutex
	// daemons holds the own words of daemons, zones the sums of other zones and sites those of the whole site, each by
	// the daemon that said so.
	daemons map[string]*word
	zones   map[string]map[string]*sum
	sites   map[string]*sum
	// own holds the loads of this daemon's latest announcements, by sequence.
	own map[uint64]map[string]Load
}

type word struct {
	instance uint64
	sequence uint64
	at       time.Time
	loads    map[string]Load
}

type sum struct {
	at      time.Time
	daemons int
	loads   map[string]Load
	// included is the sequence of this daemon's own announcement that is part of the sum.
	included uint64
}

// New returns an empty view.
func New() *View {
	return &View{
		daemons: map[string]*word{},
		zones:   map[string]map[string]*sum{},
		sites:   map[string]*sum{},
		own:     map[uint64]map[string]Load{},
	}
}

func byServer(loads []Load) map[string]Load {
	all := make(map[string]Load, len(loads))
	for _, lod := range loads {
		all[lod.Server] = lod
	}
	return all
}

// Announced remembers an announcement of this daemon.
func (viw *View) Announced(ann Announcement) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	viw.own[ann.Sequence] = byServer(ann.Loads)
	delete(viw.own, ann.Sequence-keptOwn)
}

// Take keeps an announcement unless a later one of the same process is known.
func (viw *View) Take(daemon string, ann Announcement, now time.Time) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	old, ok := viw.daemons[daemon]
	if ok && old.instance == ann.Instance && ann.Sequence <= old.sequence {
		return
	}
	viw.daemons[daemon] = &word{
		instance: ann.Instance,
		sequence: ann.Sequence,
		at:       now,
		loads:    byServer(ann.Loads),
	}
}

// TakeZone keeps what a hub of another zone says of all daemons of its zone.
func (viw *View) TakeZone(hub, zone string, all Sum, now time.Time) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	if viw.zones[zone] == nil {
		viw.zones[zone] = map[string]*sum{}
	}
	viw.zones[zone][hub] = newSum(all, now)
}

// TakeSite keeps what a hub says of the whole site; included is the sequence of this daemon's own announcement in it.
func (viw *View) TakeSite(hub string, all Sum, included uint64, now time.Time) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	next := newSum(all, now)
	next.included = included
	viw.sites[hub] = next
}

func newSum(all Sum, now time.Time) *sum {
	return &sum{
		at:      now,
		daemons: all.Daemons,
		loads:   byServer(all.Loads),
	}
}

// Sequence returns the sequence of the announcement that is known of a daemon, 0 if there is none.
func (viw *View) Sequence(daemon string) uint64 {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	if wrd, ok := viw.daemons[daemon]; ok {
		return wrd.sequence
	}
	return 0
}

// Zone returns the work of the own zone's daemons: of this one and of those that told it their own.
func (viw *View) Zone(own []Load, now time.Time) Sum {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	viw.expire(now)
	return viw.add(own, false)
}

// Site returns the work of all daemons that this one knows of, its own included.
func (viw *View) Site(own []Load, now time.Time) Sum {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	viw.expire(now)
	return viw.add(own, true)
}

// add sums up the own work, that of daemons, and with others set that of other zones; the lock is held.
func (viw *View) add(own []Load, others bool) Sum {
	all := byServer(own)
	merge := func(loads map[string]Load) {
		for id, lod := range loads {
			all[id] = all[id].Add(lod)
		}
	}
	total := Sum{
		Daemons: 1 + len(viw.daemons),
	}
	for _, wrd := range viw.daemons {
		merge(wrd.loads)
	}
	if others {
		for zone := range viw.zones {
			if best := widest(viw.zones[zone]); best != nil {
				merge(best.loads)
				total.Daemons += best.daemons
			}
		}
	}
	total.Loads = make([]Load, 0, len(all))
	for _, lod := range all {
		total.Loads = append(total.Loads, lod)
	}
	return total
}

// widest returns the sum of most daemons, the latest of several, nil if there is none.
func widest(sums map[string]*sum) *sum {
	var best *sum
	for _, one := range sums {
		if best == nil || one.daemons > best.daemons || (one.daemons == best.daemons && one.at.After(best.at)) {
			best = one
		}
	}
	return best
}

// expire forgets what is too old; the lock is held.
func (viw *View) expire(now time.Time) {
	for name, wrd := range viw.daemons {
		if now.Sub(wrd.at) > validFor {
			delete(viw.daemons, name)
		}
	}
	for zone, sums := range viw.zones {
		expireSums(sums, now)
		if len(sums) == 0 {
			delete(viw.zones, zone)
		}
	}
	expireSums(viw.sites, now)
}

func expireSums(sums map[string]*sum, now time.Time) {
	for hub, one := range sums {
		if now.Sub(one.at) > validFor {
			delete(sums, hub)
		}
	}
}

// Age returns the mean age of what the widest view says of the other daemons, 0 if there are none.
func (viw *View) Age(now time.Time) time.Duration {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	viw.expire(now)
	if site := viw.site(); site != nil {
		// A hub adds up what its zone and other hubs told it within the last intervals.
		return now.Sub(site.at) + Interval(site.daemons)
	}
	sum, num := time.Duration(0), 0
	for _, wrd := range viw.daemons {
		sum += now.Sub(wrd.at)
		num++
	}
	for zone := range viw.zones {
		best := widest(viw.zones[zone])
		sum += time.Duration(best.daemons) * (now.Sub(best.at) + Interval(best.daemons))
		num += best.daemons
	}
	return sum / time.Duration(max(1, num))
}

// site returns a hub's sum of the whole site if it covers more daemons than what this daemon heard itself; the lock is
// held and nothing has expired.
func (viw *View) site() *sum {
	known := 1 + len(viw.daemons)
	for zone := range viw.zones {
		known += widest(viw.zones[zone]).daemons
	}
	if site := widest(viw.sites); site != nil && site.daemons > known {
		return site
	}
	return nil
}

// Others returns the work of all other daemons at a backend server, by the widest view that this daemon has.
func (viw *View) Others(server string, now time.Time) Load {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	viw.expire(now)
	var all Load
	if site := viw.site(); site != nil {
		own := viw.own[site.included][server]
		all = site.loads[server]
		all.Server = server
		all.Requests = max(0, all.Requests-own.Requests)
		all.Unread = max(0, all.Unread-own.Unread)
		return all
	}
	for _, wrd := range viw.daemons {
		all = all.Add(wrd.loads[server])
	}
	for zone := range viw.zones {
		all = all.Add(widest(viw.zones[zone]).loads[server])
	}
	all.Server = server
	return all
}
