package hub

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// SmallSite is the number of daemons up to which each tells all others.
	SmallSite = 12
	// perZone is the number of hubs of a zone: one may fail.
	perZone = 2
	// silentAfter is the time without an answer after which a daemon that is told something counts as lost: some
	// intervals of words on the largest site.
	silentAfter = 1200 * time.Millisecond
	// retryAfter is the time between two words for a daemon that counts as lost.
	retryAfter = 2 * time.Second
	// memberFor is the time for which a daemon that told this one something is answered.
	memberFor = 1500 * time.Millisecond
)

// Daemon is a registered daemon.
type Daemon struct {
	Name             string
	AvailabilityZone string
	// Address is IP:port of its peer listener.
	Address string
}

// Relation says what one daemon is to another.
type Relation int

// Relations to the daemon that is told something.
const (
	// Equal daemons of a small site tell each other their own facts only.
	Equal Relation = iota
	// Member is a daemon of the own zone that gets what the whole site does.
	Member
	// Superior is a hub of the own zone, told by a daemon that is none.
	Superior
	// Abroad is a hub of another zone.
	Abroad
)

// Recipient is a daemon to tell something.
type Recipient struct {
	Daemon
	Relation Relation
}

// Plan says whom a daemon tells something now.
type Plan struct {
	Recipients []Recipient
	// Hub says that the daemon is a hub of its zone, or that the site has none.
	Hub bool
	// Rank is the place of the daemon among the hubs of the site, or on a small site among all daemons, from 0; -1 if it
	// has none.
	Rank int
	// Hubs are the hubs of the own zone.
	Hubs []string
}

// Hubs is one daemon's choice of hubs.
type Hubs struct {
	self string
	zone string
	clk  clockwork.Clock

	mu sync.Mutex
	// known holds what passed between this daemon and others.
	known map[string]*contact
}

// contact is what passed between this daemon and another one.
type contact struct {
	// told is when this daemon first told it something since it last counted as lost, last when it did so last.
	told time.Time
	last time.Time
	// heard is when the other one last told this daemon something.
	heard time.Time
}

// New returns the choice of the daemon named self.
func New(self, zone string, clk clockwork.Clock) *Hubs {
	return &Hubs{
		self:  self,
		zone:  zone,
		clk:   clk,
		known: map[string]*contact{},
	}
}

// Hear notes a word of another daemon.
func (hbs *Hubs) Hear(daemon string) {
	hbs.mu.Lock()
	defer hbs.mu.Unlock()
	hbs.contact(daemon).heard = hbs.clk.Now()
}

func (hbs *Hubs) contact(daemon string) *contact {
	con, ok := hbs.known[daemon]
	if !ok {
		con = &contact{}
		hbs.known[daemon] = con
	}
	return con
}

// lost reports whether a daemon has been told something for some time and does not answer.
func (hbs *Hubs) lost(daemon string, now time.Time) bool {
	con, ok := hbs.known[daemon]
	if !ok || con.told.IsZero() {
		return false
	}
	since := con.told
	if con.heard.After(since) {
		since = con.heard
	}
	return now.Sub(since) > silentAfter
}

// Plan returns whom to tell something now; each recipient counts as told.
func (hbs *Hubs) Plan(daemons []Daemon) Plan {
	hbs.mu.Lock()
	defer hbs.mu.Unlock()
	now := hbs.clk.Now()
	daemons = slices.SortedFunc(slices.Values(daemons), func(one, two Daemon) int { return strings.Compare(one.Name, two.Name) })
	hbs.forget(daemons)
	var pln Plan
	if len(daemons) <= SmallSite {
		pln = hbs.equal(daemons, now)
	} else {
		pln = hbs.layered(daemons, now)
	}
	for _, rcp := range pln.Recipients {
		hbs.tell(rcp.Name, now)
	}
	return pln
}

// forget drops the daemons that are not registered any more.
func (hbs *Hubs) forget(daemons []Daemon) {
	names := make(map[string]bool, len(daemons))
	for _, dmn := range daemons {
		names[dmn.Name] = true
	}
	for name := range hbs.known {
		if !names[name] {
			delete(hbs.known, name)
		}
	}
}

func (hbs *Hubs) tell(daemon string, now time.Time) {
	con := hbs.contact(daemon)
	if con.told.IsZero() {
		con.told = now
	}
	con.last = now
}

// equal plans a small site.
func (hbs *Hubs) equal(daemons []Daemon, now time.Time) Plan {
	pln := Plan{
		Hub:  true,
		Rank: -1,
	}
	rank := 0
	for _, dmn := range daemons {
		if dmn.Name == hbs.self {
			pln.Rank = rank
			continue
		}
		if !hbs.lost(dmn.Name, now) {
			rank++
		}
		pln.Recipients = append(pln.Recipients, Recipient{
			Daemon:   dmn,
			Relation: Equal,
		})
	}
	return pln
}

// layered plans a site with hubs.
func (hbs *Hubs) layered(daemons []Daemon, now time.Time) Plan {
	pln := Plan{
		Rank: -1,
	}
	zones := map[string][]Daemon{}
	for _, dmn := range daemons {
		zones[dmn.AvailabilityZone] = append(zones[dmn.AvailabilityZone], dmn)
	}
	hubs := map[string][]Daemon{}
	for zone, dmns := range zones {
		hubs[zone] = hbs.choose(dmns, now)
	}
	for _, dmn := range hubs[hbs.zone] {
		pln.Hubs = append(pln.Hubs, dmn.Name)
	}
	pln.Hub = slices.Contains(pln.Hubs, hbs.self)
	told := map[string]bool{hbs.self: true}
	add := func(dmn Daemon, rel Relation) {
		if !told[dmn.Name] {
			told[dmn.Name] = true
			pln.Recipients = append(pln.Recipients, Recipient{
				Daemon:   dmn,
				Relation: rel,
			})
		}
	}
	for _, dmn := range zones[hbs.zone] {
		if con, ok := hbs.known[dmn.Name]; ok && !con.heard.IsZero() && now.Sub(con.heard) < memberFor {
			// A daemon that is none may be told something by one that takes it for a hub.
			if pln.Hub || !slices.Contains(pln.Hubs, dmn.Name) {
				add(dmn, Member)
			}
		}
	}
	for zone, dmns := range hubs {
		rel := Superior
		if zone != hbs.zone {
			if !pln.Hub {
				continue
			}
			rel = Abroad
		}
		for _, dmn := range dmns {
			add(dmn, rel)
		}
		for _, dmn := range hbs.retries(zones[zone], now) {
			add(dmn, rel)
		}
	}
	if pln.Hub {
		pln.Rank = hbs.rank(hubs)
	}
	return pln
}

// choose returns the hubs of a zone.
func (hbs *Hubs) choose(dmns []Daemon, now time.Time) []Daemon {
	var hubs []Daemon
	for _, dmn := range dmns {
		if len(hubs) < perZone && (dmn.Name == hbs.self || !hbs.lost(dmn.Name, now)) {
			hubs = append(hubs, dmn)
		}
	}
	return hubs
}

// retries returns the daemons before the hubs of a zone that count as lost and are due for another word.
func (hbs *Hubs) retries(dmns []Daemon, now time.Time) []Daemon {
	var due []Daemon
	sound := 0
	for _, dmn := range dmns {
		switch {
		case sound >= perZone:
			return due
		case dmn.Name == hbs.self || !hbs.lost(dmn.Name, now):
			sound++
		case now.Sub(hbs.known[dmn.Name].last) >= retryAfter:
			due = append(due, dmn)
		}
	}
	return due
}

// rank returns the place of this daemon among the hubs: the first of all zones come before the second ones.
func (hbs *Hubs) rank(hubs map[string][]Daemon) int {
	rank := 0
	place := slices.IndexFunc(hubs[hbs.zone], func(dmn Daemon) bool { return dmn.Name == hbs.self })
	for zone, dmns := range hubs {
		for idx := range dmns {
			if idx < place || (idx == place && zone < hbs.zone) {
				rank++
			}
		}
	}
	return rank
}
