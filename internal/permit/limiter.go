package permit

import (
	"sync"
	"time"
)

// Config holds the durations, limits and weights of a Limiter.
type Config struct {
	// ValidFor is the time after which a grant expires unless it is renewed.
	ValidFor time.Duration
	// Settle bounds the time until all daemons of a zone have detected that one of them is unreachable.
	// Until then their membership views may differ, so a new owner grants nothing until this time has
	// passed and the grants of the previous owner have expired.
	Settle time.Duration
	// SettlePerDaemon is added to Settle for each known daemon, because membership changes take longer to
	// spread in a larger zone.
	SettlePerDaemon time.Duration
	// ClockMargin allows for the drift between the monotonic clocks of two VMs during ValidFor.
	ClockMargin time.Duration
	// ReportLag bounds the age of the load figures in a report at the time of the report.
	ReportLag time.Duration
	// MaxRequest is the longest duration of one request.
	MaxRequest time.Duration
	// AdjustInterval is the minimum time between two changes of a warm group's limit.
	AdjustInterval time.Duration
	// Increase is the number of slots added to a warm group's limit while first tokens meet the objective.
	Increase int
	// DecreaseFactor is the factor by which a warm group's limit is multiplied when too many first tokens are late.
	DecreaseFactor float64
	// LateShare is the fraction of late first tokens above which the limit decreases.
	LateShare float64
	// SpareSlots is the number of unused slots that a holder keeps at a warm group for requests that arrive later.
	SpareSlots int
}

// takeoverWait returns how long after a change of the membership view the grants of another owner may still be
// in use.
func (cfg Config) takeoverWait(daemons int) time.Duration {
	return cfg.Settle + time.Duration(daemons)*cfg.SettlePerDaemon + cfg.ValidFor + cfg.ClockMargin
}

// Limiter grants slots at the groups that this daemon owns. It is safe for concurrent use.
type Limiter struct {
	self string
	cfg  Config

	mu     sync.Mutex
	view   view
	groups map[string]*groupState
}

// New returns the limiter of the daemon named self. It owns no group yet.
func New(self string, cfg Config) *Limiter {
	return &Limiter{
		self:   self,
		cfg:    cfg,
		groups: map[string]*groupState{},
	}
}

// UpdateView updates the membership view of the availability zone: the names of the daemons that are alive, the
// names of those whose own view is the same, and the number of known daemons. Each of the three includes this
// daemon. It must be called several times within ValidFor: after a gap of more than half of it, the process
// counts as paused and the limiter discards its groups.
func (lim *Limiter) UpdateView(alive, agreeing []string, known int, now time.Time) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	// While this daemon was paused, another daemon may have owned its groups.
	paused := now.Sub(lim.view.updatedAt) > lim.cfg.ValidFor/2
	if paused {
		clear(lim.groups)
		clear(lim.view.inViewSince)
	}
	lim.view.update(lim.self, alive, agreeing, known, lim.cfg.takeoverWait(max(known, lim.view.known)), now)
}

// LastCompleteView returns the names of the daemons of the last complete view. While the current view is incomplete,
// the part of a limit that may be granted is computed from them. It is empty if there was no complete view yet.
func (lim *Limiter) LastCompleteView() []string {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	names := make([]string, 0, len(lim.view.lastComplete))
	for name := range lim.view.lastComplete {
		names = append(names, name)
	}
	return names
}

// AdoptCompleteView sets the last complete view to that of another daemon, unless this daemon has one already.
func (lim *Limiter) AdoptCompleteView(completeView []string) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if lim.view.lastComplete != nil || len(completeView) == 0 {
		return
	}
	lim.view.lastComplete = make(map[string]bool, len(completeView))
	for _, name := range completeView {
		lim.view.lastComplete[name] = true
	}
}

// RecordReport records a report of a group that this daemon owns. The first report of a group starts the ownership.
func (lim *Limiter) RecordReport(rep GroupReport, now time.Time) {
	gst := lim.groupState(rep, now)
	gst.mu.Lock()
	defer gst.mu.Unlock()
	gst.observe(rep, now)
}

// DropGroup discards the state of a group that this daemon does not own any more. If the daemon becomes its owner
// again, it starts with new state.
func (lim *Limiter) DropGroup(group string) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	delete(lim.groups, group)
}

// Grant handles one slot request of a holder, where instance identifies the holder's process. It reports false
// if this daemon does not own the group, if the request has the fencing token of another allocation of the
// group, or if it arrives after a later request of the same process.
func (lim *Limiter) Grant(holder string, instance uint64, req SlotRequest, now time.Time) (Grant, bool) {
	lim.mu.Lock()
	gst, ok := lim.groups[req.Group]
	viw := lim.view
	lim.mu.Unlock()
	if !ok {
		return Grant{}, false
	}
	gst.mu.Lock()
	defer gst.mu.Unlock()
	if req.Fencing != gst.rep.Fencing {
		return Grant{}, false
	}
	key := holderProcess{
		holder:   holder,
		instance: instance,
	}
	if req.Sequence <= gst.lastSequence[key] {
		return Grant{}, false
	}
	gst.lastSequence[key] = req.Sequence
	return gst.grant(holder, instance, req, viw, now), true
}

func (lim *Limiter) groupState(rep GroupReport, now time.Time) *groupState {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	gst, ok := lim.groups[rep.Group]
	if !ok {
		// The owner changes only when the view changes, so all grants of an earlier owner have expired by
		// this time after the last change.
		gst = newGroupState(lim.cfg, rep, lim.view.changedAt.Add(lim.cfg.takeoverWait(lim.view.known)), now)
		lim.groups[rep.Group] = gst
	}
	return gst
}

// view is this daemon's view of the membership of its availability zone.
type view struct {
	// counted is the number of daemons that count towards the part of a limit that this side of a partition
	// may grant.
	counted int
	known   int
	// inViewSince holds the time at which each daemon came into view, and updatedAt the time of the last call
	// of update.
	inViewSince map[string]time.Time
	updatedAt   time.Time
	// changedAt is the time at which a daemon last joined or left the view.
	changedAt time.Time
	// lastComplete holds the daemons of the last complete view: one in which all known daemons were settled,
	// that is, alive for the settle time. While the view is incomplete, daemons that join are not counted: the
	// other side of a partition does not know them, so counting them would let both sides together exceed the
	// limit. A daemon that has just started has no complete view. It adopts that of another daemon and
	// grants nothing until it has one.
	lastComplete map[string]bool
}

// update replaces the view. A daemon is counted only after it has been in view for the settle time: until then
// it may use grants of another owner, and it has not reported its requests in flight to this owner. A daemon
// whose own view differs is not counted either: it may use another owner that counts it too.
func (viw *view) update(self string, alive, agreeing []string, known int, settle time.Duration, now time.Time) {
	viw.updatedAt = now
	if len(alive) != len(viw.inViewSince) {
		viw.changedAt = now
	}
	since := make(map[string]time.Time, len(alive))
	for _, name := range alive {
		old, ok := viw.inViewSince[name]
		if !ok {
			old = now
			viw.changedAt = now
		}
		since[name] = old
	}
	viw.inViewSince = since
	settled := make(map[string]bool, len(alive))
	for _, name := range alive {
		if now.Sub(since[name]) >= settle {
			settled[name] = true
		}
	}
	// Only settled daemons make a view complete: others may just have been cut off by a partition.
	if len(settled) >= known {
		viw.lastComplete = settled
	}
	viw.known = max(known, len(alive), len(viw.lastComplete))
	viw.counted = 0
	for _, name := range agreeing {
		if viw.lastComplete[name] && (name == self || settled[name]) {
			viw.counted++
		}
	}
}

// sideShare returns the part of a limit that this side of a partition may grant. The parts of any number of
// sides that cannot reach each other add up to at most the limit: a side with at least two thirds of the known
// daemons may grant all of it, because every other side has a third or less and grants nothing. Therefore the
// loss of one daemon of three or more costs no capacity. A side with between one and two thirds of the daemons
// grants in proportion to their number.
func (viw *view) sideShare(limit int) int {
	switch {
	case viw.known == 0, 3*viw.counted <= viw.known:
		return 0
	case 3*viw.counted >= 2*viw.known:
		return limit
	default:
		return limit * viw.counted / viw.known
	}
}
