package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/evidence"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/refusal"
)

const (
	// ErrUnreachable says that another daemon did not get a request.
	ErrUnreachable = errors.ConstError("dispatch: daemon not reached")
	// ErrLost says that the connection to another daemon broke; it may still run the request.
	ErrLost = errors.ConstError("dispatch: daemon lost")
	// ErrUnknownRun says that the daemon does not have the request, or not that position of it.
	ErrUnknownRun = errors.ConstError("dispatch: unknown request")
)

// comeBack is the time to come back given when no group can take a request.
const comeBack = time.Second

// Candidate is a group that may get a request now.
type Candidate struct {
	Group  group.Group
	Report backend.Report
}

// Seams are the calls that the dispatcher makes on other parts.
type Seams struct {
	Generate func(ctx context.Context, adr string, srq backend.StreamRequest) (*backend.Stream, error)
	Resume   func(ctx context.Context, adr, requestID string, attempt, from int) (*backend.Stream, error)
	Cancel   func(ctx context.Context, adr, requestID string, attempt int) error
	Report   func(ctx context.Context, adr string) (backend.Report, error)
	// Choose picks one of the candidates.
	Choose func(req Request, cands []Candidate) Candidate
	// Acquire takes a permit to send one more request to a group; a failed one is a *refusal.Refusal.
	// The context ends at the request's deadline and when the evidence of the group is lost.
	Acquire func(ctx context.Context, req Request, cand Candidate) (release func(), err error)
	// OtherZones returns the peer addresses of daemons in other availability zones, in the order to try.
	OtherZones func() []string
	// Forward runs a request at a daemon of another availability zone.
	Forward func(ctx context.Context, adr string, req Request, emit func(Event) error) error
	// Attach acts on a request in progress at another daemon.
	Attach func(ctx context.Context, adr string, att Attachment, emit func(Event) error) error
	// Sent and Retry count against the retry budgets; Retry reports whether a retry is left.
	Sent  func(workspace, group string)
	Retry func(workspace, group string) bool
	// Announce tells the daemons of the zone about a crash and returns once they know or time is up.
	Announce func(ctx context.Context, crs quarantine.Crash)
	// Place returns the group on which a copy of a request may run, given the chosen one; see quarantine.
	Place func(ctx context.Context, fpr quarantine.Fingerprint, group, from, holder string) string
	// TryHold takes a slot that one holder in the zone has at a time, and keeps it until release.
	TryHold func(ctx context.Context, key, holder string) (release func(), ok bool)
}

// Config is the identity and the times of a dispatcher.
type Config struct {
	AvailabilityZone string
	// Self is IP:port of this daemon's peer listener.
	Self string
	// TokenKey authenticates resume tokens.
	TokenKey []byte
	// ResumeWindow is the time for which a stream waits for its caller to come back.
	ResumeWindow time.Duration
}

// Dispatcher runs requests on the groups of this daemon's availability zone.
type Dispatcher struct {
	cfg Config
	sea Seams
	inv *inventory.Inventory
	tab *evidence.Table
	qua *quarantine.Quarantine
	cnt counters
	clk clockwork.Clock
	log *zap.Logger

	mu       sync.Mutex
	runs     map[string]*run
	draining bool
	active   sync.WaitGroup
}

// New returns a dispatcher; the metrics registry gets its counters.
func New(
	cfg Config,
	sea Seams,
	inv *inventory.Inventory,
	tab *evidence.Table,
	qua *quarantine.Quarantine,
	met metrics.Registry,
	clk clockwork.Clock,
	log *zap.Logger,
) *Dispatcher {
	return &Dispatcher{
		cfg:  cfg,
		sea:  sea,
		inv:  inv,
		tab:  tab,
		qua:  qua,
		cnt:  newCounters(met),
		clk:  clk,
		log:  log.Named("dispatch"),
		runs: map[string]*run{},
	}
}

// Generate runs a request and hands each piece of the answer to emit. It forwards the request to
// another availability zone when none of this zone's groups can take it.
func (dsp *Dispatcher) Generate(ctx context.Context, req Request, emit func(Event) error) error {
	run, err := dsp.start(req, false)
	if err != nil {
		return errors.Trace(err)
	}
	return dsp.follow(ctx, run, 0, emit)
}

// GenerateLocal runs a request that another zone has forwarded; it is not forwarded again.
func (dsp *Dispatcher) GenerateLocal(ctx context.Context, req Request, emit func(Event) error) error {
	run, err := dsp.start(req, true)
	if err != nil {
		return errors.Trace(err)
	}
	return dsp.follow(ctx, run, 0, emit)
}

func (dsp *Dispatcher) start(req Request, forwarded bool) (*run, error) {
	run := newRun(dsp, req.RequestID, forwarded)
	run.req = req
	run.forwarded = forwarded
	run.attempt = req.Attempt
	for _, crs := range req.Crashes {
		dsp.qua.Record(crs, dsp.clk.Now())
	}
	if !dsp.register(run) {
		return nil, refusal.Unavailable("this entry VM is stopping", comeBack)
	}
	run.launch(req.Deadline, run.generate)
	return run, nil
}

// register takes a run into the table unless the daemon is stopping.
func (dsp *Dispatcher) register(run *run) bool {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	if dsp.draining {
		return false
	}
	dsp.runs[run.id] = run
	dsp.active.Add(1)
	dsp.cnt.inProgress.Update(int64(len(dsp.runs)))
	return true
}

func (dsp *Dispatcher) remove(run *run) {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	if dsp.runs[run.id] == run {
		delete(dsp.runs, run.id)
		dsp.cnt.inProgress.Update(int64(len(dsp.runs)))
	}
	dsp.active.Done()
}

func (dsp *Dispatcher) find(requestID string) *run {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	return dsp.runs[requestID]
}

// Drain refuses new requests and waits until those in progress have ended, including those that run
// for other daemons and those that wait for their caller to come back, or until ctx ends.
func (dsp *Dispatcher) Drain(ctx context.Context) {
	dsp.mu.Lock()
	dsp.draining = true
	dsp.mu.Unlock()
	done := make(chan struct{})
	go func() {
		dsp.active.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		dsp.log.Error("requests were still in progress at the end of the drain timeout")
	}
}

// candidates returns the groups that serve a model and whose members are all confirmed.
func (dsp *Dispatcher) candidates(req Request, lost map[string]uint64) []Candidate {
	if dsp.inv.Zone(dsp.cfg.AvailabilityZone).Out {
		return nil
	}
	now := dsp.clk.Now()
	var cands []Candidate
	for _, alc := range dsp.inv.Allocations(dsp.cfg.AvailabilityZone) {
		for _, grp := range alc.Groups {
			// A group that failed this request is a candidate again once its members have changed.
			if fnc, ok := lost[grp.Name]; grp.Model != req.Model || grp.Draining || (ok && fnc == grp.Fencing) {
				continue
			}
			if rep, ok := dsp.tab.Complete(grp, now); ok {
				cands = append(cands, Candidate{
					Group:  grp,
					Report: rep,
				})
			}
		}
	}
	return cands
}

// open reports whether a group may still get work: its zone is in service, it is still allocated and not
// draining, and all members are confirmed. A choice made some seconds ago may no longer hold.
func (dsp *Dispatcher) open(grp group.Group) bool {
	if dsp.inv.Zone(dsp.cfg.AvailabilityZone).Out {
		return false
	}
	for _, alc := range dsp.inv.Allocations(dsp.cfg.AvailabilityZone) {
		for _, now := range alc.Groups {
			if now.Name == grp.Name && now.Fencing == grp.Fencing && !now.Draining {
				_, ok := dsp.tab.Complete(now, dsp.clk.Now())
				return ok
			}
		}
	}
	return false
}
