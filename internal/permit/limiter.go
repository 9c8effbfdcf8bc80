package permit

import (
	"sync"
	"time"
)

// Config holds the named numbers of the limits.
type Config struct {
	// ValidFor is the time for which a grant is valid unless it is renewed.
	ValidFor time.Duration
	// Settle bounds the time after which all daemons of a zone see that one of them was cut off. Views
	// differ for that long, so a new owner waits for it and for the old owner's grants to expire.
	Settle time.Duration
	// SettlePerDaemon is added to Settle for each daemon known, as the news takes longer in a larger zone.
	SettlePerDaemon time.Duration
	// Margin covers different rates of two monotonic clocks over ValidFor.
	Margin time.Duration
	// ReportLag bounds the age of the load figures within a report.
	ReportLag time.Duration
	// MaxRequest is the longest time of one request.
	MaxRequest time.Duration
	// AdjustInterval is the least time between two changes of a warm group's limit.
	AdjustInterval time.Duration
	// Increase is added to a warm group's limit while first tokens are within the objective.
	Increase int
	// Decrease multiplies a warm group's limit when first tokens are late.
	Decrease float64
	// LateShare is the share of late first tokens above which the limit decreases.
	LateShare float64
	// Spare is the number of unused slots that a holder of a warm group keeps for requests to come.
	Spare int
}

// wait is the time after a change of view until which grants of another owner may still be in use.
func (cfg Config) wait(daemons int) time.Duration {
	return cfg.Settle + time.Duration(daemons)*cfg.SettlePerDaemon + cfg.ValidFor + cfg.Margin
}

// Limiter grants slots at the groups that a daemon owns.
type Limiter struct {
	self string
	cfg  Config

	mu     sync.Mutex
	view   view
	groups map[string]*state
}

// New returns the limiter of the daemon self, which owns no group yet.
func New(self string, cfg Config) *Limiter {
	return &Limiter{
		self:   self,
		cfg:    cfg,
		groups: map[string]*state{},
	}
}

// See takes the daemon's view of its availability zone: the names of the daemons alive, which of them have
// the same view, and the number of daemons known, itself included in each. It is called several times
// within ValidFor.
func (lim *Limiter) See(alive, agreeing []string, known int, now time.Time) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	// While this daemon was paused, another one may have owned its groups.
	paused := now.Sub(lim.view.at) > lim.cfg.ValidFor/2
	if paused {
		clear(lim.groups)
		clear(lim.view.since)
	}
	lim.view.see(lim.self, alive, agreeing, known, lim.cfg.wait(max(known, lim.view.known)), now)
}

// Roll returns the daemons by which the parts of a limit are reckoned while the view is incomplete.
func (lim *Limiter) Roll() []string {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	names := make([]string, 0, len(lim.view.roll))
	for name := range lim.view.roll {
		names = append(names, name)
	}
	return names
}

// Adopt takes another daemon's roll, unless the daemon has one.
func (lim *Limiter) Adopt(roll []string) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if lim.view.roll != nil || len(roll) == 0 {
		return
	}
	lim.view.roll = make(map[string]bool, len(roll))
	for _, name := range roll {
		lim.view.roll[name] = true
	}
}

// Observe takes a report of a group that the daemon owns; the first one starts the ownership.
func (lim *Limiter) Observe(obs Observation, now time.Time) {
	sta := lim.state(obs, now)
	sta.mu.Lock()
	defer sta.mu.Unlock()
	sta.observe(obs, now)
}

// Disown drops a group that another daemon owns now; a later ownership starts anew.
func (lim *Limiter) Disown(group string) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	delete(lim.groups, group)
}

// Grant answers a holder's ask; it reports false if nothing is known of the group, or if the ask is for an
// earlier allocation of it or arrives after a later one.
func (lim *Limiter) Grant(holder string, instance uint64, ask Ask, now time.Time) (Grant, bool) {
	lim.mu.Lock()
	sta, ok := lim.groups[ask.Group]
	viw := lim.view
	lim.mu.Unlock()
	if !ok {
		return Grant{}, false
	}
	sta.mu.Lock()
	defer sta.mu.Unlock()
	if ask.Fencing != sta.obs.Fencing {
		return Grant{}, false
	}
	key := orphanKey{
		holder:   holder,
		instance: instance,
	}
	if ask.Sequence <= sta.latest[key] {
		return Grant{}, false
	}
	sta.latest[key] = ask.Sequence
	return sta.grant(holder, instance, ask, viw, now), true
}

func (lim *Limiter) state(obs Observation, now time.Time) *state {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	sta, ok := lim.groups[obs.Group]
	if !ok {
		// Owners change with the view only, so grants of another owner ended in time after its last change.
		sta = newState(lim.cfg, obs, lim.view.changed.Add(lim.cfg.wait(lim.view.known)), now)
		lim.groups[obs.Group] = sta
	}
	return sta
}

// view is the share of an availability zone's daemons that this daemon can see.
type view struct {
	seen  int
	known int
	// since holds when each daemon came into view, and at when the view was last renewed.
	since map[string]time.Time
	at    time.Time
	// changed is when a daemon last came into view or fell out of it.
	changed time.Time
	// roll holds the daemons of the last view that was complete. While a view is incomplete, daemons
	// that join do not count as seen: the other side does not know of them, so counting them would let
	// the sides together exceed the limit. A daemon that starts without a complete view adopts the roll
	// of another one, and grants nothing before.
	roll map[string]bool
}

// see counts a daemon as seen only once it has been in view for settle. Until then it may use grants of
// another owner, and it has not told this one what it has in progress. It does not count while its own
// view differs: it may then follow another owner that counts it too.
func (viw *view) see(self string, alive, agreeing []string, known int, settle time.Duration, now time.Time) {
	viw.at = now
	if len(alive) != len(viw.since) {
		viw.changed = now
	}
	since := make(map[string]time.Time, len(alive))
	for _, name := range alive {
		old, ok := viw.since[name]
		if !ok {
			old = now
			viw.changed = now
		}
		since[name] = old
	}
	viw.since = since
	settled := make(map[string]bool, len(alive))
	for _, name := range alive {
		if now.Sub(since[name]) >= settle {
			settled[name] = true
		}
	}
	// A view that has not settled may still count daemons that a partition has just cut off.
	if len(settled) >= known {
		viw.roll = settled
	}
	viw.known = max(known, len(alive), len(viw.roll))
	viw.seen = 0
	for _, name := range agreeing {
		if viw.roll[name] && (name == self || settled[name]) {
			viw.seen++
		}
	}
}

// share returns the part of a limit that this side may grant. The parts of any number of sides that
// cannot see each other add up to one limit at most: a side with two thirds of the daemons may grant all
// of it, since the others have a third or less and grant nothing. So the loss of one daemon of three or
// more costs no capacity. Between a third and two thirds a side grants in proportion.
func (viw *view) share(limit int) int {
	switch {
	case viw.known == 0, 3*viw.seen <= viw.known:
		return 0
	case 3*viw.seen >= 2*viw.known:
		return limit
	default:
		return limit * viw.seen / viw.known
	}
}
