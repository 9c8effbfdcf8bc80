package hub

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// MaxFullMeshDaemons is the number of daemons up to which each sends to all others.
	MaxFullMeshDaemons = 12
	// hubsPerZone is the number of hubs of a zone. It is 2 so that one may fail.
	hubsPerZone = 2
	// lostTimeout is the time without a response after which a daemon that messages are sent to counts as lost. It is
	// several gossip intervals on the largest site.
	lostTimeout = 1200 * time.Millisecond
	// lostRetryInterval is the time between two messages to a daemon that counts as lost.
	lostRetryInterval = 2 * time.Second
	// memberTimeout is the time after the last message of a daemon of the zone for which messages are sent to it as a
	// Member.
	memberTimeout = 1500 * time.Millisecond
)

// Daemon is a registered daemon.
type Daemon struct {
	Name             string
	AvailabilityZone string
	// Address is the IP:port of its peer listener.
	Address string
}

// Relation is the role of a recipient relative to the sending daemon. It decides which state is sent.
type Relation int

// Relations of a recipient.
const (
	// FullMesh is a daemon of a small site; the daemons send each other only their own state.
	FullMesh Relation = iota
	// Member is a daemon of the sender's zone; it gets the state of the whole site.
	Member
	// OwnHub is a hub of the sender's zone; it gets only the sender's own state. A sender that is a hub itself sends to the
	// other hub as to a Member while it receives messages from it.
	OwnHub
	// RemoteHub is a hub of another zone; it gets the state of the sender's zone.
	RemoteHub
)

// Recipient is a daemon to send to.
type Recipient struct {
	Daemon
	Relation Relation
}

// Plan lists the recipients of a daemon's next messages, and the daemon's role.
type Plan struct {
	Recipients []Recipient
	// IsHub says that the daemon is a hub of its zone, or that the site is so small that it has no hubs.
	IsHub bool
	// Rank is the position of the daemon, from 0, among the hubs of the site, or on a small site among the daemons that
	// are not lost; -1 if it has none.
	Rank int
	// Hubs are the names of the hubs of the daemon's zone.
	Hubs []string
}

// Selector chooses the hubs and the recipients for one daemon. It is safe for concurrent use.
type Selector struct {
	self string
	zone string
	clk  clockwork.Clock

	mu sync.Mutex
	// peers holds when messages were exchanged with each other daemon.
	peers map[string]*peerTimes
}

// peerTimes holds when messages were exchanged with one other daemon.
type peerTimes struct {
	// firstSent is when the first message was planned for the other daemon, and lastSent when the latest one was.
	firstSent time.Time
	lastSent  time.Time
	// lastReceived is when the other daemon's latest message arrived.
	lastReceived time.Time
}

// New returns the selector of the daemon named self, which is in the availability zone named zone.
func New(self, zone string, clk clockwork.Clock) *Selector {
	return &Selector{
		self:  self,
		zone:  zone,
		clk:   clk,
		peers: map[string]*peerTimes{},
	}
}

// RecordReceived records that a message of another daemon arrived.
func (sel *Selector) RecordReceived(daemon string) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	sel.timesOf(daemon).lastReceived = sel.clk.Now()
}

func (sel *Selector) timesOf(daemon string) *peerTimes {
	tms, ok := sel.peers[daemon]
	if !ok {
		tms = &peerTimes{}
		sel.peers[daemon] = tms
	}
	return tms
}

// lost reports whether messages have been sent to a daemon for longer than lostTimeout without a response.
func (sel *Selector) lost(daemon string, now time.Time) bool {
	tms, ok := sel.peers[daemon]
	if !ok || tms.firstSent.IsZero() {
		return false
	}
	since := tms.firstSent
	if tms.lastReceived.After(since) {
		since = tms.lastReceived
	}
	return now.Sub(since) > lostTimeout
}

// Plan returns the current plan. Each recipient counts as sent to.
func (sel *Selector) Plan(daemons []Daemon) Plan {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	now := sel.clk.Now()
	daemons = slices.SortedFunc(slices.Values(daemons), func(one, two Daemon) int { return strings.Compare(one.Name, two.Name) })
	sel.dropUnregistered(daemons)
	var pln Plan
	if len(daemons) <= MaxFullMeshDaemons {
		pln = sel.planFullMesh(daemons, now)
	} else {
		pln = sel.planWithHubs(daemons, now)
	}
	for _, rcp := range pln.Recipients {
		sel.recordSent(rcp.Name, now)
	}
	return pln
}

// dropUnregistered drops the state of daemons that are no longer registered.
func (sel *Selector) dropUnregistered(daemons []Daemon) {
	names := make(map[string]bool, len(daemons))
	for _, dmn := range daemons {
		names[dmn.Name] = true
	}
	for name := range sel.peers {
		if !names[name] {
			delete(sel.peers, name)
		}
	}
}

func (sel *Selector) recordSent(daemon string, now time.Time) {
	tms := sel.timesOf(daemon)
	if tms.firstSent.IsZero() {
		tms.firstSent = now
	}
	tms.lastSent = now
}

// planFullMesh returns the plan for a small site without hubs.
func (sel *Selector) planFullMesh(daemons []Daemon, now time.Time) Plan {
	pln := Plan{
		IsHub: true,
		Rank:  -1,
	}
	rank := 0
	for _, dmn := range daemons {
		if dmn.Name == sel.self {
			pln.Rank = rank
			continue
		}
		if !sel.lost(dmn.Name, now) {
			rank++
		}
		pln.Recipients = append(pln.Recipients, Recipient{
			Daemon:   dmn,
			Relation: FullMesh,
		})
	}
	return pln
}

// planWithHubs returns the plan for a site with hubs.
func (sel *Selector) planWithHubs(daemons []Daemon, now time.Time) Plan {
	pln := Plan{
		Rank: -1,
	}
	zones := map[string][]Daemon{}
	for _, dmn := range daemons {
		zones[dmn.AvailabilityZone] = append(zones[dmn.AvailabilityZone], dmn)
	}
	hubs := map[string][]Daemon{}
	for zone, dmns := range zones {
		hubs[zone] = sel.chooseHubs(dmns, now)
	}
	for _, dmn := range hubs[sel.zone] {
		pln.Hubs = append(pln.Hubs, dmn.Name)
	}
	pln.IsHub = slices.Contains(pln.Hubs, sel.self)
	added := map[string]bool{sel.self: true}
	add := func(dmn Daemon, rel Relation) {
		if !added[dmn.Name] {
			added[dmn.Name] = true
			pln.Recipients = append(pln.Recipients, Recipient{
				Daemon:   dmn,
				Relation: rel,
			})
		}
	}
	for _, dmn := range zones[sel.zone] {
		if tms, ok := sel.peers[dmn.Name]; ok && !tms.lastReceived.IsZero() && now.Sub(tms.lastReceived) < memberTimeout {
			// A daemon that is not a hub may still receive messages of a daemon that considers it one, and answers them.
			if pln.IsHub || !slices.Contains(pln.Hubs, dmn.Name) {
				add(dmn, Member)
			}
		}
	}
	for zone, dmns := range hubs {
		rel := OwnHub
		if zone != sel.zone {
			if !pln.IsHub {
				continue
			}
			rel = RemoteHub
		}
		for _, dmn := range dmns {
			add(dmn, rel)
		}
		for _, dmn := range sel.lostToRetry(zones[zone], now) {
			add(dmn, rel)
		}
	}
	if pln.IsHub {
		pln.Rank = sel.rank(hubs)
	}
	return pln
}

// chooseHubs returns the hubs of a zone: the first daemons by name that are not lost.
func (sel *Selector) chooseHubs(dmns []Daemon, now time.Time) []Daemon {
	var hubs []Daemon
	for _, dmn := range dmns {
		if len(hubs) < hubsPerZone && (dmn.Name == sel.self || !sel.lost(dmn.Name, now)) {
			hubs = append(hubs, dmn)
		}
	}
	return hubs
}

// lostToRetry returns the lost daemons of a zone that are due for another message and would be hubs if they responded.
func (sel *Selector) lostToRetry(dmns []Daemon, now time.Time) []Daemon {
	var due []Daemon
	alive := 0
	for _, dmn := range dmns {
		switch {
		case alive >= hubsPerZone:
			return due
		case dmn.Name == sel.self || !sel.lost(dmn.Name, now):
			alive++
		case now.Sub(sel.peers[dmn.Name].lastSent) >= lostRetryInterval:
			due = append(due, dmn)
		}
	}
	return due
}

// rank returns the position of this daemon among the hubs of the site. The first hubs of all zones come before the
// second ones; within each the order is by the name of the zone.
func (sel *Selector) rank(hubs map[string][]Daemon) int {
	rank := 0
	position := slices.IndexFunc(hubs[sel.zone], func(dmn Daemon) bool { return dmn.Name == sel.self })
	for zone, dmns := range hubs {
		for idx := range dmns {
			if idx < position || (idx == position && zone < sel.zone) {
				rank++
			}
		}
	}
	return rank
}
