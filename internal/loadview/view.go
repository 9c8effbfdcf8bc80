package loadview

import (
	"sync"
	"time"

	"github.com/cumintally/cumintally/internal/demand"
)

const (
	// minInterval is the time between two announcements of a daemon on a site of up to daemonsAtMinInterval daemons. It
	// is short enough for several announcements within the time to a first token. On a larger site it grows with the
	// number of daemons, so that the rate at which a hub sends does not.
	minInterval          = 100 * time.Millisecond
	daemonsAtMinInterval = 150
	// announcementTTL is the time after which an announcement or a sum expires, longer than any interval.
	announcementTTL = time.Second
	// maxInterval bounds the interval, well below announcementTTL.
	maxInterval = 400 * time.Millisecond
	// keptAnnouncements is the number of this daemon's own announcements that are kept, so that their share of a hub's
	// sum can be subtracted: more than a daemon makes until one expires.
	keptAnnouncements = 16
)

// Interval returns the time between two announcements of a daemon on a site with the given number of daemons.
func Interval(daemons int) time.Duration {
	return min(max(minInterval, minInterval*time.Duration(daemons)/daemonsAtMinInterval), maxInterval)
}

// Load is the load in flight at a backend server.
type Load struct {
	_ struct{} `cbor:",toarray"`

	Server string
	// Requests is the number of requests in flight, and UnreadTokens the number of prompt tokens of those whose response
	// has not begun.
	Requests     int
	UnreadTokens int
	// SinceLastByte is the time since the last byte of any response in progress. ResponseDueFor is the time that a
	// response has been due: since the last byte or, if later, since the first of the requests was sent. The last byte may
	// have reached any daemon, so that SinceLastByte is the minimum over the daemons and ResponseDueFor the maximum.
	SinceLastByte  time.Duration
	ResponseDueFor time.Duration
}

// Add returns the sum of the loads of two daemons, or of two parts of a site, at one backend server.
func (lod Load) Add(other Load) Load {
	if other.Requests <= 0 {
		return lod
	}
	if lod.Requests <= 0 {
		return other
	}
	lod.Requests += other.Requests
	lod.UnreadTokens += other.UnreadTokens
	lod.SinceLastByte = min(lod.SinceLastByte, other.SinceLastByte)
	lod.ResponseDueFor = max(lod.ResponseDueFor, other.ResponseDueFor)
	return lod
}

// Announcement is the load that a daemon has in flight at all backend servers.
type Announcement struct {
	_ struct{} `cbor:",toarray"`

	// Sequence increases with each announcement of one process of a daemon, which Instance identifies.
	Instance uint64
	Sequence uint64
	Loads    []Load
	// Demand is the work that callers ask of each model at the daemon.
	Demand []demand.Rate
}

// Sum is the load that several daemons have in flight, and the work that their callers ask for.
type Sum struct {
	_ struct{} `cbor:",toarray"`

	// Daemons is the number of daemons that the sum covers.
	Daemons int
	Loads   []Load
	Demand  []demand.Rate
}

// View holds the loads that the other daemons announced.
type View struct {
	mu sync.Mutex
	// daemons holds the announcements of single daemons. zoneSums holds the sums of other availability zones by zone
	// and by the hub that sent them, and siteSums those of the whole site by hub.
	daemons  map[string]*daemonLoads
	zoneSums map[string]map[string]*loadSum
	siteSums map[string]*loadSum
	// ownAnnouncements holds the loads of this daemon's latest announcements, by sequence.
	ownAnnouncements map[uint64]map[string]Load
}

// daemonLoads is the latest announcement of one daemon.
type daemonLoads struct {
	instance   uint64
	sequence   uint64
	receivedAt time.Time
	loads      map[string]Load
	demand     []demand.Rate
}

// loadSum is a sum received from a hub.
type loadSum struct {
	receivedAt time.Time
	daemons    int
	loads      map[string]Load
	demand     []demand.Rate
	// included is the sequence of this daemon's own announcement that is part of the sum.
	included uint64
}

// New returns an empty view.
func New() *View {
	return &View{
		daemons:          map[string]*daemonLoads{},
		zoneSums:         map[string]map[string]*loadSum{},
		siteSums:         map[string]*loadSum{},
		ownAnnouncements: map[uint64]map[string]Load{},
	}
}

// byServer returns the loads by the ID of their backend server.
func byServer(loads []Load) map[string]Load {
	all := make(map[string]Load, len(loads))
	for _, lod := range loads {
		all[lod.Server] = lod
	}
	return all
}

// RecordOwn records an announcement that this daemon sends.
func (viw *View) RecordOwn(announcement Announcement) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	viw.ownAnnouncements[announcement.Sequence] = byServer(announcement.Loads)
	delete(viw.ownAnnouncements, announcement.Sequence-keptAnnouncements)
}

// ReceiveAnnouncement stores an announcement of another daemon unless a later one of the same process is known.
func (viw *View) ReceiveAnnouncement(daemon string, announcement Announcement, now time.Time) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	old, ok := viw.daemons[daemon]
	if ok && old.instance == announcement.Instance && announcement.Sequence <= old.sequence {
		return
	}
	viw.daemons[daemon] = &daemonLoads{
		instance:   announcement.Instance,
		sequence:   announcement.Sequence,
		receivedAt: now,
		loads:      byServer(announcement.Loads),
		demand:     announcement.Demand,
	}
}

// ReceiveZoneSum stores the sum that a hub of another availability zone sends for all daemons of its zone.
func (viw *View) ReceiveZoneSum(hub, zone string, sum Sum, now time.Time) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	if viw.zoneSums[zone] == nil {
		viw.zoneSums[zone] = map[string]*loadSum{}
	}
	viw.zoneSums[zone][hub] = newLoadSum(sum, now)
}

// ReceiveSiteSum stores the sum that a hub sends for the whole site. The parameter included is the sequence of this
// daemon's own announcement that the sum contains.
func (viw *View) ReceiveSiteSum(hub string, sum Sum, included uint64, now time.Time) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	next := newLoadSum(sum, now)
	next.included = included
	viw.siteSums[hub] = next
}

func newLoadSum(sum Sum, now time.Time) *loadSum {
	return &loadSum{
		receivedAt: now,
		daemons:    sum.Daemons,
		loads:      byServer(sum.Loads),
		demand:     sum.Demand,
	}
}

// Sequence returns the sequence of the latest announcement of a daemon, 0 if there is none.
func (viw *View) Sequence(daemon string) uint64 {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	if dml, ok := viw.daemons[daemon]; ok {
		return dml.sequence
	}
	return 0
}

// ZoneSum returns the sum of this daemon's own announcement and those of the other daemons of its availability zone.
func (viw *View) ZoneSum(own Announcement, now time.Time) Sum {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	viw.expire(now)
	return viw.sum(own, false)
}

// SiteSum returns the sum of this daemon's own announcement and those of all daemons that it knows of.
func (viw *View) SiteSum(own Announcement, now time.Time) Sum {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	viw.expire(now)
	return viw.sum(own, true)
}

// sum adds up the own announcement, those received and, if others is set, the sums of other zones. The caller holds the
// lock.
func (viw *View) sum(own Announcement, others bool) Sum {
	all := byServer(own.Loads)
	demands := [][]demand.Rate{own.Demand}
	merge := func(loads map[string]Load) {
		for id, lod := range loads {
			all[id] = all[id].Add(lod)
		}
	}
	total := Sum{
		Daemons: 1 + len(viw.daemons),
	}
	for _, dml := range viw.daemons {
		merge(dml.loads)
		demands = append(demands, dml.demand)
	}
	if others {
		for zone := range viw.zoneSums {
			if best := broadestSum(viw.zoneSums[zone]); best != nil {
				merge(best.loads)
				demands = append(demands, best.demand)
				total.Daemons += best.daemons
			}
		}
	}
	total.Loads = make([]Load, 0, len(all))
	for _, lod := range all {
		total.Loads = append(total.Loads, lod)
	}
	total.Demand = demand.Sum(demands...)
	return total
}

// SiteDemand returns the work that callers ask for at all daemons, given that at this one, from the source that covers
// the most daemons.
func (viw *View) SiteDemand(own []demand.Rate, now time.Time) []demand.Rate {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	viw.expire(now)
	if site := viw.siteSum(); site != nil {
		return site.demand
	}
	announcement := Announcement{
		Demand: own,
	}
	return viw.sum(announcement, true).Demand
}

// broadestSum returns the sum that covers the most daemons, the latest of several such, or nil if there is none.
func broadestSum(sums map[string]*loadSum) *loadSum {
	var best *loadSum
	for _, cur := range sums {
		if best == nil || cur.daemons > best.daemons || (cur.daemons == best.daemons && cur.receivedAt.After(best.receivedAt)) {
			best = cur
		}
	}
	return best
}

// expire removes announcements and sums older than announcementTTL. The caller holds the lock.
func (viw *View) expire(now time.Time) {
	for name, dml := range viw.daemons {
		if now.Sub(dml.receivedAt) > announcementTTL {
			delete(viw.daemons, name)
		}
	}
	for zone, sums := range viw.zoneSums {
		expireSums(sums, now)
		if len(sums) == 0 {
			delete(viw.zoneSums, zone)
		}
	}
	expireSums(viw.siteSums, now)
}

func expireSums(sums map[string]*loadSum, now time.Time) {
	for hub, cur := range sums {
		if now.Sub(cur.receivedAt) > announcementTTL {
			delete(sums, hub)
		}
	}
}

// Staleness returns the mean staleness of the loads of the other daemons that OthersLoad returns, 0 if there are none.
func (viw *View) Staleness(now time.Time) time.Duration {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	viw.expire(now)
	if site := viw.siteSum(); site != nil {
		// A hub sums up what the daemons of its zone and other hubs sent within the last intervals, which adds about
		// one interval on average.
		return now.Sub(site.receivedAt) + Interval(site.daemons)
	}
	sum, num := time.Duration(0), 0
	for _, dml := range viw.daemons {
		sum += now.Sub(dml.receivedAt)
		num++
	}
	for zone := range viw.zoneSums {
		best := broadestSum(viw.zoneSums[zone])
		sum += time.Duration(best.daemons) * (now.Sub(best.receivedAt) + Interval(best.daemons))
		num += best.daemons
	}
	return sum / time.Duration(max(1, num))
}

// LastByte returns when a backend server last sent a byte of a response in progress to another daemon, the zero time if
// no daemon announced a request there. The time errs on the early side by the usual staleness of sums.
func (viw *View) LastByte(server string, now time.Time) time.Time {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	viw.expire(now)
	var last time.Time
	record := func(loads map[string]Load, at time.Time) {
		lod := loads[server]
		if at = at.Add(-lod.SinceLastByte); lod.Requests > 0 && at.After(last) {
			last = at
		}
	}
	for _, dml := range viw.daemons {
		record(dml.loads, dml.receivedAt)
	}
	for _, sums := range viw.zoneSums {
		for _, cur := range sums {
			record(cur.loads, cur.receivedAt.Add(-Interval(cur.daemons)))
		}
	}
	for _, cur := range viw.siteSums {
		// The zone sums of other hubs in it are older by another interval.
		record(cur.loads, cur.receivedAt.Add(-2*Interval(cur.daemons)))
	}
	return last
}

// siteSum returns a hub's sum of the whole site if it covers more daemons than this daemon received loads of, else nil.
// The caller holds the lock and has called expire.
func (viw *View) siteSum() *loadSum {
	known := 1 + len(viw.daemons)
	for zone := range viw.zoneSums {
		known += broadestSum(viw.zoneSums[zone]).daemons
	}
	if site := broadestSum(viw.siteSums); site != nil && site.daemons > known {
		return site
	}
	return nil
}

// OthersLoad returns the load of all other daemons at a backend server, from the sources that cover the most daemons.
func (viw *View) OthersLoad(server string, now time.Time) Load {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	viw.expire(now)
	var all Load
	if site := viw.siteSum(); site != nil {
		own := viw.ownAnnouncements[site.included][server]
		all = site.loads[server]
		all.Server = server
		all.Requests = max(0, all.Requests-own.Requests)
		all.UnreadTokens = max(0, all.UnreadTokens-own.UnreadTokens)
		return all
	}
	for _, dml := range viw.daemons {
		all = all.Add(dml.loads[server])
	}
	for zone := range viw.zoneSums {
		all = all.Add(broadestSum(viw.zoneSums[zone]).loads[server])
	}
	all.Server = server
	return all
}
